#include "control_events.h"
#include "work_driver.h"

#include <algorithm>
#include <ranges>

/// Writes progress records of jobs, and deletes the records of jobs that ended long ago.

namespace briarwind {

namespace {

// Each record takes two entries of a transaction, a condition and a write; one more entry is the
// condition on the leader key.
constexpr std::size_t kRecordsPerWrite = (record_store::kMaxTransactionEntries - 1) / 2;
constexpr int kMaxConcurrentWrites = 4;

} // namespace

void work_driver::StartWrites()
{
  while (mWritesInFlight < kMaxConcurrentWrites) {
    std::vector<progress_write> writes = mCore.TakeWrites(kRecordsPerWrite);
    if (writes.empty()) {
      return;
    }
    ++mWritesInFlight;
    mRuntime.Spawn([this, writes = std::move(writes)] {
      RunWrite(writes);
      --mWritesInFlight;
      ScheduleRound();
    });
  }
}

// Retries until the outcome is known; the conditions ensure that at most one attempt takes effect.
// The condition on the leader key is read for each attempt, because leadership may be claimed again
// between attempts.
void work_driver::RunWrite(const std::vector<progress_write>& aWrites)
{
  const int term = mTerm;
  while (IsCurrentTerm(term)) {
    store_transaction transaction;
    transaction.mConditions.push_back(mLeadership->Condition());
    for (const progress_write& each : aWrites) {
      transaction.mConditions.push_back({ work_keys::Progress(each.mJob), each.mExpected });
      transaction.mWrites.push_back({ work_keys::Progress(each.mJob), each.mValue, 0 });
    }
    const instant sent = monotonic_clock::now();
    const auto done = mStore.Commit(transaction, sent + kStoreDeadline);
    if (!IsCurrentTerm(term)) {
      return;
    }
    if (done) {
      mMetrics.Observe(kWorkWriteTime, monotonic_clock::now() - sent);
      if (ApplyWriteResult(aWrites, done.value())) {
        return;
      }
    }
    mMetrics.Count(kWorkWriteRetries, done ? "not leading" : ToString(done.error().mKind));
    SleepFor(kRetryDelay);
  }
}

// @return false when the write must be retried, because the leader key has expired or is being
//         claimed again
bool work_driver::ApplyWriteResult(const std::vector<progress_write>& aWrites,
                                   const transaction_result& aResult)
{
  const instant now = monotonic_clock::now();
  if (aResult.mCommitted) {
    for (const progress_write& each : aWrites) {
      mCore.OnWritten(each.mJob, aResult.mRevision, now);
    }
    return true;
  }
  const auto current = [&](const std::string& aKey) -> const stored_value* {
    const auto found = std::ranges::find(aResult.mCurrent, aKey, &stored_value::mKey);
    return found == aResult.mCurrent.end() ? nullptr : &*found;
  };
  const stored_value* leader = current(std::string(leadership::kLeaderKey));
  if (leader == nullptr) {
    return false;
  }
  // This host may have claimed the key again, with the answer to that claim still on its way.
  const bool another = leader->mModified > mCore.Epoch() && !mLeadership->IsOwnClaim(*leader);
  if (another) {
    ReportSuperseded("the leader key in the store belongs to another host");
    return true;
  }
  if (leader->mModified != mCore.Epoch()) {
    return false;
  }
  for (const progress_write& each : aWrites) {
    const stored_value* stored = current(work_keys::Progress(each.mJob));
    if (stored != nullptr && stored->mValue == each.mValue) {
      mCore.OnWritten(each.mJob, stored->mModified, now);
    } else {
      mCore.OnNotWritten(each.mJob, stored == nullptr ? 0 : stored->mModified);
    }
  }
  return true;
}

void work_driver::RemoveExpiredJobs()
{
  const int term = mTerm;
  for (const std::string& job : mCore.TakeExpiredJobs(monotonic_clock::now())) {
    store_transaction removal;
    removal.mConditions.push_back(mLeadership->Condition());
    removal.mDeletes = { work_keys::Accepted(job), work_keys::Cancel(job),
                         work_keys::Progress(job) };
    const auto done = mStore.Commit(removal, monotonic_clock::now() + kStoreDeadline);
    LogEvent(kWorkForgotten, { Field("job", job), Field("removed", done.has_value()) });
    if (!IsCurrentTerm(term)) {
      return;
    }
  }
}

} // namespace briarwind
