#include "job_intake.h"

#include "control_events.h"
#include "work_driver.h"

#include <algorithm>

namespace briarwind {

namespace {

// One attempt may take this much of the caller's time; a lost answer is noticed within it.
constexpr milliseconds kAttempt{ 600 };
constexpr milliseconds kRetryPause{ 50 };
// A call that was certainly not carried out is refused after this many attempts: the caller can
// reach another host sooner than this one is served again.
// One of unknown fate is left to the caller's next try as soon as the store is known to be away.
constexpr int kCleanAttempts = 3;

} // namespace

job_intake::job_intake(record_store& aStore, metrics& aMetrics, stored_observer aObserver)
  : mStore(aStore)
  , mMetrics(aMetrics)
  , mObserver(std::move(aObserver))
{
}

// An attempt without an answer may still take effect later, so from then on nothing but the store's
// own word ends the question; repeating is harmless under the condition.
intake_answer job_intake::Settle(const store_transaction& aTransaction, instant aDeadline)
{
  if (!mStore.IsReachable()) {
    return { intake_outcome::kNotRun, "store away" };
  }
  bool unclear = false;
  std::string reason = "no time left";
  for (int attempt = 1; monotonic_clock::now() < aDeadline; ++attempt) {
    const auto done =
      mStore.Commit(aTransaction, std::min(aDeadline, monotonic_clock::now() + kAttempt));
    if (done && done.value().mCommitted && mObserver) {
      const store_write& write = aTransaction.mWrites.front();
      mObserver({ write.mKey, write.mValue, done.value().mRevision, done.value().mRevision, 0 });
    }
    if (done) {
      const bool there = done.value().mCommitted || !done.value().mCurrent.empty();
      return { there ? intake_outcome::kAccepted : intake_outcome::kUnknownJob, {} };
    }
    reason = ToString(done.error().mKind);
    unclear = unclear || done.error().mKind == error_kind::kUnknownOutcome;
    const bool hopeless = attempt >= kCleanAttempts && !mStore.IsReachable();
    if (hopeless || (!unclear && attempt >= kCleanAttempts)) {
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
  return Settle(transaction, aDeadline);
}

intake_answer job_intake::Cancel(const std::string& aJob, instant aDeadline)
{
  const auto job =
    mStore.Get(work_keys::Accepted(aJob), std::min(aDeadline, monotonic_clock::now() + kAttempt));
  if (!job) {
    return { intake_outcome::kNotRun, std::string(ToString(job.error().mKind)) };
  }
  if (!job.value()) {
    return { intake_outcome::kUnknownJob, {} };
  }
  store_transaction transaction;
  transaction.mConditions.push_back({ work_keys::Cancel(aJob), 0 });
  transaction.mWrites.push_back({ work_keys::Cancel(aJob), "cancelled", 0 });
  return Settle(transaction, aDeadline);
}

state_answer job_intake::State(const std::string& aJob, instant aDeadline)
{
  if (!mStore.IsReachable()) {
    return {};
  }
  // The leader may know when the store says nothing, so not all of the caller's time is spent here.
  const instant end = std::min(aDeadline, monotonic_clock::now() + kAttempt);
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
