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
  intake_answer Cancel(const std::string& aJob, instant aDeadline);
  state_answer State(const std::string& aJob, instant aDeadline);

private:
  intake_answer CommitWithRetries(const store_transaction& aTransaction, instant aDeadline);

  record_store& mStore;
  metrics& mMetrics;
  stored_observer mObserver;
  std::size_t mMaxValueBytes;
};

} // namespace briarwind
