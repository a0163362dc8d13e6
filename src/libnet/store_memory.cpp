#include "briarwind/fiber_runtime.h"
#include "briarwind/memory_store.h"

#include <algorithm>

namespace briarwind {

namespace {

// How often a watch looks for changes.
constexpr milliseconds kWatchStep{ 1 };

auto Down()
{
  return IoError(error_kind::kUnavailable, "memory store", "down");
}

} // namespace

bool memory_store::Reach(instant aDeadline)
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
  mLog = aCopy.mLog;
  mRevision = aCopy.mRevision;
}

io_result<store_listing> memory_store::List(std::string_view aPrefix, instant aDeadline)
{
  if (!Reach(aDeadline)) {
    return Down();
  }
  store_listing listing;
  listing.mRevision = mRevision;
  for (auto each = mValues.lower_bound(aPrefix);
       each != mValues.end() && each->first.starts_with(aPrefix); ++each) {
    listing.mValues.push_back(each->second);
  }
  return listing;
}

swap_result memory_store::Refuse(std::string_view aKey) const
{
  swap_result refused;
  refused.mRevision = mRevision;
  const auto found = mValues.find(aKey);
  if (found != mValues.end()) {
    refused.mCurrent = found->second;
  }
  return refused;
}

io_result<swap_result> memory_store::Answer(swap_result aResult)
{
  if (aResult.mSwapped && mLostAnswers > 0) {
    --mLostAnswers;
    return IoError(error_kind::kUnknownOutcome, "memory store", "answer lost");
  }
  return aResult;
}

io_result<swap_result> memory_store::Swap(std::string_view aKey, store_revision aExpected,
                                          std::string_view aValue, store_lease aLease,
                                          instant aDeadline)
{
  if (!Reach(aDeadline)) {
    return Down();
  }
  const auto found = mValues.find(aKey);
  if ((found == mValues.end() ? 0 : found->second.mModified) != aExpected) {
    return Refuse(aKey);
  }
  if (aLease != 0 && !mLeases.contains(aLease)) {
    return IoError(error_kind::kNotFound, "memory store", "no such lease");
  }
  ++mRevision;
  stored_value& value = mValues[std::string(aKey)];
  value.mKey = aKey;
  value.mValue = aValue;
  value.mCreated = aExpected == 0 ? mRevision : value.mCreated;
  value.mModified = mRevision;
  value.mLease = aLease;
  mLog.push_back({ mRevision, { false, value } });
  return Answer({ true, mRevision, {} });
}

void memory_store::Erase(const std::string& aKey)
{
  ++mRevision;
  stored_value gone;
  gone.mKey = aKey;
  gone.mModified = mRevision;
  mValues.erase(aKey);
  mLog.push_back({ mRevision, { true, gone } });
}

io_result<swap_result> memory_store::Delete(std::string_view aKey, store_revision aExpected,
                                            instant aDeadline)
{
  if (!Reach(aDeadline)) {
    return Down();
  }
  const auto found = mValues.find(aKey);
  if (found == mValues.end() || found->second.mModified != aExpected) {
    return Refuse(aKey);
  }
  Erase(std::string(aKey));
  return Answer({ true, mRevision, {} });
}

io_result<store_lease> memory_store::GrantLease(seconds aTimeToLive, instant aDeadline)
{
  if (!Reach(aDeadline)) {
    return Down();
  }
  mLeases[++mLastLease] = aTimeToLive;
  return mLastLease;
}

io_result<seconds> memory_store::KeepAlive(store_lease aLease, instant aDeadline)
{
  if (!Reach(aDeadline)) {
    return Down();
  }
  const auto found = mLeases.find(aLease);
  if (found == mLeases.end()) {
    return IoError(error_kind::kNotFound, "memory store", "the lease has lapsed");
  }
  return found->second;
}

io_result<void> memory_store::RevokeLease(store_lease aLease, instant aDeadline)
{
  if (!Reach(aDeadline)) {
    return Down();
  }
  Lapse(aLease);
  return boost::outcome_v2::success();
}

void memory_store::Lapse(store_lease aLease)
{
  mLeases.erase(aLease);
  std::vector<std::string> held;
  for (const auto& [key, value] : mValues) {
    if (value.mLease == aLease) {
      held.push_back(key);
    }
  }
  std::ranges::for_each(held, [&](const std::string& aKey) { Erase(aKey); });
}

watch_end memory_store::Watch(std::string_view aPrefix, store_revision aFrom,
                              const std::function<bool(const watch_batch&)>& aObserver)
{
  ++mCalls;
  const std::uint64_t cuts = mWatchCuts;
  store_revision next = aFrom;
  for (;;) {
    if (mDown || mWatchCuts != cuts) {
      return watch_end::kCut;
    }
    if (next < mCompacted) {
      return watch_end::kCompacted;
    }
    watch_batch batch;
    batch.mRevision = mRevision;
    for (const logged_change& each : mLog) {
      if (each.mRevision >= next && each.mChange.mValue.mKey.starts_with(aPrefix)) {
        batch.mChanges.push_back(each.mChange);
      }
    }
    next = std::max(next, mRevision + 1);
    if (!aObserver(batch)) {
      return watch_end::kStopped;
    }
    SleepFor(kWatchStep);
  }
}

} // namespace briarwind
