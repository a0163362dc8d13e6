#pragma once

#include "briarwind/cluster.h"
#include "briarwind/job.h"
#include "briarwind/job_options.h"
#include "briarwind/settings_model.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The decision logic of the scheduler, free of input, output and clock: the caller passes in
/// events and performs the returned actions. Every action whose comment names an answer must be
/// answered by exactly one such event, with `kUnknown` when the call got no answer.

namespace briarwind {

// ---- events -------------------------------------------------------------------------------------

/// A new view of the settings is in force. Views older than the present one are ignored.
struct settings_changed
{
  settings_view mView;
};

/// The workers in the host list. A worker that is no longer listed takes no new work, and its jobs
/// are stopped as on a withdrawal.
struct workers_changed
{
  std::vector<worker_info> mWorkers;
};

/// A worker has been unreachable for longer than its leases last.
struct worker_lost
{
  std::string mWorker;
};

/// A lost worker is reachable again.
struct worker_recovered
{
  std::string mWorker;
};

/// Whether the view of the settings is confirmed as current. Nothing is reserved or started while
/// the view is not confirmed.
struct freshness_changed
{
  bool mFresh = false;
  std::string mReason;
};

/// This process leads the queue from now on. No decision is made until `restored` follows.
struct epoch_gained
{
  epoch_number mEpoch = 0;
};

/// This process no longer leads the queue. All jobs are dropped from memory; waiting submissions
/// are answered with `kUnknown`, and no other action follows.
struct epoch_lost
{};

struct store_reachable
{
  bool mReachable = false;
};

/// mRequest is returned in `answer_submission`.
struct job_submitted
{
  std::uint64_t mRequest = 0;
  job_spec mSpec;
};

/// Cancelling an unknown or ended job has no effect. The cancellation survives the loss of this
/// process once `job_core::Find` shows a final state that is stored; answer the caller only then.
struct job_cancelled
{
  std::string mJob;
};

/// Identifies one member of one attempt of a job.
struct member_id
{
  std::string mJob;
  int mAttempt = 0;
  int mMember = 0;

  bool operator==(const member_id&) const = default;
};

enum class call_outcome : std::uint8_t
{
  kOk,
  kRefused, ///< definitely not done
  kUnknown, ///< may have been done
};

/// Answers `reserve_lease`.
struct reserve_finished
{
  member_id mMember;
  call_outcome mOutcome = call_outcome::kUnknown;
  lease_id mLease;     ///< set when kOk
  std::string mReason; ///< set when kRefused: `busy`, `stale-epoch`, `stale-attempt`
};

enum class record_outcome : std::uint8_t
{
  kOk,
  kConflict, ///< another writer changed the record
  kUnknown,  ///< may have been written
};

/// Answers `record_job`.
struct record_finished
{
  std::string mJob;
  std::string mChange; ///< mChange of the record to be written
  record_outcome mOutcome = record_outcome::kUnknown;
  /// When kOk or kConflict: revision of the stored record, 0 when there is none.
  store_revision mRevision = 0;
  std::optional<job_record> mCurrent; ///< when kConflict: the stored record
};

/// Answers `start_lease`.
struct start_finished
{
  member_id mMember;
  call_outcome mOutcome = call_outcome::kUnknown;
};

/// Answers `stop_lease` and `release_lease`.
struct stop_finished
{
  member_id mMember;
  call_outcome mOutcome = call_outcome::kUnknown; ///< kRefused: the worker no longer has the lease
  bool mCheckpointed = false;
  milliseconds mProgress{ 0 };
};

enum class lease_state : std::uint8_t
{
  kReserved,
  kRunning,
  kFinished,
  kFailed,
  kStopped,
  kLapsed,
  kUnknown, ///< the worker has no such lease
};

/// Parses `reserved`, `running`, …; any other text is kUnknown.
lease_state ParseLeaseState(std::string_view aText);

struct lease_status
{
  lease_id mLease;
  lease_state mState = lease_state::kUnknown;
  milliseconds mProgress{ 0 };
};

/// Answers `renew_leases`, once for each batch that the worker answered. Also sent when a worker
/// reports the end of a task on its own.
struct lease_report
{
  std::string mWorker;
  std::vector<lease_status> mLeases;
};

/// One lease in a worker's listing.
struct listed_lease
{
  lease_id mLease;
  std::string mJob;
  int mAttempt = 0;
  int mMember = 0;
  epoch_number mEpoch = 0;
  lease_state mState = lease_state::kUnknown;
  milliseconds mProgress{ 0 };
};

struct worker_listing
{
  std::string mWorker;
  std::vector<listed_lease> mLeases;
};

struct restored_record
{
  job_record mRecord;
  store_revision mRevision = 0;
};

/// Contents of the store and of the workers at takeover. A worker of the host list without a
/// listing could not be reached and counts as lost.
struct restored
{
  std::vector<restored_record> mRecords;
  std::vector<worker_listing> mWorkers;
};

/// Time has passed; sent every `job_options::mTick`.
struct tick
{};

using event = std::variant<settings_changed, workers_changed, worker_lost, worker_recovered,
                           freshness_changed, epoch_gained, epoch_lost, store_reachable,
                           job_submitted, job_cancelled, reserve_finished, record_finished,
                           start_finished, stop_finished, lease_report, restored, tick>;

// ---- actions ------------------------------------------------------------------------------------

/// Requests a reservation from a worker. Answered by `reserve_finished`.
struct reserve_lease
{
  member_id mMember;
  std::string mWorker;
  epoch_number mEpoch = 0;
  resource_shape mShape;
  milliseconds mTimeToLive{ 0 };
};

/// Starts a task under a reservation. Answered by `start_finished`. Must not be sent after
/// mNotAfter.
struct start_lease
{
  member_id mMember;
  std::string mWorker;
  lease_id mLease;
  epoch_number mEpoch = 0;
  milliseconds mTimeToLive{ 0 };
  milliseconds mRunTime{ 0 };    ///< remaining declared run time
  milliseconds mResumeFrom{ 0 }; ///< run time that earlier attempts have saved
  std::string mCommand;
  instant mNotAfter;
};

/// Stops a running task, after a checkpoint when mCheckpointBound, the time that the checkpoint may
/// take, is above 0. Answered by `stop_finished`.
struct stop_lease
{
  member_id mMember;
  std::string mWorker;
  lease_id mLease;
  epoch_number mEpoch = 0;
  milliseconds mCheckpointBound{ 0 };
};

/// Releases a reservation under which no task was started. Answered by `stop_finished`.
struct release_lease
{
  member_id mMember;
  std::string mWorker;
  lease_id mLease;
  epoch_number mEpoch = 0;
};

/// Notifies a worker that the end of a lease is recorded and that the lease may be dropped. Not
/// answered.
struct forget_lease
{
  std::string mWorker;
  lease_id mLease;
};

/// Renews several leases of one worker in one call. Answered by `lease_report` when the call
/// succeeds.
struct renew_leases
{
  std::string mWorker;
  epoch_number mEpoch = 0;
  milliseconds mTimeToLive{ 0 };
  std::vector<lease_id> mLeases;
};

/// Writes a record if the stored revision is still mExpected (0: no record may be stored yet).
/// Answered by `record_finished`.
struct record_job
{
  job_record mRecord;
  store_revision mExpected = 0;
};

enum class submission_outcome : std::uint8_t
{
  kAccepted,   ///< recorded in the store
  kInMemory,   ///< accepted while the store is unreachable; held by this process only
  kInvalid,    ///< rejected; mFindings lists the mistakes
  kConflict,   ///< the id is in use with a different specification
  kImpossible, ///< no placement is possible even on an empty cluster
  kNotRun,     ///< refused without effect; may be retried
  kUnknown,    ///< may have been recorded; retry with the same specification
};

/// Answers `job_submitted`, exactly once for each.
struct answer_submission
{
  std::uint64_t mRequest = 0;
  std::string mJob;
  submission_outcome mOutcome = submission_outcome::kNotRun;
  std::string mReason;
  findings mFindings;
};

enum class decision_kind : std::uint8_t
{
  kPlaced,  ///< workers were chosen for an attempt
  kRunning, ///< all members are running
  kEvicted, ///< preempted to free resources for another job
  /// A draining reservation holds the capacity that a waiting job needs as it becomes free.
  kDraining,
  kWithdrawn, ///< stopped because its domain was withdrawn or its worker is leaving or has left
  kAttemptAborted, ///< an attempt was stopped, for example because a member was refused or lost
  kFinished,
  kFailed,
  kCancelled,
  kOutcomeUnknown,   ///< the outcome of a non-repeatable attempt is unknown
  kImpossibleForNow, ///< the job would not fit on the live workers even if they were empty
  kWorkerQuarantined,
  kWorkerProbed,
  kWorkerCleared,
  kQuarantineCapped, ///< a worker was not quarantined because the limit is reached
  kJobAtFault,       ///< the job failed on several healthy workers, or too often
  /// Another scheduler wrote the record of the job; the job is dropped or reloaded.
  kRecordConflict,
  kStaleAnswer,    ///< an answer to an attempt or a write that is no longer current
  kLeaseOrphaned,  ///< a worker holds a lease that matches no record
  kCellsMoved,     ///< guarantee cells were bound to other workers
  kGuaranteeUnmet, ///< a guarantee cell has no place at present
};

/// The name used in logs and metrics, such as `evicted`.
std::string_view ToString(decision_kind aKind);

/// Reports a decision for logs and counters. Needs no further action.
struct decision_note
{
  decision_kind mKind = decision_kind::kPlaced;
  std::string mJob;
  std::string mWorker;
  std::string mRelatedJob; ///< kEvicted: the job that needs the resources
  std::string mReason;
};

using action = std::variant<reserve_lease, start_lease, stop_lease, release_lease, forget_lease,
                            renew_leases, record_job, answer_submission, decision_note>;

// ---- queries ------------------------------------------------------------------------------------

/// Phase of a job within this process.
enum class job_phase : std::uint8_t
{
  kSubmitting, ///< the first record is being written
  kQueued,
  kEvicting,  ///< workers are chosen; other jobs on them are being stopped
  kReserving, ///< leases are being reserved on all members
  kRecording, ///< the attempt is being recorded
  kStarting,
  kRunning,  ///< every member is running
  kStopping, ///< members are being stopped
  kEnded,
};

std::string_view ToString(job_phase aPhase);

enum class wait_reason : std::uint8_t
{
  kNone,
  kNotTried,        ///< not tried yet in this scheduling pass
  kQuota,           ///< the quota of the team is used up
  kNoCapacity,      ///< too few resources are free
  kNoAdjacency,     ///< enough resources are free, but not within the required adjacency
  kNotFresh,        ///< the view of the settings is not confirmed
  kDomainOut,       ///< fits only with workers that are lost, leaving or in a withdrawn domain
  kDraining,        ///< the job holds a draining reservation
  kEvictionPending, ///< other jobs are being preempted to free resources
  kStoreAway,       ///< the store is unreachable, so the attempt or submission cannot be recorded
  kRetryDelay,      ///< backoff before the next attempt
  kNotLeader,       ///< this process does not lead the queue, or takeover is in progress
};

std::string_view ToString(wait_reason aReason);

/// Why a job waits, or where it was placed and which jobs were evicted for it.
struct job_explanation
{
  std::string mJob;
  job_phase mPhase = job_phase::kQueued;
  wait_reason mWait = wait_reason::kNone;
  std::string mDetail;
  std::vector<member_placement> mPlacements;
  std::vector<std::string> mEvicted; ///< jobs evicted for the last attempt
  /// `organisation/guarantee/copy` of the guarantee cell that the job runs in, or empty.
  std::string mCell;
};

/// State of one job for status calls.
struct job_view
{
  job_record mRecord;
  job_phase mPhase = job_phase::kQueued;
  bool mStored = false; ///< the store holds mRecord in its present state
};

/// State of one guarantee cell for status calls.
struct cell_view
{
  std::string mOrganisation;
  std::string mGuarantee;
  int mCopy = 0;
  std::string mClaimedBy;                ///< job that runs in the cell; empty when unclaimed
  std::vector<member_placement> mPlaces; ///< without leases; empty when the cell has no place
};

struct core_status
{
  epoch_number mEpoch = 0;
  bool mActing = false; ///< leads the queue and has finished takeover
  bool mFresh = false;
  bool mStoreReachable = false;
  int mQueued = 0;
  int mRunning = 0;
  int mWorkers = 0;
  int mWorkersOut = 0; ///< workers that are leaving, lost or in a withdrawn domain
  int mQuarantined = 0;
  int mAccelerators = 0; ///< accelerators of the other workers
  int mAcceleratorsUsed = 0;
};

/// The deterministic scheduling core. Not thread safe.
class job_core
{
public:
  explicit job_core(const job_options& aOptions = {});
  ~job_core();
  job_core(job_core&&) noexcept;
  job_core& operator=(job_core&&) noexcept;

  /// Processes one event and returns the resulting actions, to be performed in order. Actions on
  /// different workers may run concurrently. aNow must not decrease; a lower value is replaced by
  /// the highest one so far.
  std::vector<action> Handle(const event& aEvent, instant aNow);

  /// Empty when the job is unknown.
  std::optional<job_explanation> Explain(const std::string& aJob) const;
  std::optional<job_view> Find(const std::string& aJob) const;
  std::vector<job_view> Jobs() const;
  std::vector<cell_view> Cells() const;
  core_status Status() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace briarwind
