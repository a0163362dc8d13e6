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

const stored_value* FindCurrent(const transaction_result& aResult, std::string_view aKey)
{
  const auto found = std::ranges::find(aResult.mCurrent, aKey, &stored_value::mKey);
  return found == aResult.mCurrent.end() ? nullptr : &*found;
}

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
  switch (CheckLeaderKey(aResult)) {
    case leader_key::kOwn:
      break;
    case leader_key::kAbsent:
      return false;
    case leader_key::kAnother:
      return true;
  }
  for (const progress_write& each : aWrites) {
    const stored_value* stored = FindCurrent(aResult, work_keys::Progress(each.mJob));
    if (stored != nullptr && stored->mValue == each.mValue) {
      mCore.OnWritten(each.mJob, stored->mModified, now);
    } else {
      mCore.OnNotWritten(each.mJob, stored == nullptr ? 0 : stored->mModified);
    }
  }
  return true;
}

work_driver::leader_key work_driver::CheckLeaderKey(const transaction_result& aResult)
{
  const stored_value* leader = FindCurrent(aResult, leadership::kLeaderKey);
  if (leader == nullptr) {
    return leader_key::kAbsent;
  }
  // This host may have claimed the key again, with the answer to that claim still on its way.
  if (leader->mModified > mCore.Epoch() && !mLeadership->IsOwnClaim(*leader)) {
    ReportSuperseded("the leader key in the store belongs to another host");
    return leader_key::kAnother;
  }
  return leader->mModified == mCore.Epoch() ? leader_key::kOwn : leader_key::kAbsent;
}

// Runs beside the rounds, which must not wait for a store that does not answer.
void work_driver::StartRemoval()
{
  if (std::exchange(mRemovalRunning, true)) {
    return;
  }
  mRuntime.Spawn([this, term = mTerm] {
    RemoveExpiredJobs(term);
    mRemovalRunning = false;
  });
}

// After a failure the remaining jobs are left to the next removal: further calls would fail too.
void work_driver::RemoveExpiredJobs(int aTerm)
{
  for (const expired_job& job : mCore.ExpiredJobs(monotonic_clock::now())) {
    if (!IsCurrentTerm(aTerm) || !RemoveRecords(job, aTerm)) {
      return;
    }
  }
}

// The job is forgotten only when the store has confirmed that its records are gone. Otherwise the
// next listing of accepted jobs would contain a job that this leader does not know, and the job
// would run again from the beginning.
//
// @return false when that is not confirmed; the job stays known and its removal is retried
bool work_driver::RemoveRecords(const expired_job& aJob, int aTerm)
{
  store_transaction removal;
  removal.mConditions = { mLeadership->Condition(),
                          { work_keys::Progress(aJob.mId), aJob.mProgressRevision } };
  removal.mDeletes = { work_keys::Accepted(aJob.mId), work_keys::Cancel(aJob.mId),
                       work_keys::Progress(aJob.mId) };
  const auto done = mStore.Commit(removal, monotonic_clock::now() + kStoreDeadline);
  if (!IsCurrentTerm(aTerm)) {
    return false;
  }
  const auto retryLater = [&](std::string_view aReason) {
    mMetrics.Count(kWorkRemovalRetries, aReason);
    LogEvent(kWorkNotRemoved, { Field("job", aJob.mId), Field("reason", aReason) });
    return false;
  };
  if (!done) {
    return retryLater(ToString(done.error().mKind));
  }
  if (!done.value().mCommitted) {
    if (CheckLeaderKey(done.value()) != leader_key::kOwn) {
      return retryLater("not leading");
    }
    // An absent record means that an earlier deletion without an answer took effect.
    const stored_value* stored = FindCurrent(done.value(), work_keys::Progress(aJob.mId));
    if (stored != nullptr) {
      mCore.OnNotWritten(aJob.mId, stored->mModified);
      return retryLater("record changed");
    }
  }
  mCore.ForgetJob(aJob);
  LogEvent(kWorkForgotten, { Field("job", aJob.mId) });
  return true;
}

} // namespace briarwind
