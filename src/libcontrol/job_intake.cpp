#include "job_intake.h"

#include "control_events.h"
#include "work_driver.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

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

bool HasKey(const transaction_result& aResult, std::string_view aKey)
{
  return std::ranges::count(aResult.mCurrent, aKey, &stored_value::mKey) > 0;
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

bool early_cancellations::Admit(instant aNow)
{
  const std::chrono::duration<double> passed = aNow - std::exchange(mRefilledAt, aNow);
  mTokens = std::min(kBurst, mTokens + kPerSecond * passed.count());
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

store_lease early_cancellations::Lease(boot_instant aNow) const
{
  return aNow < mUseUntil ? mLease : 0;
}

void early_cancellations::SetLease(const granted_lease& aLease, boot_instant aAsked)
{
  mLease = aLease.mLease;
  mUseUntil = aAsked + aLease.mTimeToLive / 2;
}

// An attempt without an answer may still take effect later. After one, the outcome is unknown until
// the store answers a repetition. Repeating is safe because the write is conditional.
job_intake::commit_answer job_intake::CommitWithRetries(const store_transaction& aTransaction,
                                                        instant aDeadline)
{
  if (!mStore.IsReachable()) {
    return { {}, { intake_outcome::kNotRun, "store away" } };
  }
  bool unclear = false;
  std::string reason = "no time left";
  for (int attempt = 1; monotonic_clock::now() < aDeadline; ++attempt) {
    const auto done =
      mStore.Commit(aTransaction, std::min(aDeadline, monotonic_clock::now() + kAttemptTimeout));
    if (done) {
      return { done.value(), {} };
    }
    reason = ToString(done.error().mKind);
    if (done.error().mKind == error_kind::kInvalid && !unclear) {
      return { {}, { intake_outcome::kTooLarge, done.error().mWhat } };
    }
    unclear = unclear || done.error().mKind == error_kind::kUnknownOutcome;
    const bool storeUnreachable = attempt >= kAttemptsBeforeRefusal && !mStore.IsReachable();
    if (storeUnreachable || (!unclear && attempt >= kAttemptsBeforeRefusal)) {
      break;
    }
    SleepFor(kRetryPause);
  }
  return { {}, { unclear ? intake_outcome::kUnclear : intake_outcome::kNotRun, reason } };
}

void job_intake::NotifyStored(const store_transaction& aTransaction,
                              const transaction_result& aResult)
{
  if (aResult.mCommitted && mObserver) {
    const store_write& write = aTransaction.mWrites.front();
    mObserver({ write.mKey, write.mValue, aResult.mRevision, aResult.mRevision, 0 });
  }
}

// A cancellation that was answered before the job came keeps it from being stored, however late the
// request or the store's call is.
intake_answer job_intake::Accept(const work_job& aJob, instant aDeadline)
{
  store_transaction transaction;
  transaction.mConditions = { { work_keys::Accepted(aJob.mId), 0 },
                              { work_keys::Cancel(aJob.mId), 0 } };
  transaction.mWrites.push_back({ work_keys::Accepted(aJob.mId), FormatWorkJob(aJob), 0 });
  if (const std::size_t size = transaction.mWrites.front().mValue.size(); size > mMaxValueBytes) {
    return { intake_outcome::kTooLarge,
             fmt::format("steps: the job takes {} bytes in the store, at most {} are allowed", size,
                         mMaxValueBytes) };
  }
  const commit_answer answer = CommitWithRetries(transaction, aDeadline);
  if (!answer.mResult) {
    return answer.mFailure;
  }
  NotifyStored(transaction, *answer.mResult);
  const bool exists =
    answer.mResult->mCommitted || HasKey(*answer.mResult, work_keys::Accepted(aJob.mId));
  return { exists ? intake_outcome::kAccepted : intake_outcome::kCancelled, {} };
}

intake_answer job_intake::Cancel(const std::string& aJob, instant aDeadline)
{
  while (monotonic_clock::now() < aDeadline) {
    const auto job = mStore.Get(work_keys::Accepted(aJob),
                                std::min(aDeadline, monotonic_clock::now() + kAttemptTimeout));
    if (!job) {
      return { intake_outcome::kNotRun, std::string(ToString(job.error().mKind)) };
    }
    if (job.value()) {
      return CancelStored(aJob, job.value()->mModified, aDeadline);
    }
    if (const auto answer = CancelEarly(aJob, aDeadline)) {
      return *answer;
    }
  }
  return { intake_outcome::kNotRun, "no time left" };
}

// Conditional on the accepted record, because the leader may remove the job in the meantime: nobody
// would delete the cancellation then, and it would stand for the cancellation of the next job with
// this id.
intake_answer job_intake::CancelStored(const std::string& aJob, store_revision aAccepted,
                                       instant aDeadline)
{
  store_transaction transaction;
  transaction.mConditions = { { work_keys::Accepted(aJob), aAccepted },
                              { work_keys::Cancel(aJob), 0 } };
  transaction.mWrites.push_back({ work_keys::Cancel(aJob), "cancelled", 0 });
  const commit_answer answer = CommitWithRetries(transaction, aDeadline);
  if (!answer.mResult) {
    return answer.mFailure;
  }
  NotifyStored(transaction, *answer.mResult);
  const bool exists =
    answer.mResult->mCommitted ||
    std::ranges::any_of(answer.mResult->mCurrent, [&](const stored_value& aValue) {
      return aValue.mKey == work_keys::Accepted(aJob) && aValue.mModified == aAccepted;
    });
  return exists ? intake_answer{ intake_outcome::kAccepted, {} }
                : intake_answer{ intake_outcome::kUnknownJob, "removed meanwhile" };
}

// The submission may still be on its way: in a host that stands still, or in a call to the store
// without an answer. The key keeps it from being stored, and ends with its lease.
std::optional<intake_answer> job_intake::CancelEarly(const std::string& aJob, instant aDeadline)
{
  if (!mEarly.Admit(monotonic_clock::now())) {
    return intake_answer{ intake_outcome::kNotRun, "too many cancellations of unknown jobs" };
  }
  const auto lease = EarlyCancellationLease(aDeadline);
  if (!lease) {
    return intake_answer{ intake_outcome::kNotRun, std::string(ToString(lease.error().mKind)) };
  }
  store_transaction transaction;
  transaction.mConditions = { { work_keys::Accepted(aJob), 0 }, { work_keys::Cancel(aJob), 0 } };
  transaction.mWrites.push_back(
    { work_keys::Cancel(aJob), std::string(work_keys::kCancelledEarly), lease.value() });
  const commit_answer answer = CommitWithRetries(transaction, aDeadline);
  if (!answer.mResult) {
    mEarly.DropLease(); // it may have ended
    return answer.mFailure;
  }
  mMetrics.Count(kEarlyCancellations, answer.mResult->mCommitted ? "written" : "found");
  if (!answer.mResult->mCommitted && HasKey(*answer.mResult, work_keys::Accepted(aJob))) {
    return std::nullopt;
  }
  return intake_answer{ intake_outcome::kUnknownJob, {} };
}

io_result<store_lease> job_intake::EarlyCancellationLease(instant aDeadline)
{
  if (const store_lease lease = mEarly.Lease(BootNow()); lease != 0) {
    return lease;
  }
  const boot_instant asked = BootNow();
  const auto granted = mStore.Grant(early_cancellations::kLeaseTime,
                                    std::min(aDeadline, monotonic_clock::now() + kAttemptTimeout));
  if (!granted) {
    return boost::outcome_v2::failure(granted.error());
  }
  mEarly.SetLease(granted.value(), asked);
  return granted.value().mLease;
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
