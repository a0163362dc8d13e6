#include "briarwind/fiber_runtime.h"
#include "briarwind/memory_store.h"

#include <algorithm>

namespace briarwind {

namespace {

// Interval at which a watch polls the log of changes.
constexpr milliseconds kWatchPollInterval{ 1 };

auto DownError()
{
  return IoError(error_kind::kUnavailable, "memory store", "the store is down");
}

} // namespace

bool memory_store::BeginCall(instant aDeadline)
{
  ++mCalls;
  if (mLatency > duration::zero()) {
    SleepUntil(std::min(aDeadline, monotonic_clock::now() + mLatency));
  }
  return !mDown && monotonic_clock::now() < aDeadline;
}

void memory_store::Restore(const memory_store& aCopy)
{
  mValues = aCopy.mValues;
  mLeases = aCopy.mLeases;
  mChangeLog = aCopy.mChangeLog;
  mRevision = aCopy.mRevision;
}

io_result<store_listing> memory_store::List(std::string_view aPrefix, instant aDeadline)
{
  if (!BeginCall(aDeadline)) {
    return DownError();
  }
  store_listing listing;
  listing.mRevision = mRevision;
  for (auto each = mValues.lower_bound(aPrefix);
       each != mValues.end() && each->first.starts_with(aPrefix); ++each) {
    listing.mValues.push_back(each->second);
  }
  return listing;
}

swap_result memory_store::ConflictResult(std::string_view aKey) const
{
  swap_result conflict;
  conflict.mRevision = mRevision;
  const auto found = mValues.find(aKey);
  if (found != mValues.end()) {
    conflict.mCurrent = found->second;
  }
  return conflict;
}

io_result<swap_result> memory_store::DeliverResult(swap_result aResult)
{
  if (aResult.mSwapped && mAnswersToLose > 0) {
    --mAnswersToLose;
    return IoError(error_kind::kUnknownOutcome, "memory store", "the response was lost");
  }
  return aResult;
}

io_result<swap_result> memory_store::Swap(std::string_view aKey, store_revision aExpected,
                                          std::string_view aValue, store_lease aLease,
                                          instant aDeadline)
{
  if (!BeginCall(aDeadline)) {
    return DownError();
  }
  const auto found = mValues.find(aKey);
  if ((found == mValues.end() ? 0 : found->second.mModified) != aExpected) {
    return ConflictResult(aKey);
  }
  if (aLease != 0 && !mLeases.contains(aLease)) {
    return IoError(error_kind::kNotFound, "memory store", "the lease does not exist");
  }
  ++mRevision;
  stored_value& value = mValues[std::string(aKey)];
  value.mKey = aKey;
  value.mValue = aValue;
  value.mCreated = aExpected == 0 ? mRevision : value.mCreated;
  value.mModified = mRevision;
  value.mLease = aLease;
  mChangeLog.push_back({ mRevision, { false, value } });
  return DeliverResult({ true, mRevision, {} });
}

void memory_store::EraseKey(const std::string& aKey)
{
  ++mRevision;
  stored_value tombstone;
  tombstone.mKey = aKey;
  tombstone.mModified = mRevision;
  mValues.erase(aKey);
  mChangeLog.push_back({ mRevision, { true, tombstone } });
}

io_result<swap_result> memory_store::Delete(std::string_view aKey, store_revision aExpected,
                                            instant aDeadline)
{
  if (!BeginCall(aDeadline)) {
    return DownError();
  }
  const auto found = mValues.find(aKey);
  if (found == mValues.end() || found->second.mModified != aExpected) {
    return ConflictResult(aKey);
  }
  EraseKey(std::string(aKey));
  return DeliverResult({ true, mRevision, {} });
}

io_result<store_lease> memory_store::GrantLease(seconds aTimeToLive, instant aDeadline)
{
  if (!BeginCall(aDeadline)) {
    return DownError();
  }
  mLeases[++mLastLease] = aTimeToLive;
  return mLastLease;
}

io_result<seconds> memory_store::KeepAlive(store_lease aLease, instant aDeadline)
{
  if (!BeginCall(aDeadline)) {
    return DownError();
  }
  const auto found = mLeases.find(aLease);
  if (found == mLeases.end()) {
    return IoError(error_kind::kNotFound, "memory store", "the lease has expired");
  }
  return found->second;
}

io_result<void> memory_store::RevokeLease(store_lease aLease, instant aDeadline)
{
  if (!BeginCall(aDeadline)) {
    return DownError();
  }
  ExpireLease(aLease);
  return boost::outcome_v2::success();
}

void memory_store::ExpireLease(store_lease aLease)
{
  mLeases.erase(aLease);
  std::vector<std::string> attachedKeys;
  for (const auto& [key, value] : mValues) {
    if (value.mLease == aLease) {
      attachedKeys.push_back(key);
    }
  }
  std::ranges::for_each(attachedKeys, [&](const std::string& aKey) { EraseKey(aKey); });
}

watch_end memory_store::Watch(std::string_view aPrefix, store_revision aFrom,
                              const std::function<bool(const watch_batch&)>& aObserver)
{
  ++mCalls;
  const std::uint64_t cutsAtStart = mWatchCuts;
  store_revision next = aFrom;
  for (;;) {
    if (mDown || mWatchCuts != cutsAtStart) {
      return watch_end::kDisconnected;
    }
    if (next < mCompactedBelow) {
      return watch_end::kCompacted;
    }
    watch_batch batch;
    batch.mRevision = mRevision;
    for (const logged_change& each : mChangeLog) {
      if (each.mRevision >= next && each.mChange.mValue.mKey.starts_with(aPrefix)) {
        batch.mChanges.push_back(each.mChange);
      }
    }
    next = std::max(next, mRevision + 1);
    if (!aObserver(batch)) {
      return watch_end::kStopped;
    }
    SleepFor(kWatchPollInterval);
  }
}

} // namespace briarwind
