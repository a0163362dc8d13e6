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
// A peer of the former version relays a refusal of the store like an answer that it does not know.
// Such answers in a row count as a refusal; the conditions make it safe to be wrong.
constexpr int kUnknownAnswersBeforeRefusal = 3;

bool IsRefusal(error_kind aKind)
{
  return aKind == error_kind::kInvalid || aKind == error_kind::kTooLarge;
}

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
// Of several records that the store refuses together, each is then sent alone, so that the one at
// fault is found and the others are stored.
void work_driver::RunWrite(const std::vector<progress_write>& aWrites)
{
  const int term = mTerm;
  error failure;
  int unknownAnswers = 0;
  write_outcome outcome = write_outcome::kNotYet;
  while (IsCurrentTerm(term) && outcome == write_outcome::kNotYet) {
    outcome = CommitOnce(aWrites, failure);
    unknownAnswers = failure.mKind == error_kind::kProtocol ? unknownAnswers + 1 : 0;
    if (outcome == write_outcome::kNotYet && unknownAnswers == kUnknownAnswersBeforeRefusal) {
      outcome = write_outcome::kRefused;
    }
    if (outcome == write_outcome::kNotYet) {
      SleepFor(kRetryDelay);
    }
  }
  if (!IsCurrentTerm(term) || outcome != write_outcome::kRefused) {
    return;
  }
  if (aWrites.size() > 1) {
    std::ranges::for_each(aWrites, [this](const progress_write& aEach) { RunWrite({ aEach }); });
    return;
  }
  mMetrics.Count(kWritesRefused, ToString(failure.mKind));
  mCore.OnWriteRefused(aWrites.front().mJob, failure.mWhat, monotonic_clock::now());
}

// Sends the records in one transaction. The condition on the leader key is read for each attempt,
// because leadership may be claimed again between attempts.
work_driver::write_outcome work_driver::CommitOnce(const std::vector<progress_write>& aWrites,
                                                   error& aFailure)
{
  if (!FitsStore(aWrites)) {
    aFailure = { error_kind::kTooLarge, "store",
                 fmt::format("a value is over {} bytes", mMaxValueBytes) };
    return write_outcome::kRefused;
  }
  const int term = mTerm;
  store_transaction transaction;
  transaction.mConditions.push_back(mLeadership->Condition());
  for (const progress_write& each : aWrites) {
    transaction.mConditions.push_back({ work_keys::Progress(each.mJob), each.mExpected });
    transaction.mWrites.push_back({ work_keys::Progress(each.mJob), each.mValue, 0 });
    for (const record_part& part : each.mParts) {
      std::string key = work_keys::ProgressPart(each.mJob, part.mNumber);
      if (part.mValue.empty()) {
        transaction.mDeletes.push_back(std::move(key));
      } else {
        transaction.mWrites.push_back({ std::move(key), part.mValue, 0 });
      }
    }
  }
  const instant sent = monotonic_clock::now();
  const auto done = mStore.Commit(transaction, sent + kStoreDeadline);
  if (!IsCurrentTerm(term)) {
    return write_outcome::kDone;
  }
  aFailure = done ? error{ error_kind::kUnavailable, {}, {} } : done.error();
  if (IsRefusal(aFailure.mKind)) {
    return write_outcome::kRefused;
  }
  if (done) {
    mMetrics.Observe(kWorkWriteTime, monotonic_clock::now() - sent);
    if (ApplyWriteResult(aWrites, done.value())) {
      return write_outcome::kDone;
    }
  }
  mMetrics.Count(kWorkWriteRetries, done ? "not leading" : ToString(done.error().mKind));
  return write_outcome::kNotYet;
}

bool work_driver::FitsStore(const std::vector<progress_write>& aWrites) const
{
  const auto fits = [this](const std::string& aValue) { return aValue.size() <= mMaxValueBytes; };
  return std::ranges::all_of(aWrites, [&](const progress_write& aEach) {
    return fits(aEach.mValue) && std::ranges::all_of(aEach.mParts, fits, &record_part::mValue);
  });
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

// After a failure the remaining jobs are left to the next removal: further calls would fail too. A
// refusal concerns its own job only.
void work_driver::RemoveExpiredJobs(int aTerm)
{
  for (const expired_job& job : mCore.ExpiredJobs(monotonic_clock::now())) {
    if (!IsCurrentTerm(aTerm) || RemoveRecords(job, aTerm) == removal_outcome::kLater) {
      return;
    }
  }
}

// Deletes the parts of the job's progress record, as many at a time as a transaction takes. The
// main record goes last: while it is there, the next leader finds the job finished.
bool work_driver::RemoveParts(const expired_job& aJob, int aTerm, error& aFailure)
{
  constexpr std::size_t kPartsPerCall = record_store::kMaxTransactionEntries - 2;
  for (std::size_t first = 0; first < aJob.mParts.size(); first += kPartsPerCall) {
    store_transaction removal;
    removal.mConditions = { mLeadership->Condition(),
                            { work_keys::Progress(aJob.mId), aJob.mProgressRevision } };
    std::ranges::transform(aJob.mParts | std::views::drop(first) | std::views::take(kPartsPerCall),
                           std::back_inserter(removal.mDeletes), [&](std::int64_t aPart) {
                             return work_keys::ProgressPart(aJob.mId, aPart);
                           });
    const auto done = mStore.Commit(removal, monotonic_clock::now() + kStoreDeadline);
    if (!IsCurrentTerm(aTerm)) {
      return false;
    }
    if (!done) {
      aFailure = done.error();
      return false;
    }
    if (!done.value().mCommitted) {
      break; // the deletion of the main record finds out why
    }
  }
  return true;
}

// The job is forgotten only when the store has confirmed that its records are gone. Otherwise the
// next listing of accepted jobs would contain a job that this leader does not know, and the job
// would run again from the beginning. If that is not confirmed, the job stays known and its removal
// is retried.
work_driver::removal_outcome work_driver::RemoveRecords(const expired_job& aJob, int aTerm)
{
  const auto retryLater = [&](std::string_view aReason, removal_outcome aOutcome) {
    mMetrics.Count(kWorkRemovalRetries, aReason);
    LogEvent(kWorkNotRemoved, { Field("job", aJob.mId), Field("reason", aReason) });
    return aOutcome;
  };
  const auto retryFailed = [&](const error& aError) {
    return retryLater(ToString(aError.mKind), IsRefusal(aError.mKind) ? removal_outcome::kRefused
                                                                      : removal_outcome::kLater);
  };
  error failure;
  if (!RemoveParts(aJob, aTerm, failure)) {
    return IsCurrentTerm(aTerm) ? retryFailed(failure) : removal_outcome::kLater;
  }
  store_transaction removal;
  removal.mConditions = { mLeadership->Condition(),
                          { work_keys::Progress(aJob.mId), aJob.mProgressRevision } };
  removal.mDeletes = { work_keys::Accepted(aJob.mId), work_keys::Cancel(aJob.mId),
                       work_keys::Progress(aJob.mId) };
  const auto done = mStore.Commit(removal, monotonic_clock::now() + kStoreDeadline);
  if (!IsCurrentTerm(aTerm)) {
    return removal_outcome::kLater;
  }
  if (!done) {
    return retryFailed(done.error());
  }
  if (!done.value().mCommitted) {
    if (CheckLeaderKey(done.value()) != leader_key::kOwn) {
      return retryLater("not leading", removal_outcome::kLater);
    }
    // An absent record means that an earlier deletion without an answer took effect.
    const stored_value* stored = FindCurrent(done.value(), work_keys::Progress(aJob.mId));
    if (stored != nullptr) {
      mCore.OnNotWritten(aJob.mId, stored->mModified);
      return retryLater("record changed", removal_outcome::kLater);
    }
  }
  mCore.ForgetJob(aJob);
  LogEvent(kWorkForgotten, { Field("job", aJob.mId) });
  return removal_outcome::kDone;
}

} // namespace briarwind
