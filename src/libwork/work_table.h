#pragma once

#include "briarwind/work_core.h"

#include <fmt/format.h>

#include <algorithm>
#include <list>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// What the leader holds of jobs, tasks, runs and workers.

namespace briarwind {

/// What a task of the step takes of its worker's capacity: one that fills takes no cores of it.
constexpr task_demand RoomOf(const work_step& aStep)
{
  task_demand room = aStep.mDemand;
  room.mMilliCores = aStep.mFills ? 0 : room.mMilliCores;
  return room;
}

/// How long a run of the step may go without progress.
inline milliseconds StallTime(const work_step& aStep, const work_options& aOptions)
{
  const auto share =
    std::chrono::duration_cast<milliseconds>(aStep.mEstimate * aOptions.mStallShare);
  return std::clamp(share, aOptions.mStallLeast, aOptions.mStallMost);
}

enum class task_phase : std::uint8_t
{
  kWaiting,
  kClaimed, ///< room is kept for it on a worker while others there are being stopped
  kLive,    ///< it has a run: ordered, running, or of unknown fate
  kDone,
};

struct task_entry
{
  task_phase mPhase = task_phase::kWaiting;
  run_number mRun = 0; ///< of the last start
  std::string mWorker; ///< of the claim or of the live run
  int mFailures = 0;
  std::string mCheckpoint;
  std::set<std::string> mFailedOn;
};

/// What the advisor said of one worker for one step.
struct advised_worker
{
  bool mGood = false;
  std::string mTicket;
  instant mValidUntil;
  std::int64_t mIncarnation = 0;
};

struct step_entry
{
  std::vector<task_entry> mTasks;
  int mDone = 0;
  int mFailedRuns = 0;           ///< gang only: runs that ended failed
  run_number mLastFailedRun = 0; ///< gang only
  instant mReadySince;           ///< since when its turn has come
  bool mReady = false;
  std::map<std::string, advised_worker> mAdvice;
  bool mAdviceAsked = false;

  bool IsDone() const { return mDone == static_cast<int>(mTasks.size()); }
};

struct occurrence_entry
{
  int mNumber = 0;
  std::vector<step_entry> mSteps;
};

struct job_entry
{
  work_job mSpec;
  work_state mState = work_state::kQueued;
  bool mCancelled = false;
  instant mKnownSince;
  instant mOverSince;
  std::string mReason;
  std::set<std::string> mBlamedOn;          ///< workers that its failures were held against
  std::list<occurrence_entry> mOccurrences; ///< those due and not over
  int mNextOccurrence = 0;                  ///< the first that is not due yet
  std::set<int> mOccurrencesOver;

  store_revision mRevision = 0;    ///< of the stored progress record
  std::int64_t mChange = 0;        ///< counts changes of the record
  std::int64_t mChangeWriting = 0; ///< included in the write under way; 0: none
  std::int64_t mChangeStored = 0;

  bool IsOver() const { return IsFinal(mState); }
  bool NeedsWrite() const { return mChange > mChangeStored && mChangeWriting == 0; }
};

enum class run_phase : std::uint8_t
{
  kRecording, ///< its record is being stored; no order has left
  kStarting,  ///< ordered, not answered yet
  kUnclear,   ///< ordered and not answered: the worker's next list tells
  kRunning,
  kRestored, ///< in a record of an earlier leader; the worker has not told of it yet
  kStopping, ///< to be stopped, or of unknown fate and therefore to be stopped
};

/// One run as it takes room on a worker. It may outlive its task's interest in it.
struct run_entry
{
  run_phase mPhase = run_phase::kRecording;
  task_demand mDemand; ///< what it takes of the worker's capacity
  bool mGang = false;
  std::int64_t mRecordedIn = 0; ///< change of the job's record that holds it
  instant mPhaseSince;
  instant mStartAnswered; ///< valid in kRunning
  instant mStopSent;      ///< last attempt
  bool mStopUnderWay = false;
  bool mStopAnswered = false;
  instant mStopAnsweredAt;
  int mPercent = -1;
  instant mProgressAt;
  int mFirstPercent = -1; ///< as first listed: a run may go on from a checkpoint
  instant mFirstListed;
  int mPacePercent = -1;        ///< where its pace was measured last
  milliseconds mPaceClock{ 0 }; ///< and when, on the worker's clock
  double mBestPace = 0;         ///< percent a second
  instant mStartedAt;
  milliseconds mStallTime{ 0 };
};

struct worker_entry
{
  registered_worker mInfo;
  bool mListed = false;
  bool mInTouch = false; ///< answered a poll of this term in its present incarnation
  instant mClockAt;      ///< when mInfo.mClock was read
  instant mLastHeard;
  instant mLastPoll;
  instant mReportSent;      ///< when the question of the newest report had left
  instant mLeaseSurelyOver; ///< nothing ordered so far can run after this
  std::map<run_id, run_entry> mRuns;
  std::set<run_id> mOrphans; ///< runs it lists that nobody here has ordered
  task_demand mUsed;         ///< of all runs
  task_demand mClaimed;      ///< of tasks in kClaimed
  std::map<std::int64_t, std::pair<std::string, std::int64_t>> mPendingEnds; ///< job and change
  std::int64_t mAcknowledged = 0;
  std::int64_t mSeenEnds = 0;
  bool mAckDue = false;
  instant mLeavesAt; ///< its runs may be cut off from then on; instant(): it stays
  instant mQuarantinedUntil;
  instant mProbedUntil;   ///< until then it is tried with one run at a time
  instant mLastDone;      ///< when a run ended well there
  int mFailuresInRow = 0; ///< above 0 it is tried with one run at a time
  instant mSlowUntil;     ///< its runs have turned slow; nothing is started there until then
  std::string mBlamedFor; ///< job of the last failure that counted
  instant mStalledSince;  ///< when a run without progress was found; instant(): none

  task_demand Free() const { return mInfo.mCapacity - mUsed - mClaimed; }
};

/// One step of one occurrence that has tasks to place.
struct ready_unit
{
  job_entry* mJob = nullptr;
  occurrence_entry* mOccurrence = nullptr;
  int mStep = 0;
  const work_queue* mQueue = nullptr;
  bool mGuaranteed = false;  ///< priority 0 within its organisation's guarantee
  bool mTakesProbes = false; ///< may be tried on a worker whose last run failed
  instant mProvenSince;      ///< after a failure: goes first to workers that did well since then
  instant mObjective;        ///< when it should be done
  int mRank = 0;             ///< lower goes first

  const work_step& Spec() const;
  step_entry& Entry() const;
  task_id Task(int aIndex) const;
};

struct work_core::state
{
  explicit state(const work_options& aOptions)
    : mOptions(aOptions)
  {
  }

  work_options mOptions;
  std::int64_t mEpoch = 0;
  bool mInTerm = false;
  instant mTermSince;
  work_settings mSettings;
  std::map<std::string, job_entry> mJobs;
  std::map<std::string, worker_entry> mWorkers;
  std::vector<work_action> mActions;
  bool mReplan = false; ///< something changed that may let a task be placed
  instant mReplanAt;    ///< planned again by then anyhow

  // work_jobs.cpp
  void Restore(job_entry& aJob, const stored_job& aStored, instant aNow);
  void RestoreRun(job_entry& aJob, const run_id& aRun, const std::string& aWorker, instant aNow);
  void OpenOccurrences(job_entry& aJob, wall_time aWallNow);
  void Changed(job_entry& aJob);
  void Finish(job_entry& aJob, work_state aState, const std::string& aReason, instant aNow);
  void FinishIfDone(job_entry& aJob, instant aNow);
  task_entry* FindTask(const task_id& aTask);
  job_entry* FindJob(const std::string& aJob);
  step_entry* FindStep(const task_id& aTask);
  const work_step* FindSpec(const task_id& aTask);

  // work_runs.cpp
  void RunEnded(worker_entry& aWorker, const run_id& aRun, run_end aHow,
                const std::string& aCheckpoint, instant aNow);
  void RunLost(worker_entry& aWorker, const run_id& aRun, std::string_view aReason, instant aNow);
  void RequeueTask(const run_id& aRun, const std::string& aCheckpoint, instant aNow);
  void TaskDone(const task_id& aTask, instant aNow);
  void TaskFailed(const run_id& aRun, const std::string& aWorker, instant aNow);
  void StopOthersOfGang(const run_id& aRun, instant aNow);
  void StopRun(worker_entry& aWorker, const run_id& aRun, std::string_view aReason, instant aNow);
  void StopTaskRuns(job_entry& aJob, std::string_view aReason, instant aNow);
  void SendStops(worker_entry& aWorker, instant aNow);
  void DropRun(worker_entry& aWorker, const run_id& aRun);
  void ReleaseRecorded(job_entry& aJob, instant aNow);
  void AdvanceAcknowledged(worker_entry& aWorker);
  void WorkerSilent(const std::string& aId, worker_entry& aWorker, instant aNow);
  void TimeOut(instant aNow);
  void Note(work_note_kind aKind, const std::string& aJob, std::string aTask, std::string aWorker,
            std::string_view aReason, milliseconds aAge = milliseconds{ 0 });

  // work_reports.cpp
  void ApplyReport(worker_entry& aWorker, const worker_report& aReport, instant aSent,
                   instant aNow);
  std::string_view ApplyListedRun(worker_entry& aWorker, const run_id& aId, run_entry& aRun,
                                  const listed_run& aListed, instant aNow);
  void ApplyEnds(worker_entry& aWorker, const worker_report& aReport, instant aNow);
  void StopOrphans(worker_entry& aWorker, const worker_report& aReport);
  poll_plan MakePlan(worker_entry& aWorker, instant aNow) const;
  void NewIncarnation(worker_entry& aWorker, std::int64_t aIncarnation, instant aNow);

  // work_health.cpp
  void BlameFor(worker_entry& aWorker, const run_id& aRun, std::string_view aReason, instant aNow);
  void BlameForStall(worker_entry& aWorker, instant aNow);
  void NoteProgress(worker_entry& aWorker, const run_entry& aRun);
  void TrustAgain(worker_entry& aWorker);
  void MeasurePace(worker_entry& aWorker, run_entry& aRun, int aPercent, instant aNow);
  void AvoidSlow(worker_entry& aWorker, instant aNow);
  void Quarantine(worker_entry& aWorker, instant aNow, std::string_view aReason);

  // work_departure.cpp
  void NoteDeparture(worker_entry& aWorker, instant aNow);
  bool EndsBefore(const run_id& aRun, const run_entry& aEntry, instant aBy);

  // work_schedule.cpp
  void PlaceAll(instant aNow);
  std::vector<ready_unit> ReadyUnits(instant aNow);
  void RankGuaranteed(std::vector<ready_unit>& aUnits);
  /// Whether the advisor lets the worker run the unit's step, or need not be asked.
  bool IsAdvised(const worker_entry& aWorker, const ready_unit& aUnit, instant aNow) const;
  void AskAdvice(const ready_unit& aUnit, instant aNow);
  bool IsOpenTo(const worker_entry& aWorker, const ready_unit& aUnit, instant aNow) const;
  bool IsUsable(const worker_entry& aWorker, const ready_unit& aUnit, instant aNow) const;
  bool PlaceUnit(ready_unit& aUnit, instant aNow);
  void Launch(const ready_unit& aUnit, const std::vector<std::pair<int, worker_entry*>>& aPlaces,
              instant aNow);
  void CheckClaims(ready_unit& aUnit, instant aNow);
  void ReleaseClaims(job_entry& aJob);
  double LossOf(const run_id& aRun, const run_entry& aEntry, instant aNow);
  double MostLoss(const ready_unit& aUnit) const;
  bool MayStop(const ready_unit& aUnit, const run_id& aRun, const run_entry& aEntry);
  bool PlaceByEviction(ready_unit& aUnit, instant aNow);
};

} // namespace briarwind
