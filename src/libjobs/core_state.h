#pragma once

#include "briarwind/job_core.h"

#include "libjobs/cell_table.h"
#include "libjobs/cluster_table.h"
#include "libjobs/job_entry.h"
#include "libjobs/job_queue.h"
#include "libjobs/placement.h"
#include "libjobs/run_time_model.h"

#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace briarwind {

/// Workers that one large gang reserves while they become free.
struct drain
{
  job_entry* mJob = nullptr;
  placement mParts;
  instant mReadyBy; ///< when its workers should be free
};

enum class timer_kind : std::uint8_t
{
  kLapse,      ///< a lease without an answer must be gone
  kRetry,      ///< a job may be tried again
  kWriteAgain, ///< a record of unknown fate is written again
  kGrace,      ///< work without checkpoints in a withdrawn domain has had its time
  kDropEnded,  ///< an ended job need no longer be known
  kOrphan,     ///< an orphaned lease must be gone
  kProbe,      ///< a quarantined worker gets its probe
};

/// A lease that was found at takeover and that no record explains, while it is being stopped.
struct orphan_lease
{
  member_id mMember;
  worker_index mWorker = kNoWorker;
};

struct timer
{
  timer_kind mKind = timer_kind::kLapse;
  std::string mName; ///< job or worker
  int mAttempt = 0;
  int mMember = 0;
};

/// Everything the core knows. Its functions are spread over core_*.cpp by subject.
struct job_core::state
{
  explicit state(const job_options& aOptions)
    : mOptions(aOptions)
  {
  }

  // core_events.cpp
  void On(const settings_changed& aEvent);
  void On(const workers_changed& aEvent);
  void On(const worker_lost& aEvent);
  void On(const worker_found& aEvent);
  void On(const freshness_changed& aEvent);
  void On(const epoch_gained& aEvent);
  void On(const epoch_lost& aEvent);
  void On(const store_reachable& aEvent);
  void On(const tick& aEvent);
  void AfterEvent();
  void FireTimers();
  void Fire(const timer& aTimer);
  void DropJobs();

  // core_submission.cpp
  void On(const job_submitted& aEvent);
  void On(const job_cancelled& aEvent);
  void SubmitAgain(job_entry& aKnown, const job_submitted& aEvent);
  findings CheckSpec(const job_spec& aSpec) const;
  /// Why the job could never run, on all listed workers when empty; empty when it could.
  std::string WhyImpossible(const job_spec& aSpec) const;
  job_entry& AddJob(const job_record& aRecord);
  void Answer(std::uint64_t aRequest, const std::string& aJob, submission_outcome aOutcome,
              std::string aReason, findings aFindings = {});
  void AnswerAll(job_entry& aJob, submission_outcome aOutcome, const std::string& aReason);
  void End(job_entry& aJob, job_state aState, const std::string& aReason);
  organisation_state& OrganisationOf(const std::string& aName);
  team_state& TeamOf(const std::string& aName);

  // core_records.cpp
  void On(const record_finished& aEvent);
  void WriteRecord(job_entry& aJob);
  void Recorded(job_entry& aJob);
  void TakeLateRecord(job_entry& aJob, const restored_record& aLate);
  void RecordConflict(job_entry& aJob, const record_finished& aEvent);
  void RecordInDoubt(job_entry& aJob);
  void DropForeign(job_entry& aJob);

  // core_attempt.cpp
  void On(const reserve_finished& aEvent);
  void On(const start_finished& aEvent);
  void On(const stop_finished& aEvent);
  void BeginAttempt(job_entry& aJob, const placement& aParts, tenure aTenure, int aCell);
  bool HasRoom(const job_entry& aJob) const;
  void ReserveAll(job_entry& aJob);
  void AllReserved(job_entry& aJob);
  void StartAll(job_entry& aJob);
  void SendStart(job_entry& aJob, int aMember);
  void StartRefused(job_entry& aJob, int aMember);
  void MemberRuns(job_entry& aJob, int aMember);
  void StopAttempt(job_entry& aJob, after_stop aAfter, const std::string& aReason,
                   milliseconds aCheckpointBound);
  void GiveUpTenure(job_entry& aJob);
  void LeaveCell(job_entry& aJob);
  void StopMember(job_entry& aJob, int aMember, milliseconds aCheckpointBound);
  void MemberGone(job_entry& aJob, int aMember);
  void LetReserve(worker_index aWorker);
  void LetLapse(job_entry& aJob, int aMember);
  void FinishIfOver(job_entry& aJob);
  void Requeue(job_entry& aJob, bool aDelayed);
  job_entry* FindAttempt(const member_id& aMember);
  member_id IdOf(const job_entry& aJob, int aMember) const;
  void LeaveFlight(job_entry& aJob);

  // core_leases.cpp
  void On(const lease_report& aEvent);
  void TakeStatus(job_entry& aJob, int aMember, const lease_status& aStatus);
  void MemberFailed(job_entry& aJob, int aMember);
  void RenewDue();
  void RenewWorker(worker_index aWorker);
  void TaskFailed(worker_index aWorker, const std::string& aJob);
  void TaskSucceeded(worker_index aWorker);
  void Quarantine(worker_index aWorker);
  void ProbeWorker(worker_index aWorker);

  // core_queue.cpp
  void Schedule();
  bool CanPlace() const;
  queue_class* NextClass() const;
  bool TryHead(queue_class& aClass);
  bool TryClaim(job_entry& aJob);
  bool TryOrdinary(job_entry& aJob);
  bool TryEvicting(job_entry& aJob, const placement_request& aRequest);
  bool TryBackfill(job_entry& aJob, placement_request aRequest);
  bool IsOverQuota(const job_entry& aJob) const;
  void Wait(job_entry& aJob, wait_reason aReason, std::string aDetail = {});
  wait_reason WhyNoRoom(job_entry& aJob, placement_failure aFailure);
  placement_request RequestFor(const job_entry& aJob, room_kind aRoom) const;
  void Enqueue(job_entry& aJob);
  void Unqueue(job_entry& aJob);
  milliseconds EstimateOf(const job_entry& aJob) const;
  milliseconds RemainingOf(const job_entry& aJob) const;
  double ShareOf(const organisation_state& aOrganisation) const;

  // core_eviction.cpp
  void MakeRoom(job_entry& aJob, milliseconds aCheckpointBound);
  void EvictOn(worker_index aWorker, job_entry& aFor, milliseconds aCheckpointBound);
  bool YieldsTo(const job_entry& aVictim, const job_entry& aGang) const;
  placement PlanEviction(const job_entry& aGang) const;
  bool TryGangEviction(job_entry& aGang);
  bool MayEvict(const job_entry& aVictim, const job_entry& aFor) const;
  std::int64_t LossOf(const job_entry& aJob) const;
  void StopOut(const std::vector<worker_index>& aWorkers, const std::string& aReason);

  // core_drain.cpp
  void ConsiderDrain(job_entry& aJob);
  bool MayDrain(const job_entry& aJob) const;
  bool MayEvictAsGang(const job_entry& aJob) const;
  void BeginDrain();
  void ServeDrains();
  void EndDrain(job_entry& aJob);
  bool IsReady(const drain& aDrain) const;
  std::uint32_t GroupOf(adjacency aAdjacency, worker_index aWorker) const;
  std::optional<drain> PlanDrain(job_entry& aJob) const;

  // core_cells.cpp
  void SetDemands();
  void Rebind();
  placement CellPlaceFor(const job_entry& aJob, int aCell);

  // core_takeover.cpp
  void On(const restored& aEvent);
  void AddOrphan(const member_id& aMember, worker_index aWorker);
  bool OrphanAnswered(const stop_finished& aEvent);
  void OrphanGone(worker_index aWorker);
  void RestoreJob(const restored_record& aRecord, const std::vector<worker_listing>& aWorkers);

  void AdoptUnrecorded(job_entry& aJob, const std::vector<worker_listing>& aWorkers);
  placement AdoptMembers(job_entry& aJob);
  bool AdoptLease(job_entry& aJob, int aMember, const std::vector<worker_listing>& aWorkers);
  void AdoptAttempt(job_entry& aJob, const std::vector<worker_listing>& aWorkers);

  // core_explain.cpp
  std::optional<job_explanation> Explain(const std::string& aJob) const;
  job_view ViewOf(const job_entry& aJob) const;

  void Do(action aAction) { mActions.push_back(std::move(aAction)); }
  void Note(decision_kind aKind, std::string aJob, std::string aWorker = {},
            std::string aOther = {}, std::string aReason = {});
  void At(instant aWhen, timer aTimer) { mTimers.emplace(aWhen, std::move(aTimer)); }
  job_entry* FindJob(const std::string& aName);
  const std::string& NameOf(worker_index aWorker) const { return mCluster.At(aWorker).mInfo.mName; }

  job_options mOptions;
  instant mNow;
  std::vector<action> mActions;

  settings_view mSettings;
  cluster_table mCluster;
  cell_table mCells;
  job_queue mQueue;
  run_time_model mRunTimes;
  std::map<std::string, organisation_state> mOrganisations;
  std::map<std::string, team_state> mTeams;
  std::unordered_map<std::string, std::unique_ptr<job_entry>> mJobs;
  std::multimap<instant, timer> mTimers;
  std::list<drain> mDrains;
  std::vector<orphan_lease> mOrphans;

  epoch_number mEpoch = 0;
  bool mActing = false;
  bool mSomeNotAsked = false; ///< at takeover, a listed worker could not be asked
  bool mFresh = false;
  std::string mFreshReason = "no view confirmed yet";
  bool mStoreReachable = true;

  std::uint64_t mNextSequence = 0;
  std::uint64_t mNextChange = 0;
  int mLiveJobs = 0; ///< not over
  int mInFlight = 0; ///< members being reserved or started
  int mRunning = 0;  ///< jobs of which every member runs
  bool mRoomChanged = true;
  bool mScheduleNow = false;
  bool mRebindNeeded = false; ///< a claim ended, its shape may go back to where it belongs
  std::vector<std::string> mMayReserve; ///< jobs that wait for evictions and may have room now
  job_entry* mDrainCandidate = nullptr;
  double mDrainScore = 0;
  double mFleetFailureRate = 0;
  instant mRenewedUpTo;
  worker_index mNextRenewal = 0;
};

} // namespace briarwind
