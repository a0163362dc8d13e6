#include "job_intake.h"

#include "control_events.h"
#include "work_driver.h"

#include <algorithm>

namespace briarwind {

namespace {

// Limit for one attempt, so that a lost answer still leaves time for a retry before the deadline.
constexpr milliseconds kAttemptTimeout{ 600 };
constexpr milliseconds kRetryPause{ 50 };
// A call that certainly had no effect is refused after this many attempts, because the caller can
// reach another host sooner than the store serves this one again. A call with an unknown outcome is
// retried until the deadline, but after this many attempts only while the store counts as
// reachable; then the caller has to retry.
constexpr int kAttemptsBeforeRefusal = 3;

// Whether a transaction that was not made has found the accepted record that it is about. The first
// condition is on that record; with revision 0 it is about any.
bool HasAcceptedRecord(const store_transaction& aTransaction, const transaction_result& aResult)
{
  const store_condition& accepted = aTransaction.mConditions.front();
  return std::ranges::any_of(aResult.mCurrent, [&](const stored_value& aValue) {
    return aValue.mKey == accepted.mKey &&
           (accepted.mRevision == 0 || accepted.mRevision == aValue.mModified);
  });
}

} // namespace

job_intake::job_intake(record_store& aStore, metrics& aMetrics, stored_observer aObserver,
                       std::size_t aMaxValueBytes)
  : mStore(aStore)
  , mMetrics(aMetrics)
  , mObserver(std::move(aObserver))
  , mMaxValueBytes(aMaxValueBytes)
{
}

// An attempt without an answer may still take effect later. After one, the outcome is unknown until
// the store answers a repetition. Repeating is safe because the write is conditional.
intake_answer job_intake::CommitWithRetries(const store_transaction& aTransaction,
                                            instant aDeadline)
{
  if (!mStore.IsReachable()) {
    return { intake_outcome::kNotRun, "store away" };
  }
  bool unclear = false;
  std::string reason = "no time left";
  for (int attempt = 1; monotonic_clock::now() < aDeadline; ++attempt) {
    const auto done =
      mStore.Commit(aTransaction, std::min(aDeadline, monotonic_clock::now() + kAttemptTimeout));
    if (done && done.value().mCommitted && mObserver) {
      const store_write& write = aTransaction.mWrites.front();
      mObserver({ write.mKey, write.mValue, done.value().mRevision, done.value().mRevision, 0 });
    }
    if (done) {
      const bool exists = done.value().mCommitted || HasAcceptedRecord(aTransaction, done.value());
      return { exists ? intake_outcome::kAccepted : intake_outcome::kUnknownJob, {} };
    }
    reason = ToString(done.error().mKind);
    if (done.error().mKind == error_kind::kInvalid && !unclear) {
      return { intake_outcome::kTooLarge, done.error().mWhat };
    }
    unclear = unclear || done.error().mKind == error_kind::kUnknownOutcome;
    const bool storeUnreachable = attempt >= kAttemptsBeforeRefusal && !mStore.IsReachable();
    if (storeUnreachable || (!unclear && attempt >= kAttemptsBeforeRefusal)) {
      break;
    }
    SleepFor(kRetryPause);
  }
  return { unclear ? intake_outcome::kUnclear : intake_outcome::kNotRun, reason };
}

intake_answer job_intake::Accept(const work_job& aJob, instant aDeadline)
{
  store_transaction transaction;
  transaction.mConditions.push_back({ work_keys::Accepted(aJob.mId), 0 });
  transaction.mWrites.push_back({ work_keys::Accepted(aJob.mId), FormatWorkJob(aJob), 0 });
  if (const std::size_t size = transaction.mWrites.front().mValue.size(); size > mMaxValueBytes) {
    return { intake_outcome::kTooLarge,
             fmt::format("steps: the job takes {} bytes in the store, at most {} are allowed", size,
                         mMaxValueBytes) };
  }
  return CommitWithRetries(transaction, aDeadline);
}

// Conditional on the accepted record, because the leader may remove the job in the meantime: nobody
// would delete the cancellation then, and it would stand for the cancellation of the next job with
// this id.
intake_answer job_intake::Cancel(const std::string& aJob, instant aDeadline)
{
  const auto job = mStore.Get(work_keys::Accepted(aJob),
                              std::min(aDeadline, monotonic_clock::now() + kAttemptTimeout));
  if (!job) {
    return { intake_outcome::kNotRun, std::string(ToString(job.error().mKind)) };
  }
  if (!job.value()) {
    return { intake_outcome::kUnknownJob, {} };
  }
  store_transaction transaction;
  transaction.mConditions = { { work_keys::Accepted(aJob), job.value()->mModified },
                              { work_keys::Cancel(aJob), 0 } };
  transaction.mWrites.push_back({ work_keys::Cancel(aJob), "cancelled", 0 });
  return CommitWithRetries(transaction, aDeadline);
}

state_answer job_intake::State(const std::string& aJob, instant aDeadline)
{
  if (!mStore.IsReachable()) {
    return {};
  }
  // Leaves part of the caller's time for a query to the leader if the store does not answer.
  const instant end = std::min(aDeadline, monotonic_clock::now() + kAttemptTimeout);
  const auto progress = mStore.Get(work_keys::Progress(aJob), end);
  if (!progress) {
    return {};
  }
  if (progress.value()) {
    return { true, ProgressState(progress.value()->mValue) };
  }
  const auto accepted = mStore.Get(work_keys::Accepted(aJob), end);
  if (!accepted) {
    return {};
  }
  return { true, accepted.value() ? std::optional(work_state::kQueued) : std::nullopt };
}

} // namespace briarwind
