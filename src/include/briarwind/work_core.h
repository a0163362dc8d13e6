#pragma once

#include "briarwind/config_store.h"
#include "briarwind/work_model.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Scheduling decisions of the leading host: which task runs on which worker, which runs are
/// stopped, and which records must be stored before an order may be sent. The core does no I/O and
/// reads no clock; callers pass in the time and all input.

namespace briarwind {

/// Parts of the scheduler that can be switched off, to compare runs with and without them.
struct work_parts
{
  bool mLearnedTimes = true; ///< expect run times as learned rather than as declared
  bool mLateLast = true;     ///< work that cannot meet its objective comes behind work that can
  bool mShapeFit = true;     ///< best fit over all resources rather than accelerators first
  bool mSpareInTime = true;  ///< prefer to preempt work that is late already
  bool mReservations = true; ///< hold racks for gangs that wait
  bool mWorkerRates = true;  ///< order workers by their measured speed and by their absences
  bool mInterference = true; ///< keep tasks apart that slow each other down, where there is room
  bool mPacing = true;       ///< slow best-effort tasks beside a serving one that misses its target

  bool operator==(const work_parts&) const = default;
};

/// One of the parts, as an option of the process.
struct work_part_switch
{
  std::string_view mFlag;
  bool work_parts::* mPart;
  std::string_view mHelp;
};
std::span<const work_part_switch> WorkPartSwitches();

/// Limits that the deployment sets, and tuning parameters of the scheduler.
struct work_options
{
  work_parts mParts;
  /// Longest lease that workers grant; set by the deployment.
  milliseconds mMaxLease{ 10'000 };
  /// Time that a task needs to resume from a checkpoint; set by the deployment.
  milliseconds mRestoreTime{ 300 };
  /// Upper bound of the work that urgent work beyond a guarantee may destroy by preemption, as a
  /// multiple of its own work: an hour of urgent work is worth about this many hours of other work.
  double mMaxLostWorkFactor = 4;
  /// Factor by which lease durations are extended when waiting for their end. A worker's clock may
  /// be 2% slow; the rest covers rounding.
  double mClockDriftFactor = 1.03;
  /// A run that reports no new percentage for several times as long as one percent takes is stalled
  /// (run_pace.h), but never before this time: two polls.
  milliseconds mMinStallTime{ 900 };
  /// The same for a run of which no length is known, and the least for the startup of a
  /// long-running task: several times the startups that were seen.
  milliseconds mMaxStallTime{ 3'000 };
  /// How long a worker that failed or refused a run receives no further runs. The time doubles with
  /// each consecutive failure up to the maximum. The first is shorter than any task, the maximum a
  /// tenth of a lease's life more.
  milliseconds mFirstQuarantine{ 1'000 };
  milliseconds mMaxQuarantine{ 8'000 };
  /// A gang is placed on a worker whose last run failed only after the gang has waited this long:
  /// well below the time within which guaranteed work has to start.
  milliseconds mGangProbeDelay{ 1'000 };
  /// How long a step waits for a better placement (near its data, on one rack) than those that are
  /// free now.
  milliseconds mLocalityWait{ 1'500 };
  /// Long-poll time: how long a worker holds a poll until a run ends. Short enough to detect a
  /// stall within two polls, long enough that polls are few compared with starts.
  milliseconds mLongPollWait{ 800 };
  /// Interval between reads of the registry, hence the maximum age of its data. Two reads fall
  /// within the shortest time after which a leaving worker must receive no more starts.
  milliseconds mRegistryInterval{ 700 };
  /// How long the end of a finished job is retained; set by the deployment, with a margin.
  milliseconds mFinishedRetention{ 150'000 };
  /// Longest value that the store takes; set by the deployment.
  std::size_t mMaxValueBytes = std::size_t{ 1 } << 20U;
  /// Interval at which the records of expired jobs are deleted, and failed deletions are retried.
  milliseconds mRemovalInterval{ 5'000 };
};

/// Order to start one run.
struct start_run
{
  run_id mRun;
  std::string mWorker;
  std::string mPayload;
  std::string mCheckpoint;
  std::string mTicket; ///< issued by the advisor; empty where the queue uses no advice
};

/// Request to the placement advisor: which of these workers may run the step.
struct advice_request
{
  task_id mStep; ///< the task index is ignored
  std::vector<std::string> mWorkers;
};

/// The advisor's answer.
struct placement_advice
{
  struct row
  {
    std::string mWorker;
    std::string mTicket;
  };
  std::vector<row> mApproved;  ///< the workers that may run the step
  milliseconds mValidFor{ 0 }; ///< how long the tickets are valid
};

/// Order to stop one run.
struct stop_run
{
  run_id mRun;
  std::string mWorker;
};

/// Order to let one best-effort run go at a share of its pace.
struct pace_run
{
  run_id mRun;
  std::string mWorker;
  int mPercent = 100; ///< 0 to 100; a run starts with 100
};

enum class work_event_kind : std::uint8_t
{
  kJobKnown,              ///< a job was added
  kStarted,               ///< the placement is stored and the start order is sent
  kStartFailed,           ///< a start order was refused or not answered
  kEnded,                 ///< a run ended
  kEvicted,               ///< a run is stopped in favour of another job
  kStopped,               ///< a run is stopped for another reason
  kLost,                  ///< a run disappeared without reporting its end
  kJobOver,               ///< a job reached a final state
  kWorkerRestored,        ///< a worker answered a poll, the first or after an unanswered one
  kWorkerLost,            ///< the leases of an unresponsive worker have expired
  kWorkerQuarantined,     ///< a worker receives no new runs for a while
  kWaitsForLimit,         ///< the limit of its organisation keeps tasks of a job from starting
  kInterferenceLearned,   ///< one kind of task is known to slow another one down
  kInterferenceApplied,   ///< a placement was changed for a pair of kinds, the first since learned
  kInterferenceForgotten, ///< the pair of kinds no longer interferes, or not enough is known of it
  kPaceChanged,           ///< the best-effort tasks of a worker are slowed, or go faster again
  kWorkerSlow,            ///< a worker's runs take longer than their steps' other tasks
  kWorkerNotSlow,         ///< a slow worker is of the usual speed again, or no longer judged
  kWorkerFlaps,           ///< a worker went away repeatedly within a short time
  kWaitsBesideIdle,       ///< tasks keep waiting although a worker has room for one
  kRackReserved,          ///< a gang that waits for room has a rack reserved, or another one
  kWriteRefused,          ///< the store refused the progress record of a job
  kOccurrencesWait,       ///< due occurrences of a timed job wait until earlier ones have started
};

/// Name of the event kind in logs and metrics.
std::string_view ToString(work_event_kind aKind);

/// What keeps a task away from a worker that has room for it, in the order in which placement
/// checks it.
enum class wait_reason : std::uint8_t
{
  kNone,
  kLabel,                 ///< the worker lacks the required label
  kWithdrawn,             ///< the worker's failure domain is withdrawn
  kLeaving,               ///< the worker is draining
  kUnreachable,           ///< the worker did not answer its last poll
  kUnknownRuns,           ///< the worker has runs that this leader has no record of
  kQuarantined,           ///< a run failed or stalled on the worker, or was refused there
  kAvoided,               ///< a run slowed down on the worker
  kAdvice,                ///< the placement advisor has not approved the worker
  kReserved,              ///< the worker is reserved for a gang that comes first
  kRecentFailure,         ///< after a failure, the worker receives one run at a time
  kPerWorkerLimit,        ///< the worker has as many tasks of the step as it may have
  kLocality,              ///< the step waits for workers near its data
  kGang,                  ///< the gang does not fit as a whole
  kOrganisationLimitUsed, ///< the organisation's limit is used up
  kOrganisationHeldBack,  ///< a gang of the organisation waits for the organisation's limit
};

/// Name of the reason in logs and metrics.
std::string_view ToString(wait_reason aReason);

/// Steps whose tasks wait for one reason although a worker has room for one.
struct idle_wait
{
  wait_reason mReason = wait_reason::kNone;
  int mSteps = 0;
};

/// An event for logs and counters. Members that don't apply are empty.
struct work_event
{
  work_event_kind mKind = work_event_kind::kJobKnown;
  std::string mJob;
  std::string mTask; ///< `job.occurrence.step.index`
  std::string mWorker;
  std::string mReason;
  milliseconds mAge{ 0 }; ///< of the worker's last report, or of the job at its end
};

using work_action = std::variant<start_run, stop_run, pace_run, advice_request, work_event>;

/// Parameters of the next poll of one worker.
struct poll_plan
{
  std::string mAddress;
  std::int64_t mIncarnation = 0;
  milliseconds mLeaseUntil{ 0 }; ///< on the worker's clock; 0: the lease is not extended
  std::int64_t mAcknowledged = 0;
  milliseconds mWait{ 0 }; ///< how long the worker may hold the answer until a run ends
};

/// A part of the progress record of a wide job.
struct record_part
{
  std::int64_t mNumber = 0;
  std::string mValue; ///< empty: the part is deleted
};

/// A progress record to be written for one job if its stored revision is still mExpected. The parts
/// are written, or deleted, in the same transaction.
struct progress_write
{
  std::string mJob;
  store_revision mExpected = 0;
  std::string mValue;
  std::vector<record_part> mParts;
};

/// A job as read from the store.
struct stored_job
{
  work_job mJob;
  bool mCancelled = false;
  std::string mProgress; ///< empty: no progress record was written
  store_revision mProgressRevision = 0;
  /// Revision of the accepted record. It identifies the job, because an id may be used again once
  /// the records of the job that had it are deleted.
  store_revision mAcceptedRevision = 0;
  std::vector<record_part> mProgressParts{};
};

/// A finished job whose records may be deleted if its progress record still has this revision.
struct expired_job
{
  std::string mId;
  store_revision mProgressRevision = 0;
  std::vector<std::int64_t> mParts{}; ///< numbers of the stored parts of its progress record
};

struct work_counts
{
  int mJobs = 0; ///< jobs that are not finished
  int mWaitingTasks = 0;
  int mLiveRuns = 0;
  int mWorkers = 0;          ///< workers that the registry lists
  int mReachableWorkers = 0; ///< those of them that answered their last poll
};

/// What one organisation has in use, and its limit.
struct organisation_use
{
  std::string mOrganisation;
  task_demand mInUse;
  task_demand mLimit; ///< 0: no limit on that resource
};

/// The scheduler of the leading host. Not thread safe.
class work_core
{
public:
  explicit work_core(const work_options& aOptions = {});
  ~work_core();
  work_core(const work_core&) = delete;
  work_core& operator=(const work_core&) = delete;

  /// Begins a term as leader and discards all earlier state.
  /// @param aEpoch fencing epoch, higher than that of any earlier leader; workers refuse orders
  ///        with a lower epoch than the highest they have seen
  void BeginTerm(std::int64_t aEpoch, instant aNow);
  /// Ends the term and discards all state: no decision is made and no action is returned until the
  /// next term.
  void EndTerm();
  /// Continues the term under a higher epoch. No other host may have led in between.
  void RaiseEpoch(std::int64_t aEpoch);
  std::int64_t Epoch() const;

  void SetSettings(const work_settings& aSettings, instant aNow);
  /// Replaces the list of registered workers. Workers that are missing from it keep their runs
  /// until the leases of these runs have certainly expired.
  void SetWorkers(const std::vector<registered_worker>& aWorkers, instant aNow);
  /// Whether an accepted record with this id and revision is of a job that AddJob has to add. It is
  /// not if the job is known, or if the record was read before its deletion and arrives late.
  bool IsNewJob(const std::string& aJob, store_revision aAccepted) const;
  /// A finished job with the same id and an earlier revision is replaced.
  /// @param aWallNow decides which occurrences of timed jobs are due
  void AddJob(const stored_job& aJob, instant aNow, wall_time aWallNow);
  /// Called when all records that were accepted up to this revision have been passed to AddJob.
  void SetFollowedRevision(store_revision aRevision);
  void CancelJob(const std::string& aJob, instant aNow);

  void OnStarted(const start_run& aOrder, start_outcome aOutcome, instant aSent, instant aNow);
  void OnStopped(const stop_run& aOrder, stop_outcome aOutcome, instant aSent, instant aNow);
  void OnPaced(const pace_run& aOrder, pace_outcome aOutcome, instant aNow);
  /// @param aAnswer nullopt: the advisor did not answer; the request may be repeated
  void OnAdvice(const advice_request& aRequest, const std::optional<placement_advice>& aAnswer,
                instant aNow);
  /// @param aSent when the poll was sent; the report may miss anything that happened later
  void OnReport(const std::string& aWorker, const worker_report& aReport, instant aSent,
                instant aNow);
  /// Called when a poll was not answered.
  void OnPollFailed(const std::string& aWorker, instant aNow);

  /// Places what can be placed and handles timeouts.
  void Decide(instant aNow, wall_time aWallNow);

  /// Returns the actions decided since the last call.
  std::vector<work_action> TakeActions();
  /// Returns records that must be written before dependent orders are sent: at most one per job,
  /// and aMax of them with their parts. They are few enough to be sent to the store in one call.
  std::vector<progress_write> TakeWrites(std::size_t aMax);
  void OnWritten(const std::string& aJob, store_revision aRevision, instant aNow);
  /// Called when a record was not written. The core returns it again, to replace revision aCurrent.
  void OnNotWritten(const std::string& aJob, store_revision aCurrent);
  /// Called when the store refuses a record for what it holds, which a repetition does not change.
  /// The job's placements that are not stored are taken back, and it is left alone for a while.
  void OnWriteRefused(const std::string& aJob, std::string_view aReason, instant aNow);
  /// Finished jobs whose retention time has passed and whose final state is stored. They stay known
  /// until ForgetJob is called for them.
  std::vector<expired_job> ExpiredJobs(instant aNow) const;
  /// Removes the job; called once the store has confirmed that its records are deleted. Has no
  /// effect when another job has the id by now.
  void ForgetJob(const expired_job& aJob);

  /// Returns nullopt when the worker needs no poll at present.
  std::optional<poll_plan> PlanPoll(const std::string& aWorker, instant aNow);
  /// Plans a second poll while another one is in flight, if the one in flight cannot reveal what
  /// became of an order.
  /// @param aFinalExtension leases can soon no longer be extended: also extends those leases that
  ///        were not extended recently
  std::optional<poll_plan> PlanSecondPoll(const std::string& aWorker, instant aNow,
                                          bool aFinalExtension = false);
  std::vector<std::string> Workers() const;
  /// Returns the end, on the worker's clock, of a lease that starts now. Call right before the
  /// order is sent: from now on the worker is assumed to hold the lease. 0 for an unknown worker.
  milliseconds GrantLease(const std::string& aWorker, instant aNow);
  /// `ip:port` as registered; empty when the worker is no longer registered.
  std::string Address(const std::string& aWorker) const;

  /// Number of accepted jobs of a queue that are still queued, timed jobs excluded.
  int CountWaiting(const std::string& aQueue) const;
  std::optional<work_state> State(const std::string& aJob) const;
  /// Revision of the job's accepted record; nullopt when the job is unknown.
  std::optional<store_revision> AcceptedRevision(const std::string& aJob) const;
  /// The state as far as it is stored: a final state that is not stored yet is reported as running,
  /// except for cancellation.
  std::optional<work_state> StoredState(const std::string& aJob) const;
  work_counts Counts() const;
  /// Of the organisations for which the operators have set a weight or a limit.
  std::vector<organisation_use> OrganisationUse() const;
  /// As of the last decision pass, by each reason that has occurred in this term.
  std::vector<idle_wait> IdleWaits() const;
  /// Number of jobs that are left alone since the store refused their records.
  std::size_t JobsWithRefusedRecord() const;
  /// Number of timed jobs with due occurrences that are not open yet, as of the last decision pass.
  int JobsBehindSchedule() const;
  /// Number of racks that were reserved for gangs in the last decision pass.
  std::size_t ReservedRacks() const;
  /// Number of pairs of kinds of tasks that are known to interfere; bounded.
  std::size_t InterferingPairs() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

/// JSON form of an accepted job, as it is stored.
std::string FormatWorkJob(const work_job& aJob);
result<work_job> ParseWorkJob(std::string_view aJson);

/// The state in a stored progress record; kQueued when the record has none.
work_state ProgressState(std::string_view aRecord);

/// `job.occurrence.step.index`
std::string ToString(const task_id& aTask);
/// Fails with kInvalid when the text is not of that form.
result<task_id> ParseTaskId(std::string_view aText);

} // namespace briarwind
