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

/// Capacity that is held for one waiting job while it becomes free (a draining reservation).
struct drain_reservation
{
  job_entry* mJob = nullptr;
  placement mParts;
  instant mReadyBy; ///< estimated instant at which all of the capacity is free
};

enum class timer_kind : std::uint8_t
{
  kLapse,         ///< an unanswered lease has lapsed
  kRetry,         ///< the backoff of a job is over
  kRewriteRecord, ///< a record is written again after a write of unknown outcome
  kGrace,         ///< the grace time of a withdrawn job without checkpoints is over
  kDropEnded,     ///< an ended job is dropped from memory
  kOrphan,        ///< an orphaned lease has lapsed
  kProbe,         ///< a quarantined worker is probed, or a probe period ends
};

/// A lease that was found at takeover, matches no record and is being stopped.
struct orphan_lease
{
  member_id mMember;
  worker_index mWorker = kNoWorker;
};

struct timer
{
  timer_kind mKind = timer_kind::kLapse;
  std::string mName; ///< job name, or worker name for kOrphan and kProbe
  int mAttempt = 0;
  int mMember = 0;
};

/// Complete state of the core. The member functions are defined in core_*.cpp, grouped by subject.
struct job_core::state
{
  explicit state(const job_options& aOptions)
    : mOptions(aOptions)
  {
  }

  // core_events.cpp
  void HandleEvent(const settings_changed& aEvent);
  void HandleEvent(const workers_changed& aEvent);
  void HandleEvent(const worker_lost& aEvent);
  void HandleEvent(const worker_recovered& aEvent);
  void HandleEvent(const freshness_changed& aEvent);
  void HandleEvent(const epoch_gained& aEvent);
  void HandleEvent(const epoch_lost& aEvent);
  void HandleEvent(const store_reachable& aEvent);
  void HandleEvent(const tick& aEvent);
  void AfterEvent();
  void FireTimers();
  void Fire(const timer& aTimer);
  void DropJobs();

  // core_submission.cpp
  void HandleEvent(const job_submitted& aEvent);
  void HandleEvent(const job_cancelled& aEvent);
  void HandleResubmission(job_entry& aKnown, const job_submitted& aEvent);
  findings ValidateSpec(const job_spec& aSpec) const;
  /// Why the job could not run even if all listed workers were empty. Returns an empty text when it
  /// could.
  std::string ExplainImpossible(const job_spec& aSpec) const;
  job_entry& AddJob(const job_record& aRecord);
  void AnswerSubmission(std::uint64_t aRequest, const std::string& aJob,
                        submission_outcome aOutcome, std::string aReason, findings aFindings = {});
  void AnswerPendingSubmissions(job_entry& aJob, submission_outcome aOutcome,
                                const std::string& aReason);
  void EndJob(job_entry& aJob, job_state aState, const std::string& aReason);
  organisation_state& FindOrAddOrganisation(const std::string& aName);
  team_state& FindOrAddTeam(const std::string& aName);

  // core_records.cpp
  void HandleEvent(const record_finished& aEvent);
  void WriteRecord(job_entry& aJob);
  void HandleRecordStored(job_entry& aJob);
  void AdoptPredecessorRecord(job_entry& aJob, const restored_record& aLate);
  void HandleRecordConflict(job_entry& aJob, const record_finished& aEvent);
  void HandleUnknownWriteOutcome(job_entry& aJob);
  void DropForeignJob(job_entry& aJob);

  // core_attempt.cpp
  void HandleEvent(const reserve_finished& aEvent);
  void HandleEvent(const start_finished& aEvent);
  void HandleEvent(const stop_finished& aEvent);
  void BeginAttempt(job_entry& aJob, const placement& aParts, eviction_class aEvictionClass,
                    int aCell);
  bool HasRoom(const job_entry& aJob) const;
  void ReserveMembers(job_entry& aJob);
  void RecordAttempt(job_entry& aJob);
  void StartMembers(job_entry& aJob);
  void SendStart(job_entry& aJob, int aMember);
  void HandleStartRefused(job_entry& aJob, int aMember);
  void MarkMemberRunning(job_entry& aJob, int aMember);
  void StopAttempt(job_entry& aJob, after_stop aAfter, const std::string& aReason,
                   milliseconds aCheckpointBound);
  void DowngradeToBorrowed(job_entry& aJob);
  void ReleaseCell(job_entry& aJob);
  void StopMember(job_entry& aJob, int aMember, milliseconds aCheckpointBound);
  void ReleaseMember(job_entry& aJob, int aMember);
  void RequestReservationChecks(worker_index aWorker);
  void AwaitLapse(job_entry& aJob, int aMember);
  void CompleteAttemptIfOver(job_entry& aJob);
  void Requeue(job_entry& aJob, bool aDelayed);
  job_entry* FindAttempt(const member_id& aMember);
  member_id MemberIdOf(const job_entry& aJob, int aMember) const;
  void ClearInFlight(job_entry& aJob);

  // core_leases.cpp
  void HandleEvent(const lease_report& aEvent);
  void ApplyLeaseStatus(job_entry& aJob, int aMember, const lease_status& aStatus);
  void HandleMemberFailure(job_entry& aJob, int aMember);
  void RenewDueLeases();
  void RenewWorkerLeases(worker_index aWorker);
  void CountTaskFailure(worker_index aWorker, const std::string& aJob);
  void CountTaskSuccess(worker_index aWorker);
  void QuarantineWorker(worker_index aWorker);
  void ProbeWorker(worker_index aWorker);

  // core_queue.cpp
  void Schedule();
  bool CanPlace() const;
  queue_class* NextClass() const;
  bool TryPlaceHead(queue_class& aClass);
  bool TryPlaceClaim(job_entry& aJob);
  bool TryPlaceOrdinary(job_entry& aJob);
  bool TryPlaceByEviction(job_entry& aJob, const placement_request& aRequest);
  bool TryBackfill(job_entry& aJob, placement_request aRequest);
  bool IsOverQuota(const job_entry& aJob) const;
  void SetWait(job_entry& aJob, wait_reason aReason, std::string aDetail = {});
  wait_reason DiagnoseNoRoom(job_entry& aJob, placement_failure aFailure);
  placement_request MakePlacementRequest(const job_entry& aJob, room_kind aRoom) const;
  void Enqueue(job_entry& aJob);
  void Dequeue(job_entry& aJob);
  milliseconds EstimateOf(const job_entry& aJob) const;
  milliseconds RemainingOf(const job_entry& aJob) const;
  double WeightedShareOf(const organisation_state& aOrganisation) const;

  // core_eviction.cpp
  void MakeRoom(job_entry& aJob, milliseconds aCheckpointBound);
  void EvictOn(worker_index aWorker, job_entry& aFor, milliseconds aCheckpointBound);
  bool IsEvictableByGang(const job_entry& aVictim, const job_entry& aGang) const;
  placement PlanEviction(const job_entry& aGang) const;
  bool TryGangEviction(job_entry& aGang);
  bool MayEvict(const job_entry& aVictim, const job_entry& aFor) const;
  std::int64_t EvictionCostOf(const job_entry& aJob) const;
  void StopJobsOn(const std::vector<worker_index>& aWorkers, const std::string& aReason);

  // core_drain.cpp
  void ConsiderDrainCandidate(job_entry& aJob);
  bool MayDrain(const job_entry& aJob) const;
  bool MayEvictAsGang(const job_entry& aJob) const;
  void BeginDrain();
  void AdvanceDrains();
  void EndDrain(job_entry& aJob);
  bool IsReady(const drain_reservation& aDrain) const;
  std::uint32_t GroupOf(adjacency aAdjacency, worker_index aWorker) const;
  std::optional<drain_reservation> PlanDrain(job_entry& aJob) const;

  // core_cells.cpp
  void UpdateGuarantees();
  void RebindCells();
  placement PlaceForClaim(const job_entry& aJob, int aCell);

  // core_takeover.cpp
  void HandleEvent(const restored& aEvent);
  void AddOrphan(const member_id& aMember, worker_index aWorker);
  bool HandleOrphanStopped(const stop_finished& aEvent);
  void ReleaseOrphan(worker_index aWorker);
  void RestoreJob(const restored_record& aRecord, const std::vector<worker_listing>& aWorkers);

  void AdoptUnrecorded(job_entry& aJob, const std::vector<worker_listing>& aWorkers);
  placement AdoptMembers(job_entry& aJob);
  bool AdoptLease(job_entry& aJob, int aMember, const std::vector<worker_listing>& aWorkers);
  void AdoptAttempt(job_entry& aJob, const std::vector<worker_listing>& aWorkers);

  // core_explain.cpp
  std::optional<job_explanation> Explain(const std::string& aJob) const;
  job_view ViewOf(const job_entry& aJob) const;

  void Emit(action aAction) { mActions.push_back(std::move(aAction)); }
  void EmitDecision(decision_kind aKind, std::string aJob, std::string aWorker = {},
                    std::string aOther = {}, std::string aReason = {});
  void ScheduleTimer(instant aWhen, timer aTimer) { mTimers.emplace(aWhen, std::move(aTimer)); }
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
  std::list<drain_reservation> mDrains;
  std::vector<orphan_lease> mOrphans;

  epoch_number mEpoch = 0;
  bool mActing = false;
  bool mHadUnreachableWorkers = false; ///< at takeover, a listed worker gave no listing
  bool mFresh = false;
  std::string mFreshReason = "no view confirmed yet";
  bool mStoreReachable = true;

  std::uint64_t mNextSequence = 0;
  std::uint64_t mNextChange = 0;
  int mLiveJobs = 0; ///< jobs that have not ended
  int mInFlight = 0; ///< members being reserved or started, over all jobs
  int mRunning = 0;  ///< jobs in phase kRunning
  bool mRoomChanged = true;
  bool mScheduleNow = false;
  bool mRebindNeeded = false; ///< a claim ended, so its cell may move back to its planned place
  /// Jobs that wait for evictions on workers where capacity was freed.
  std::vector<std::string> mReservationChecks;
  job_entry* mDrainCandidate = nullptr;
  double mDrainScore = 0;
  double mFleetFailureRate = 0;
  instant mRenewedUpTo;
  worker_index mNextRenewal = 0;
};

} // namespace briarwind
