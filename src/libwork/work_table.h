#pragma once

#include "interference_model.h"
#include "organisation_ledger.h"
#include "pace_control.h"
#include "queue_order.h"
#include "run_pace.h"
#include "run_time_estimates.h"
#include "start_budget.h"
#include "wait_record.h"
#include "worker_presence.h"
#include "worker_rates.h"

#include "briarwind/work_core.h"

#include <boost/icl/interval_set.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <numeric>
#include <optional>
#include <ranges>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// The leader's in-memory tables of jobs, tasks, runs and workers.

namespace briarwind {

/// What a task of the step takes of its worker's capacity. Best-effort tasks take no cores.
constexpr task_demand CapacityDemand(const work_step& aStep)
{
  task_demand demand = aStep.mDemand;
  demand.mMilliCores = aStep.mBestEffort ? 0 : demand.mMilliCores;
  return demand;
}

enum class task_phase : std::uint8_t
{
  kWaiting,
  kClaimed, ///< capacity is reserved on a worker while other runs there are being stopped
  kLive,    ///< has a run: ordered, running, or of unknown state
  kDone,
};
inline constexpr std::size_t kTaskPhases = 4;

struct task_entry
{
  task_phase mPhase = task_phase::kWaiting;
  run_number mRun = 0; ///< of the last start
  std::string mWorker; ///< of the claim or of the live run
  int mFailures = 0;   ///< failed runs; a gang's failed run counts for one of its members only
  int mStalls = 0;     ///< runs that were stopped as stalled, perhaps in error
  /// Gang only: the last failed run that was counted as a failure of this member.
  run_number mCountedFailure = 0;
  std::string mCheckpoint;
  std::set<std::string> mFailedOn; ///< workers on which a run of the task failed
};

/// The advisor's answer about one worker for one step.
struct advised_worker
{
  bool mApproved = false; ///< the worker may run the step
  std::string mTicket;
  instant mValidUntil;
  std::int64_t mIncarnation = 0; ///< of the worker when the answer came
};

struct step_entry
{
  explicit step_entry(int aTasks)
    : mTasks(static_cast<std::size_t>(aTasks))
    , mInPhase{ aTasks }
  {
  }

  std::vector<task_entry> mTasks;
  /// Number of tasks by phase. Steps are wide, so passes over all of them must not visit each task.
  std::array<int, kTaskPhases> mInPhase{};
  int mFailedTasks = 0;          ///< tasks with a failed run
  run_number mLastFailedRun = 0; ///< gang only: the run that was last counted as failed
  instant mReadySince;           ///< since when the step is ready or has a task queued again
  /// Time per percent of the task that progressed last, near its data; nullopt: not measured yet.
  std::optional<milliseconds> mTimePerPercent;
  bool mReady = false;                           ///< all steps that it depends on are done
  std::map<std::string, advised_worker> mAdvice; ///< by worker
  bool mAdvicePending = false;                   ///< a request to the advisor is in flight
  wait_record mWait;
  /// Gang only: when its organisation's limit is expected to have room for it, as of
  /// mLimitEstimatedAt; nullopt: not soon enough.
  std::optional<instant> mLimitRoomAt;
  instant mLimitEstimatedAt;

  int InPhase(task_phase aPhase) const { return mInPhase.at(static_cast<std::size_t>(aPhase)); }
  int DoneTasks() const { return InPhase(task_phase::kDone); }
  bool IsDone() const { return DoneTasks() == static_cast<int>(mTasks.size()); }
  bool HasTasksToPlace() const
  {
    return InPhase(task_phase::kWaiting) + InPhase(task_phase::kClaimed) > 0;
  }
  /// Phases of the step's tasks are set by this alone.
  void SetPhase(task_entry& aTask, task_phase aPhase)
  {
    --mInPhase.at(static_cast<std::size_t>(aTask.mPhase));
    ++mInPhase.at(static_cast<std::size_t>(aPhase));
    aTask.mPhase = aPhase;
  }
  void SetFailures(task_entry& aTask, int aFailures)
  {
    mFailedTasks += static_cast<int>(aFailures > 0) - static_cast<int>(aTask.mFailures > 0);
    aTask.mFailures = aFailures;
  }
  /// Failed runs of a gang, each counted once.
  int FailedGangRuns() const
  {
    const auto failures = mTasks | std::views::transform(&task_entry::mFailures);
    return std::accumulate(failures.begin(), failures.end(), 0);
  }
};

struct occurrence_entry
{
  occurrence_entry(const work_job& aJob, int aNumber);

  int mNumber = 0;
  std::vector<step_entry> mSteps;

  bool IsFinished() const;
  /// Whether a task waits for a worker, all steps that its step depends on being done.
  bool WaitsForWorkers(const work_job& aJob) const;
};

bool ArePredecessorsDone(const occurrence_entry& aOccurrence, const work_step& aStep);

/// What is known of a stored part of a job's record. Changes are numbered as those of the job.
struct part_entry
{
  std::int64_t mChange = 0;
  std::int64_t mChangeWriting = 0; ///< in the write in flight; 0: not in it
  std::int64_t mChangeStored = 0;
  bool mIsStored = false;  ///< the part is, or may be, in the store
  bool mIsDeleted = false; ///< by the write in flight
};

/// Numbers of occurrences. They finish nearly in order, so that few intervals hold any number.
using occurrence_set = boost::icl::interval_set<int, std::less, boost::icl::closed_interval<int>>;

struct job_entry
{
  work_job mSpec;
  work_state mState = work_state::kQueued;
  bool mCancelled = false;
  instant mAddedAt;
  instant mFinishedAt;
  std::string mReason;                     ///< why the job failed or was cancelled
  std::set<std::string> mPenalisedWorkers; ///< workers quarantined for failures of the job
  /// Runs that the job no longer needs and whose ends are not known, by their workers. Stored, so
  /// that the next leader counts them against the organisation's limit.
  std::set<std::pair<std::string, run_id>> mStoppingRuns;
  int mEvictions = 0;          ///< how often runs of the job were stopped for other jobs
  bool mWaitsForLimit = false; ///< its organisation's limit held tasks back in the last pass
  std::map<int, occurrence_entry> mOccurrences; ///< those that are open, by number
  int mNextOccurrence = 0; ///< all before it are open or finished; some after it may be, too
  occurrence_set mFinishedOccurrences;
  bool mIsBehindSchedule = false; ///< due occurrences were not opened in the last pass

  store_revision mAcceptedRevision = 0; ///< of the accepted record
  store_revision mRevision = 0;         ///< of the stored progress record
  std::int64_t mChange = 0;             ///< number of changes to the record
  std::int64_t mChangeWriting = 0;      ///< last change in the write in flight; 0: none in flight
  std::int64_t mChangeStored = 0;       ///< last change that is stored, the parts aside
  bool mIsInParts = false;              ///< the rows of its tasks are in parts of the record
  std::map<std::int64_t, part_entry> mParts;
  std::set<std::int64_t> mChangedParts; ///< to be written; in order, so that earlier steps go first
  /// Runs that were placed and whose start orders have not been sent, with their workers.
  std::vector<std::pair<run_id, std::string>> mRecordingRuns;
  /// Since the store refused the record: no write and no placement before this time.
  std::optional<instant> mRefusedUntil;
  milliseconds mRefusedPause{ 0 };

  bool IsFinished() const { return IsFinal(mState); }
  int TotalOccurrences() const { return std::max(mSpec.mOccurrences, 1); }
  bool NeedsWrite() const
  {
    const bool partsChanged = !mChangedParts.empty() && !IsFinished();
    return (mChange > mChangeStored || partsChanged) && mChangeWriting == 0 && !mRefusedUntil;
  }
  /// The last change that concerns the task's row.
  std::int64_t LastChange(const task_id& aTask) const;
  /// Whether the change of the task's row is stored. Of a finished job no rows are stored.
  bool IsStored(const task_id& aTask, std::int64_t aChange) const;
};

enum class run_phase : std::uint8_t
{
  kRecording,   ///< the record is being stored; no order has been sent
  kStarting,    ///< the start order is in flight
  kUnconfirmed, ///< the start order was not answered; the worker's next report decides
  kRunning,
  kRestored, ///< from an earlier leader's record or incarnation; the worker's report decides
  kStopping, ///< a stop was decided, also for runs of unknown state
};

/// Start of a period in which the kinds of tasks on the run's worker did not change.
struct pace_window
{
  int mPercent = -1;        ///< -1: none has begun
  milliseconds mClock{ 0 }; ///< on the worker's clock
  std::int64_t mKindsChange = 0;
};

/// A run that occupies capacity of a worker. The entry may exist longer than the task refers to it.
struct run_entry
{
  run_phase mPhase = run_phase::kRecording;
  task_demand mDemand; ///< what the run takes of the worker's capacity
  std::string mOrganisation;
  task_demand mLimitedDemand; ///< what the run takes of its organisation's limit
  bool mGang = false;
  bool mLongRunning = false;
  bool mFromStart = false;      ///< resumes from no checkpoint, and was started by this leader
  std::int64_t mRecordedIn = 0; ///< the change of the job's record that contains the run
  instant mPhaseSince;
  instant mStartAnsweredAt; ///< valid in kRunning
  instant mStopSentAt;      ///< last attempt
  bool mStopInFlight = false;
  bool mStopAnswered = false;
  instant mStopAnsweredAt;
  int mPercent = -1; ///< progress in the last report; -1: not reported yet
  instant mLastProgressAt;
  int mFirstPercent = -1; ///< in the first report; above 0 when resumed from a checkpoint
  instant mFirstReportedAt;
  int mRatePercent = -1;        ///< progress when the rate was measured last
  milliseconds mRateClock{ 0 }; ///< time of that measurement on the worker's clock
  double mBestRate = 0;         ///< highest measured rate, in percent per second
  bool mIsRateSettled = false;  ///< a resumed run has been listed for one measurement
  instant mStartedAt;
  run_pace mPace;
  int mEarlierStalls = 0;  ///< earlier runs of the task that were stopped as stalled
  bool mShowsRate = false; ///< its pace is evidence of its worker's speed
  pace_meter mPaceMeter;   ///< read only if mShowsRate
  task_kind mKind = 0;     ///< for the interference model; 0: none
  bool mShowsPace = false; ///< its pace is evidence of what its neighbours do to it
  milliseconds mLatencyTarget{ 0 };
  pace_window mPaceWindow;
  bool mBestEffort = false;
  std::int64_t mFigure = -1; ///< in the last report
  int mPacePercent = 100;    ///< last ordered pace that the worker confirmed; -1: not known
  bool mPaceInFlight = false;
  instant mPaceRetryAt; ///< an order that was not confirmed is not repeated before this time
};

struct worker_entry
{
  registered_worker mInfo;
  bool mListed = false;       ///< in the registry
  bool mReachable = false;    ///< answered its last poll of this term in its present incarnation
  instant mClockReadAt;       ///< when mInfo.mClock was received
  instant mLastReportAt;      ///< when the last report was received
  instant mLastPollAt;        ///< when the last poll was sent
  instant mReportRequestedAt; ///< when the poll that the newest report answers was sent
  instant mLeasesExpireAt;    ///< no run ordered so far can still be running after this time
  std::map<run_id, run_entry> mRuns;
  std::set<run_id> mOrphans;      ///< runs in the worker's report that this leader has no record of
  task_demand mUsed;              ///< by all runs
  task_demand mUsedByLongRunning; ///< by long-running runs, which end only when they are stopped
  task_demand mClaimed;           ///< by tasks in kClaimed
  /// Ends, by number, whose record is not stored yet: the task and the change that contains the
  /// end.
  std::map<std::int64_t, std::pair<task_id, std::int64_t>> mPendingEnds;
  std::int64_t mAcknowledged = 0; ///< the worker may drop its records of ends up to this number
  std::int64_t mLastSeenEnd = 0;
  bool mAckDue = false; ///< mAcknowledged has risen since the last poll
  instant mDepartsAt;   ///< earliest time at which its runs may be cut off; instant(): none
  instant mQuarantinedUntil;
  instant mProbationUntil;      ///< failures no longer count after this time
  instant mLastSuccessAt;       ///< when a run last completed on the worker
  int mFailuresInRow = 0;       ///< above 0, the worker receives only one run at a time
  instant mAvoidedUntil;        ///< its runs slowed down; it receives no new runs until this time
  std::string mPenalisedForJob; ///< job of the failure that last led to a quarantine
  instant mStalledSince;        ///< when a stalled run was detected; instant(): none
  speed_class mSpeed = speed_class::kUsual; ///< as of the present decision pass
  bool mIsFlapping = false;      ///< went away repeatedly, as of the present decision pass
  bool mHasJustReturned = false; ///< after an absence, as of the present decision pass

  std::map<task_kind, int> mKinds; ///< of its runs, with their number
  std::int64_t mKindsChange = 0;   ///< rises when a kind comes or goes

  bool mPaceJudged = false; ///< a tail was reported in this term beside best-effort runs
  pace_control mPace;       ///< of its best-effort runs

  /// What orphans take of their organisations' limits.
  std::vector<std::pair<std::string, task_demand>> mOrphanUse;

  task_demand Free() const { return mInfo.mCapacity - mUsed - mClaimed; }
};

/// Whether the step's data are on another rack than the worker.
inline bool IsRemote(const worker_entry& aWorker, const work_step& aStep)
{
  return !aStep.mDataRack.empty() && aStep.mDataRack != aWorker.mInfo.mRack;
}

/// A step of one occurrence that has tasks to place.
struct ready_unit
{
  job_entry* mJob = nullptr;
  occurrence_entry* mOccurrence = nullptr;
  int mStep = 0;
  const work_queue* mQueue = nullptr;
  bool mGuaranteed = false; ///< priority 0 within its organisation's guarantee
  bool mMayProbe = false;   ///< may be placed on a worker whose last run failed
  bool mFitsShape = false;  ///< best fit over all resources
  /// Workers with a successful run since this time are preferred; instant() unless a task failed.
  instant mPreferSuccessSince;
  instant mObjective;              ///< when the job should be finished
  milliseconds mExpectedTime{ 0 }; ///< of a run; 0: no length is known
  int mRank = 0;                   ///< lower ranks are placed first
  /// The job was accepted beyond its organisation's rate and comes behind others of its rank.
  bool mBeyondRate = false;
  /// Kinds that slow the unit's tasks or are slowed by them, in ascending order.
  std::vector<task_kind> mInterfering;
  /// Cannot meet its objective any more, so it comes behind others of its rank that can.
  bool mIsLate = false;
  /// May miss its objective, so it is placed on the faster workers.
  bool mIsNearObjective = false;

  const work_step& Spec() const;
  step_entry& Entry() const;
  task_id Task(int aIndex) const;
};

struct progress_record;
struct progress_task;
class gang_reservations;

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
  /// All jobs accepted up to this revision were added; those that are unknown now were removed.
  store_revision mFollowedRevision = 0;
  std::map<std::string, worker_entry> mWorkers;
  std::vector<work_action> mActions;
  bool mReplan = false; ///< something changed that may allow a task to be placed
  instant mReplanAt;    ///< placement is retried by this time even without a change
  organisation_ledger mLedger;
  acceptance_rate mAcceptances;
  run_time_estimates mRunTimes;
  /// Jobs that are within their organisation's guarantee, as of the placement pass.
  std::set<std::string> mGuaranteedJobs;
  worker_rates mRates;
  instant mRatesUpdatedAt;
  worker_presence mPresence;
  interference_model mInterference;
  std::set<std::pair<task_kind, task_kind>> mSeparated; ///< known pairs that changed a placement
  bool mHasTargets = false;      ///< a job with a latency target was added in this term
  instant mInterferenceExpiryAt; ///< when the model's entries are next checked for their age
  std::vector<task_demand> mWithoutRoom; ///< no worker has room for these, in the present pass
  std::map<wait_reason, int> mIdleWaits; ///< number of steps, as of the last pass
  int mIdleWaitChecks = 0;               ///< in the present pass
  std::set<std::string> mRefusedJobs;    ///< with mRefusedUntil set
  std::string mLastWritten;              ///< job of the last record that TakeWrites has returned
  std::size_t mReservedRacks = 0;        ///< in the last pass

  // work_jobs.cpp
  void RestoreJob(job_entry& aJob, const stored_job& aStored, instant aNow);
  void RestoreRun(job_entry& aJob, const run_id& aRun, const std::string& aWorker, instant aNow);
  void RestoreSteps(job_entry& aJob, const progress_record& aRecord);
  void RestoreTasks(job_entry& aJob, const std::vector<progress_task>& aTasks, instant aNow);
  void RestoreStoppingRuns(job_entry& aJob, const std::vector<progress_task>& aStopping,
                           instant aNow);
  void RecordStoppingRuns(job_entry& aJob);
  /// Opens the occurrences that are due, in order, as far as the job may have more of them open.
  /// @param aMaxTasks stops once the opened occurrences have this many tasks
  /// @return tasks of the occurrences that were opened
  int OpenOccurrences(job_entry& aJob, wall_time aWallNow, int aMaxTasks);
  void OpenDueOccurrences(wall_time aWallNow);
  /// Returns null for a number that the job does not have, or that is finished.
  occurrence_entry* OpenOccurrence(job_entry& aJob, int aNumber);
  void MarkChanged(job_entry& aJob);
  /// Marks the part with the task's row as changed by the job's last change.
  static void MarkPartChanged(job_entry& aJob, const task_id& aTask);
  void MarkStepChanged(job_entry& aJob, const task_id& aTask);
  void RestoreParts(job_entry& aJob, const stored_job& aStored, instant aNow);
  void RestoreGangEnds(job_entry& aJob);
  void FinishJob(job_entry& aJob, work_state aState, const std::string& aReason, instant aNow);
  void FinishJobIfDone(job_entry& aJob, instant aNow);
  task_entry* FindTask(const task_id& aTask);
  job_entry* FindJob(const std::string& aJob);
  step_entry* FindStep(const task_id& aTask);
  const work_step* FindSpec(const task_id& aTask);

  // work_writes.cpp
  void RetryRefusedJobs(instant aNow);

  // work_runs.cpp
  void HandleRunEnd(worker_entry& aWorker, const run_id& aRun, run_end aHow,
                    const std::string& aCheckpoint, instant aNow);
  void HandleRunLost(worker_entry& aWorker, const run_id& aRun, std::string_view aReason,
                     instant aNow);
  void RequeueTask(const run_id& aRun, const std::string& aCheckpoint, instant aNow);
  void MarkTaskDone(const task_id& aTask, instant aNow);
  void HandleTaskFailure(const run_id& aRun, const std::string& aWorker, instant aNow);
  void StopOtherGangMembers(const run_id& aRun, instant aNow);
  void StopRun(worker_entry& aWorker, const run_id& aRun, std::string_view aReason, instant aNow);
  void StopJobRuns(job_entry& aJob, std::string_view aReason, instant aNow);
  void SendStops(worker_entry& aWorker, instant aNow);
  void RemoveRun(worker_entry& aWorker, const run_id& aRun);
  void SendRecordedStarts(job_entry& aJob, instant aNow);
  void AdvanceAcknowledged(worker_entry& aWorker);
  void HandleExpiredLeases(const std::string& aId, worker_entry& aWorker, instant aNow);
  void HandleTimeouts(instant aNow);
  void EmitEvent(work_event_kind aKind, const std::string& aJob, std::string aTask,
                 std::string aWorker, std::string_view aReason,
                 milliseconds aAge = milliseconds{ 0 });

  // work_reports.cpp
  void ApplyReport(worker_entry& aWorker, const worker_report& aReport, instant aSent,
                   instant aNow);
  std::string_view ApplyListedRun(worker_entry& aWorker, const run_id& aId, run_entry& aRun,
                                  const listed_run& aListed, instant aNow);
  bool LacksGangMembers(const run_id& aRun);
  void ApplyEnds(worker_entry& aWorker, const worker_report& aReport, instant aNow);
  void StopOrphans(worker_entry& aWorker, const worker_report& aReport);
  poll_plan MakePollPlan(worker_entry& aWorker, instant aNow) const;
  void ResetForIncarnation(worker_entry& aWorker, std::int64_t aIncarnation, instant aNow);

  // work_health.cpp
  /// Whether half of the workers of the service have failed their last run.
  bool AreManyFailing(const std::string& aService) const;
  void PenaliseFailure(worker_entry& aWorker, const run_id& aRun, std::string_view aReason,
                       instant aNow);
  milliseconds MaxStall(const worker_entry& aWorker, const run_id& aId, const run_entry& aRun);
  void RecordPace(const worker_entry& aWorker, const run_id& aId, run_entry& aRun, int aPercent,
                  instant aNow);
  void RecordStall(worker_entry& aWorker, const run_id& aId, instant aNow);
  void PenaliseStall(worker_entry& aWorker, instant aNow);
  void ClearStallOnProgress(worker_entry& aWorker, const run_entry& aRun);
  void ClearFailures(worker_entry& aWorker);
  void MeasureRate(worker_entry& aWorker, run_entry& aRun, int aPercent, instant aNow);
  /// Whether no other worker of the service that could be used has one of the worker's labels.
  bool IsLastWithLabel(const worker_entry& aWorker, instant aNow) const;
  void AvoidSlowWorker(worker_entry& aWorker, instant aNow);
  void Quarantine(worker_entry& aWorker, instant aNow, std::string_view aReason);

  // work_rates.cpp
  /// Whether a run of the step on this worker is evidence of the worker's speed.
  bool ShowsRate(const worker_entry& aWorker, const work_step& aStep) const;
  void MeasurePace(const worker_entry& aWorker, const run_id& aId, run_entry& aRun, int aPercent,
                   instant aNow);
  std::vector<worker_pace> PacesOfOtherTasks(const worker_entry& aWorker, const run_id& aId);
  void LearnWorkerRate(const worker_entry& aWorker, const run_id& aId, const run_entry& aRun,
                       instant aNow);
  void UpdateWorkerRates(instant aNow);
  void UpdateWorkerPresence(instant aNow);

  // work_departure.cpp
  void UpdateDeparture(worker_entry& aWorker, instant aNow);
  instant ExpectedEnd(const run_id& aRun, const run_entry& aEntry);
  bool IsExpectedToEndBy(const run_id& aRun, const run_entry& aEntry, instant aBy);

  // work_pacing.cpp
  bool MayPace() const { return mOptions.mParts.mPacing && mHasTargets; }
  /// Whether the run may be going slower than it could because of an order.
  bool IsSlowed(const worker_entry& aWorker, const run_entry& aRun) const;
  void SetPaces(worker_entry& aWorker, instant aNow);
  void SendPaces(worker_entry& aWorker, instant aNow);
  void HandlePaced(worker_entry& aWorker, const pace_run& aOrder, pace_outcome aOutcome,
                   instant aNow);

  // work_interference.cpp
  void SetKind(worker_entry& aWorker, run_entry& aRun, const job_entry& aJob, int aStep);
  void RemoveKind(worker_entry& aWorker, const run_entry& aRun);
  void MeasureInterference(worker_entry& aWorker, const run_id& aId, run_entry& aRun,
                           const listed_run& aListed, instant aNow);
  std::vector<task_kind> InterferingKinds(const work_job& aJob, int aStep) const;
  void RecordSeparation(const ready_unit& aUnit, const std::vector<worker_entry*>& aWorkers,
                        const std::vector<std::pair<int, worker_entry*>>& aPlaces);
  void ExpireInterference(instant aNow);
  void EmitInterferenceChanges();

  // work_limits.cpp
  void AddRun(worker_entry& aWorker, const run_id& aId, run_entry aRun, const job_entry& aJob);
  void AddClaim(worker_entry& aWorker, const job_entry& aJob, const work_step& aStep);
  void RemoveClaim(worker_entry& aWorker, const job_entry& aJob, const work_step& aStep);
  void SetOrphanUse(worker_entry& aWorker);
  void ReleaseOrphanUse(worker_entry& aWorker);
  /// Drops the orphans of a worker that does not answer once their leases have expired.
  void DropExpiredOrphans(worker_entry& aWorker, instant aNow);
  /// The waiting tasks that the organisation's limit lets start now; of a gang all or none.
  std::vector<int> TasksWithinLimit(const ready_unit& aUnit) const;
  /// When the organisation's limit is expected to have room for all tasks of the unit, as runs of
  /// the organisation end. Returns nullopt if that is not before aBy, or never.
  std::optional<instant> ExpectedLimitRoomAt(const ready_unit& aUnit, instant aBy, instant aNow);
  /// Of a gang that has waited long for its organisation's limit: when that is expected to have
  /// room for it; nullopt if not soon enough to hold other work of the organisation back.
  std::optional<instant> LimitRoomForGang(const ready_unit& aUnit, instant aNow);
  void RecordLimitWait(ready_unit& aUnit, bool aWaits);
  /// Stops work of the unit's own organisation that is worth less, so that the unit fits below the
  /// organisation's limit.
  void StopOwnWorkForLimit(const ready_unit& aUnit, instant aNow);
  bool IsBeyondRate(const job_entry& aJob, instant aObjective, instant aNow);

  // work_reservations.cpp
  /// Capacity is not kept free for a unit that starts later than this.
  static instant LatestUsefulStart(const ready_unit& aUnit, instant aNow);
  /// When the run is expected to free its capacity; nullopt for one that only ends when stopped.
  std::optional<instant> ExpectedRelease(const run_id& aRun, const run_entry& aEntry, instant aNow);
  /// When the workers are expected to have room for all tasks of the unit, as their runs end.
  /// Returns nullopt if that is not before aBy, or never.
  std::optional<instant> ExpectedRoomAt(const ready_unit& aUnit,
                                        const std::vector<worker_entry*>& aWorkers, instant aBy,
                                        instant aNow);
  /// Returns the rack that is reserved for the gang; empty if there is none.
  std::string ReserveRack(const ready_unit& aUnit, gang_reservations& aReservations, instant aNow);

  // work_idle_waits.cpp
  /// Records what keeps the unit's tasks away from workers that have room for them.
  void RecordIdleWait(ready_unit& aUnit, const gang_reservations& aReservations, bool aHeldBack,
                      instant aNow);
  void RecordReservation(const ready_unit& aUnit, const std::string& aRack, instant aNow);
  wait_reason IdleWaitReason(const worker_entry& aWorker, const ready_unit& aUnit,
                             const gang_reservations& aReservations, instant aNow) const;

  // work_schedule.cpp
  void PlaceAll(instant aNow);
  /// Until when other work of the unit's organisation is held back for the unit; nullopt: it is
  /// not.
  std::optional<instant> HeldLimitUntil(const ready_unit& aUnit, instant aNow);
  start_budget MakeStartBudget(const std::vector<ready_unit>& aUnits) const;
  void PlaceOrEvict(ready_unit& aUnit, gang_reservations& aReservations, start_budget& aStarts,
                    instant aNow);
  std::vector<worker_entry*> UsableWorkers(const ready_unit& aUnit, instant aNow);
  task_demand TotalCapacity() const;
  std::vector<ready_unit> ReadyUnits(instant aNow);
  /// How long a run of the step takes: as learned, or as declared while too few have completed.
  milliseconds ExpectedRunTime(const work_job& aJob, const work_step& aStep) const;
  milliseconds CriticalPath(const work_job& aJob) const;
  /// When the job should be finished.
  instant ObjectiveOf(const job_entry& aJob) const;
  void LearnRunTime(const worker_entry& aWorker, const run_id& aId, const run_entry& aRun,
                    instant aNow);
  void MarkGuaranteed(std::vector<ready_unit>& aUnits);
  /// Whether the unit's queue needs no advice, or the advisor approved the worker for the step.
  bool IsApproved(const worker_entry& aWorker, const ready_unit& aUnit, instant aNow) const;
  void RequestAdvice(const ready_unit& aUnit, instant aNow);
  /// Why the worker may not run the unit's step, the advisor's approval aside; kNone if it may.
  wait_reason Ineligibility(const worker_entry& aWorker, const ready_unit& aUnit,
                            instant aNow) const;
  bool IsEligible(const worker_entry& aWorker, const ready_unit& aUnit, instant aNow) const;
  bool IsUsable(const worker_entry& aWorker, const ready_unit& aUnit, instant aNow) const;
  /// Whether any worker has enough free capacity for a task.
  bool HasRoom(const task_demand& aDemand);
  /// Returns whether all the given tasks, or none of a gang that cannot be placed yet, are placed.
  bool PlaceUnit(ready_unit& aUnit, const std::vector<int>& aTasks,
                 const gang_reservations& aReservations, instant aNow);
  /// Whether the unit waits for workers near its data, or a gang for a rack that holds all of it.
  /// @param aWorkers the workers that the unit may use
  bool WaitsForLocality(const ready_unit& aUnit, const std::vector<worker_entry*>& aWorkers,
                        instant aNow) const;
  void AddRuns(const ready_unit& aUnit, const std::vector<std::pair<int, worker_entry*>>& aPlaces,
               instant aNow);
  void ConvertClaims(ready_unit& aUnit, instant aNow);
  void ReleaseClaims(job_entry& aJob);
  double LostWork(const run_id& aRun, const run_entry& aEntry, instant aNow);
  double EvictionCost(const run_id& aRun, const run_entry& aEntry, instant aNow);
  double MaxLostWork(const ready_unit& aUnit) const;
  bool MayEvict(const ready_unit& aUnit, const run_id& aRun, const run_entry& aEntry);
  bool MayInterrupt(const ready_unit& aUnit, const run_id& aRun, const run_entry& aEntry);
  bool IsAtWork(const task_id& aTask);
  int SpareTasks(const task_id& aTask);
  bool PlaceByEviction(ready_unit& aUnit, const std::vector<int>& aTasks, instant aNow);
};

} // namespace briarwind
