#pragma once

#include "briarwind/metrics.h"
#include "briarwind/record_store.h"
#include "briarwind/work_core.h"

namespace briarwind {

/// Outcome of a submission or cancellation.
enum class intake_outcome : std::uint8_t
{
  kAccepted,   ///< stored, by this call or an earlier one
  kNotRun,     ///< this call had no effect and will not have any
  kUnclear,    ///< may have been stored, or may still be stored after the call returned
  kUnknownJob, ///< the job does not exist
  kOverLimit,  ///< not stored: the job can never run below its organisation's limit
  kCancelled,  ///< not stored: the id was cancelled before the job came
  kTooLarge,   ///< not stored: the store refuses the job's record for its size or content
};

struct intake_answer
{
  intake_outcome mOutcome = intake_outcome::kUnclear;
  std::string mReason; ///< for logs and metrics; empty when the store decided
};

struct state_answer
{
  bool mIsKnown = false;            ///< the state could be determined
  std::optional<work_state> mState; ///< nullopt: the job does not exist
};

/// Bounds what cancellations of ids without a job cost the store: they are written at a limited
/// rate, and those of one minute share a lease.
class early_cancellations
{
public:
  /// How long a lease lasts. The ids of its first half keep longer than any write that may still
  /// be on its way.
  static constexpr milliseconds kLeaseTime{ 120'000 };

  /// Whether one more may be written now; counts it.
  bool Admit(instant aNow);
  /// The lease for the next one; 0 when a new one is needed.
  store_lease Lease(boot_instant aNow) const;
  void SetLease(const granted_lease& aLease, boot_instant aAsked);
  void DropLease() { mLease = 0; }

private:
  double mTokens = kBurst;
  instant mRefilledAt;
  store_lease mLease = 0;
  boot_instant mUseUntil;

  static constexpr double kBurst = 20;
  static constexpr double kPerSecond = 5;
};

/// Accepts jobs and cancellations on any host without involving the leader. Each is one conditional
/// write to the store, and the store alone decides whether it succeeded.
class job_intake
{
public:
  /// Called with each key and value that was stored, so that the leader can be notified. Must not
  /// suspend the fiber.
  using stored_observer = std::function<void(const stored_value&)>;

  /// @param aMaxValueBytes longest value that the store takes
  job_intake(record_store& aStore, metrics& aMetrics, stored_observer aObserver = {},
             std::size_t aMaxValueBytes = work_options().mMaxValueBytes);

  intake_answer Accept(const work_job& aJob, instant aDeadline);
  /// After kUnknownJob no job with this id is accepted for a minute or two, so that a submission
  /// that is still on its way is not run.
  intake_answer Cancel(const std::string& aJob, instant aDeadline);
  state_answer State(const std::string& aJob, instant aDeadline);

private:
  /// What the store made of a transaction, or why there is no answer.
  struct commit_answer
  {
    std::optional<transaction_result> mResult;
    intake_answer mFailure;
  };
  commit_answer CommitWithRetries(const store_transaction& aTransaction, instant aDeadline);
  intake_answer CancelStored(const std::string& aJob, store_revision aAccepted, instant aDeadline);
  /// Returns nullopt when the job was stored in the meantime.
  std::optional<intake_answer> CancelEarly(const std::string& aJob, instant aDeadline);
  io_result<store_lease> EarlyCancellationLease(instant aDeadline);
  void NotifyStored(const store_transaction& aTransaction, const transaction_result& aResult);

  record_store& mStore;
  metrics& mMetrics;
  stored_observer mObserver;
  std::size_t mMaxValueBytes;
  early_cancellations mEarly;
};

} // namespace briarwind
