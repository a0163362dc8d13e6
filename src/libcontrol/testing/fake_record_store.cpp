#include "fake_record_store.h"

#include <algorithm>
#include <utility>

namespace briarwind::testing {

namespace {

constexpr milliseconds kWatchPollInterval{ 2 };

auto DownError()
{
  return IoError(error_kind::kUnavailable, "fake store", "down");
}

} // namespace

bool fake_record_store::BeginCall()
{
  ++mCalls;
  if (mBeforeCall) {
    mBeforeCall();
  }
  SleepFor(mDown ? mFailAfter : milliseconds{ 1 });
  return !mDown;
}

void fake_record_store::LogChange(const stored_value& aValue, bool aDeleted)
{
  mChangeLog.emplace_back(mRevision, store_change{ aDeleted, aValue });
}

void fake_record_store::Put(const std::string& aKey, const std::string& aValue)
{
  store_transaction write;
  write.mWrites.push_back({ aKey, aValue, 0 });
  Apply(write);
}

void fake_record_store::Remove(const std::string& aKey)
{
  store_transaction removal;
  removal.mDeletes.push_back(aKey);
  Apply(removal);
}

const stored_value* fake_record_store::Find(const std::string& aKey) const
{
  const auto found = mValues.find(aKey);
  return found == mValues.end() ? nullptr : &found->second;
}

void fake_record_store::ApplyDelayedWrites()
{
  while (!mDelayedTransactions.empty()) {
    Apply(mDelayedTransactions.front());
    mDelayedTransactions.pop_front();
  }
}

void fake_record_store::ExpireLease(store_lease aLease)
{
  mLeases.erase(aLease);
  store_transaction removal;
  for (const auto& [key, value] : mValues) {
    if (value.mLease == aLease) {
      removal.mDeletes.push_back(key);
    }
  }
  Apply(removal);
}

io_result<std::optional<stored_value>> fake_record_store::Get(std::string_view aKey, instant)
{
  if (!BeginCall()) {
    return DownError();
  }
  const stored_value* found = Find(std::string(aKey));
  return found == nullptr ? std::optional<stored_value>() : std::optional(*found);
}

io_result<store_listing> fake_record_store::List(std::string_view aPrefix, instant)
{
  if (!BeginCall()) {
    return DownError();
  }
  store_listing listing;
  listing.mRevision = mRevision;
  for (const auto& [key, value] : mValues) {
    if (key.starts_with(aPrefix)) {
      listing.mValues.push_back(value);
    }
  }
  return listing;
}

io_result<watch_result> fake_record_store::Watch(std::string_view aPrefix, store_revision aAfter,
                                                 milliseconds aWait)
{
  if (!BeginCall()) {
    return DownError();
  }
  const instant end = monotonic_clock::now() + aWait;
  watch_result answer;
  while (true) {
    if (mDown) {
      return DownError();
    }
    if (aAfter < mCompacted) {
      answer.mCompacted = true;
      return answer;
    }
    for (const auto& [revision, change] : mChangeLog) {
      if (revision > aAfter && change.mValue.mKey.starts_with(aPrefix)) {
        answer.mChanges.push_back(change);
      }
    }
    // Read together with the changes, without a suspension in between, so that no change is missed.
    answer.mRevision = mRevision;
    if (!answer.mChanges.empty() || monotonic_clock::now() >= end) {
      return answer;
    }
    SleepFor(kWatchPollInterval);
  }
}

transaction_result fake_record_store::Apply(const store_transaction& aTransaction)
{
  transaction_result result;
  const bool holds = std::ranges::all_of(aTransaction.mConditions, [&](const auto& aCondition) {
    const stored_value* found = Find(aCondition.mKey);
    return (found == nullptr ? 0 : found->mModified) == aCondition.mRevision;
  });
  if (!holds) {
    for (const store_condition& each : aTransaction.mConditions) {
      if (const stored_value* found = Find(each.mKey)) {
        result.mCurrent.push_back(*found);
      }
    }
    return result;
  }
  ++mRevision;
  for (const store_write& each : aTransaction.mWrites) {
    stored_value& value = mValues[each.mKey];
    value.mKey = each.mKey;
    value.mValue = each.mValue;
    value.mCreated = value.mCreated == 0 ? mRevision : value.mCreated;
    value.mModified = mRevision;
    value.mLease = each.mLease;
    LogChange(value, false);
  }
  for (const std::string& each : aTransaction.mDeletes) {
    if (mValues.erase(each) > 0) {
      stored_value removed;
      removed.mKey = each;
      removed.mModified = mRevision;
      LogChange(removed, true);
    }
  }
  result.mCommitted = true;
  result.mRevision = mRevision;
  return result;
}

io_result<transaction_result> fake_record_store::Commit(const store_transaction& aTransaction,
                                                        instant)
{
  if (!BeginCall()) {
    return DownError();
  }
  if (mRefuses && mRefuses(aTransaction)) {
    return IoError(error_kind::kInvalid, "fake store", "refused");
  }
  const bool leasesExist =
    std::ranges::all_of(aTransaction.mWrites, [&](const store_write& aWrite) {
      return aWrite.mLease == 0 || mLeases.contains(aWrite.mLease);
    });
  if (!leasesExist) {
    return IoError(error_kind::kNotFound, "fake store", "no such lease");
  }
  if (mTransactionsToDelay > 0) {
    --mTransactionsToDelay;
    mDelayedTransactions.push_back(aTransaction);
    return IoError(error_kind::kUnknownOutcome, "fake store", "no answer");
  }
  transaction_result result = Apply(aTransaction);
  if (mAnswersToLose > 0) {
    --mAnswersToLose;
    return IoError(error_kind::kUnknownOutcome, "fake store", "no answer");
  }
  return result;
}

io_result<granted_lease> fake_record_store::Grant(milliseconds aTimeToLive, instant)
{
  if (!BeginCall()) {
    return DownError();
  }
  mLeases[++mLastLease] = aTimeToLive;
  return granted_lease{ mLastLease, aTimeToLive };
}

io_result<milliseconds> fake_record_store::Renew(store_lease aLease, instant)
{
  if (!BeginCall()) {
    return DownError();
  }
  const auto found = mLeases.find(aLease);
  if (found == mLeases.end()) {
    return IoError(error_kind::kNotFound, "fake store", "the lease has ended");
  }
  return found->second;
}

io_result<void> fake_record_store::Revoke(store_lease aLease, instant)
{
  if (!BeginCall()) {
    return DownError();
  }
  ExpireLease(aLease);
  return boost::outcome_v2::success();
}

} // namespace briarwind::testing
