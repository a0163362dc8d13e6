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

/// The scheduler's decisions without input, output or clock: an event goes in, actions come out.
/// Every action that names an answer gets exactly one answer as an event, `kUnknown` when none
/// came.

namespace briarwind {

// ---- events -------------------------------------------------------------------------------------

/// A newer settings view is in force.
struct settings_changed
{
  settings_view mView;
};

/// The host list's workers; a worker no longer listed is gone.
struct workers_changed
{
  std::vector<worker_info> mWorkers;
};

/// A worker could not be reached for longer than its leases last.
struct worker_lost
{
  std::string mWorker;
};

/// A lost worker answers again.
struct worker_found
{
  std::string mWorker;
};

/// Whether the view of the settings is confirmed. While it is not, nothing is reserved or started.
struct freshness_changed
{
  bool mFresh = false;
  std::string mReason;
};

/// This process acts for the queue from now on. Nothing is decided until `restored` follows.
struct epoch_gained
{
  epoch_number mEpoch = 0;
};

/// Another process acts for the queue. All jobs are dropped from memory, without any action.
struct epoch_lost
{};

struct store_reachable
{
  bool mReachable = false;
};

/// mRequest is handed back in `answer_submission`.
struct job_submitted
{
  std::uint64_t mRequest = 0;
  job_spec mSpec;
};

/// Cancelling what is over or not known does nothing. The cancellation outlives this process once
/// `job_core::Find` shows a final state that is stored; answer the caller only then.
struct job_cancelled
{
  std::string mJob;
};

/// Names one member of one attempt.
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
  kRefused, ///< certainly not done
  kUnknown, ///< may have been done
};

/// Answers `reserve_lease`.
struct reserve_finished
{
  member_id mMember;
  call_outcome mOutcome = call_outcome::kUnknown;
  lease_id mLease;     ///< when kOk
  std::string mReason; ///< when kRefused: `busy`, `stale-epoch`, `stale-attempt`
};

enum class record_outcome : std::uint8_t
{
  kOk,
  kConflict, ///< somebody else changed the record
  kUnknown,  ///< may have been written
};

/// Answers `record_job`.
struct record_finished
{
  std::string mJob;
  std::string mChange; ///< of the record that was to be written
  record_outcome mOutcome = record_outcome::kUnknown;
  store_revision mRevision =
    0; ///< when kOk or kConflict: of the stored record, 0 when there is none
  std::optional<job_record> mCurrent; ///< when kConflict: what is stored
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
  call_outcome mOutcome =
    call_outcome::kUnknown; ///< kRefused: the worker has no such lease any more
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
  kUnknown, ///< the worker does not have it
};

/// Reads `reserved`, `running`, … ; anything else is kUnknown.
lease_state ParseLeaseState(std::string_view aText);

struct lease_status
{
  lease_id mLease;
  lease_state mState = lease_state::kUnknown;
  milliseconds mProgress{ 0 };
};

/// Answers `renew_leases`; one for each batch that got an answer. Also sent when a worker tells of
/// an end on its own.
struct lease_report
{
  std::string mWorker;
  std::vector<lease_status> mLeases;
};

/// One lease as a worker lists it.
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

/// What the store and the workers held when this process took over. A worker that is in the host
/// list but has no listing could not be asked and counts as lost.
struct restored
{
  std::vector<restored_record> mRecords;
  std::vector<worker_listing> mWorkers;
};

/// Time passed; sent every `job_options::mTick`.
struct tick
{};

using event = std::variant<settings_changed, workers_changed, worker_lost, worker_found,
                           freshness_changed, epoch_gained, epoch_lost, store_reachable,
                           job_submitted, job_cancelled, reserve_finished, record_finished,
                           start_finished, stop_finished, lease_report, restored, tick>;

// ---- actions ------------------------------------------------------------------------------------

/// Ask a worker for a reservation. Answered by `reserve_finished`.
struct reserve_lease
{
  member_id mMember;
  std::string mWorker;
  epoch_number mEpoch = 0;
  resource_shape mShape;
  milliseconds mTimeToLive{ 0 };
};

/// Start under a reservation. Answered by `start_finished`. Not to be sent after mNotAfter.
struct start_lease
{
  member_id mMember;
  std::string mWorker;
  lease_id mLease;
  epoch_number mEpoch = 0;
  milliseconds mTimeToLive{ 0 };
  milliseconds mRunTime{ 0 };    ///< declared run time that is left
  milliseconds mResumeFrom{ 0 }; ///< run time that an earlier attempt has saved
  std::string mCommand;
  instant mNotAfter;
};

/// Stop a running task, with a checkpoint when the bound is above 0. Answered by `stop_finished`.
struct stop_lease
{
  member_id mMember;
  std::string mWorker;
  lease_id mLease;
  epoch_number mEpoch = 0;
  milliseconds mCheckpointBound{ 0 };
};

/// Give a reservation back that nothing was started under. Answered by `stop_finished`.
struct release_lease
{
  member_id mMember;
  std::string mWorker;
  lease_id mLease;
  epoch_number mEpoch = 0;
};

/// The end of this lease is recorded; the worker may drop it. Not answered.
struct forget_lease
{
  std::string mWorker;
  lease_id mLease;
};

/// Renew these leases of one worker in one call. Answered by `lease_report` when it succeeds.
struct renew_leases
{
  std::string mWorker;
  epoch_number mEpoch = 0;
  milliseconds mTimeToLive{ 0 };
  std::vector<lease_id> mLeases;
};

/// Write the record when its revision is still mExpected (0: there must be none). Answered by
/// `record_finished`.
struct record_job
{
  job_record mRecord;
  store_revision mExpected = 0;
};

enum class submission_outcome : std::uint8_t
{
  kAccepted,   ///< recorded in the store
  kInMemory,   ///< accepted while the store is away: known to this process only
  kInvalid,    ///< see the findings
  kConflict,   ///< same id, another specification
  kImpossible, ///< can never run
  kNotRun,     ///< refused; may be sent again
  kUnknown,    ///< whether it was recorded is not known; send the same again
};

/// Answers `job_submitted`, once for each.
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
  kPlaced,         ///< workers were chosen for an attempt
  kRunning,        ///< all members run
  kEvicted,        ///< stopped for another job
  kDraining,       ///< a large gang reserves workers that become free
  kWithdrawn,      ///< stopped because its domain was withdrawn or its worker is leaving
  kAttemptAborted, ///< a member was refused or lost
  kFinished,
  kFailed,
  kCancelled,
  kUnknownFate,      ///< a non-repeatable attempt ended in doubt
  kImpossibleForNow, ///< no live workers could hold it even when empty
  kWorkerQuarantined,
  kWorkerProbed,
  kWorkerCleared,
  kQuarantineCapped, ///< one more worker would be over the cap
  kJobAtFault,       ///< failed on several healthy workers
  kRecordConflict,   ///< another scheduler wrote the record; the job was dropped here
  kStaleAnswer,      ///< an answer for an attempt that is over
  kLeaseOrphaned,    ///< a worker had a lease that no record explains
  kCellsMoved,       ///< guaranteed shapes were bound to other workers
  kGuaranteeUnmet,   ///< a guaranteed shape has no place at present
};

/// The name as logs and metrics show it, such as `evicted`.
std::string_view ToString(decision_kind aKind);

/// For logs and counters; nothing has to be done.
struct decision_note
{
  decision_kind mKind = decision_kind::kPlaced;
  std::string mJob;
  std::string mWorker;
  std::string mOther; ///< the job that was evicted for, or the guarantee
  std::string mReason;
};

using action = std::variant<reserve_lease, start_lease, stop_lease, release_lease, forget_lease,
                            renew_leases, record_job, answer_submission, decision_note>;

// ---- what can be asked --------------------------------------------------------------------------

/// Where a job stands within this process.
enum class job_phase : std::uint8_t
{
  kSubmitting, ///< its first record is being written
  kQueued,
  kEvicting,  ///< workers chosen; others on them are being stopped
  kReserving, ///< leases are being reserved on all members
  kRecording, ///< the attempt is being recorded
  kStarting,
  kRunning,  ///< every member runs
  kStopping, ///< members are being stopped
  kEnded,
};

std::string_view ToString(job_phase aPhase);

enum class wait_reason : std::uint8_t
{
  kNone,
  kNotTried,        ///< the queue has not come to it yet
  kQuota,           ///< its team's quota is used up
  kNoCapacity,      ///< too little is free
  kNoAdjacency,     ///< enough is free, but not close together
  kNotFresh,        ///< the settings are not confirmed
  kDomainOut,       ///< would fit with the domains or workers that are out
  kDraining,        ///< holds a draining reservation
  kEvictionPending, ///< others are being stopped for it
  kStoreAway,       ///< its attempt or submission cannot be recorded
  kRetryDelay,      ///< waits before the next attempt
  kNotLeader,       ///< another process acts for the queue, or takeover is not over
};

std::string_view ToString(wait_reason aReason);

/// Why a job waits, or where it was placed and what was evicted for it.
struct job_explanation
{
  std::string mJob;
  job_phase mPhase = job_phase::kQueued;
  wait_reason mWait = wait_reason::kNone;
  std::string mDetail;
  std::vector<member_placement> mPlacements;
  std::vector<std::string> mEvicted; ///< jobs stopped to make room for the last attempt
  std::string mCell;                 ///< `organisation/guarantee/copy` when it runs in one
};

/// One job as status calls show it.
struct job_view
{
  job_record mRecord;
  job_phase mPhase = job_phase::kQueued;
  bool mStored = false; ///< the store has the record's present state
};

/// One guaranteed gang as status calls show it.
struct cell_view
{
  std::string mOrganisation;
  std::string mGuarantee;
  int mCopy = 0;
  std::string mClaimedBy;                ///< empty when unclaimed
  std::vector<member_placement> mPlaces; ///< without leases; empty when it has no place
};

struct core_status
{
  epoch_number mEpoch = 0;
  bool mActing = false; ///< has the epoch and has taken over
  bool mFresh = false;
  bool mStoreReachable = false;
  int mQueued = 0;
  int mRunning = 0;
  int mWorkers = 0;
  int mWorkersOut = 0; ///< leaving, lost or in a withdrawn domain
  int mQuarantined = 0;
  int mAccelerators = 0; ///< of the workers that are not out
  int mAcceleratorsUsed = 0;
};

/// The pure core. Not thread safe.
class job_core
{
public:
  explicit job_core(const job_options& aOptions = {});
  ~job_core();
  job_core(job_core&&) noexcept;
  job_core& operator=(job_core&&) noexcept;

  /// Takes one event and returns what is to be done, in that order. Actions on different workers
  /// may run at once.
  std::vector<action> Handle(const event& aEvent, instant aNow);

  /// Nothing when the job is not known.
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
