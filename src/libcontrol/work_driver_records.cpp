#include "control_events.h"
#include "work_driver.h"

#include <algorithm>
#include <ranges>

/// The records that the leader writes: progress of jobs, and the removal of those long over.

namespace briarwind {

namespace {

// Two entries of a transaction, condition and write, belong to each record; one more condition
// names the leader.
constexpr std::size_t kRecordsPerWrite = (record_store::kMostEntries - 1) / 2;
constexpr int kWritesAtOnce = 4;

} // namespace

void work_driver::StartWrites()
{
  while (mWrites < kWritesAtOnce) {
    std::vector<progress_write> writes = mCore.TakeWrites(kRecordsPerWrite);
    if (writes.empty()) {
      return;
    }
    ++mWrites;
    mRuntime.Spawn([this, writes = std::move(writes)] {
      RunWrite(writes);
      --mWrites;
      Pump();
    });
  }
}

// Repeated until its fate is known: the conditions let one attempt through at most. The lead may be
// claimed again meanwhile, and has another condition then.
void work_driver::RunWrite(const std::vector<progress_write>& aWrites)
{
  const int term = mTerm;
  while (IsTerm(term)) {
    store_transaction transaction;
    transaction.mConditions.push_back(mLead->Condition());
    for (const progress_write& each : aWrites) {
      transaction.mConditions.push_back({ work_keys::Progress(each.mJob), each.mExpected });
      transaction.mWrites.push_back({ work_keys::Progress(each.mJob), each.mValue, 0 });
    }
    const instant sent = monotonic_clock::now();
    const auto done = mStore.Commit(transaction, sent + kStoreDeadline);
    if (!IsTerm(term)) {
      return;
    }
    if (done) {
      mMetrics.Observe(kWorkWriteTime, monotonic_clock::now() - sent);
      if (SettleWrite(aWrites, done.value())) {
        return;
      }
    }
    mMetrics.Count(kWorkWriteRetries, done ? "not leading" : ToString(done.error().mKind));
    SleepFor(kWriteRetry);
  }
}

// @return false when the leader's key has lapsed or is being claimed again: the write is repeated
bool work_driver::SettleWrite(const std::vector<progress_write>& aWrites,
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
  // The key may have been claimed again by this host, with the answer to either call on its way.
  const bool another = leader->mModified > mCore.Epoch() && !mLead->IsOwnClaim(*leader);
  if (another) {
    LoseLead("the store names another leader");
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

void work_driver::ForgetOld()
{
  const int term = mTerm;
  for (const std::string& job : mCore.TakeForgotten(monotonic_clock::now())) {
    store_transaction removal;
    removal.mConditions.push_back(mLead->Condition());
    removal.mDeletes = { work_keys::Accepted(job), work_keys::Cancel(job),
                         work_keys::Progress(job) };
    const auto done = mStore.Commit(removal, monotonic_clock::now() + kStoreDeadline);
    LogEvent(kWorkForgotten, { Field("job", job), Field("removed", done.has_value()) });
    if (!IsTerm(term)) {
      return;
    }
  }
}

} // namespace briarwind
