#include "standins/store/store_state.h"

#include <algorithm>
#include <iterator>

namespace briarwind {

bool key_range::Contains(std::string_view aKey) const
{
  static constexpr std::string_view kNoEnd("\0", 1);
  if (mEnd.empty()) {
    return aKey == mBegin;
  }
  return aKey >= mBegin && (mEnd == kNoEnd || aKey < mEnd);
}

std::vector<stored_value> store_state::Range(const key_range& aKeys) const
{
  std::vector<stored_value> values;
  auto each = mData.mValues.lower_bound(aKeys.mBegin);
  for (; each != mData.mValues.end() && aKeys.Contains(each->first); ++each) {
    values.push_back(each->second);
  }
  return values;
}

bool store_state::AllMatch(std::span<const store_compare> aCompares) const
{
  return std::ranges::all_of(aCompares, [this](const store_compare& aCompare) {
    const auto found = mData.mValues.find(aCompare.mKey);
    const store_revision revision = found != mData.mValues.end() ? found->second.mModified : 0;
    return revision == aCompare.mRevision;
  });
}

result<store_revision> store_state::Write(std::span<const store_write> aWrites)
{
  const bool allLeasesExist = std::ranges::all_of(aWrites, [this](const store_write& aWrite) {
    return aWrite.mLease == 0 || mData.mLeases.contains(aWrite.mLease);
  });
  if (!allLeasesExist) {
    return MakeError(error_kind::kNotFound, "lease", "requested lease not found");
  }
  const store_revision revision = mData.mRevision + 1;
  for (const store_write& each : aWrites) {
    if (!each.mIsDelete) {
      Put(each, revision);
      mData.mRevision = revision;
    } else if (Delete(each.mKeys, revision)) {
      mData.mRevision = revision;
    }
  }
  return mData.mRevision;
}

void store_state::Put(const store_write& aWrite, store_revision aRevision)
{
  stored_value& value = mData.mValues[aWrite.mKeys.mBegin];
  value.mKey = aWrite.mKeys.mBegin;
  value.mValue = aWrite.mValue;
  value.mCreated = value.mCreated == 0 ? aRevision : value.mCreated;
  value.mModified = aRevision;
  value.mLease = aWrite.mLease;
  mData.mHistory.push_back({ false, value });
}

bool store_state::Delete(const key_range& aKeys, store_revision aRevision)
{
  const std::vector<stored_value> deleted = Range(aKeys);
  for (const stored_value& each : deleted) {
    stored_value tombstone;
    tombstone.mKey = each.mKey;
    tombstone.mModified = aRevision;
    mData.mHistory.push_back({ true, std::move(tombstone) });
    mData.mValues.erase(each.mKey);
  }
  return !deleted.empty();
}

store_lease store_state::Grant(seconds aTimeToLive, instant aNow)
{
  const store_lease granted = ++mData.mLastLease;
  mData.mLeases[granted] = { aTimeToLive, aNow + aTimeToLive };
  return granted;
}

std::optional<seconds> store_state::KeepAlive(store_lease aLease, instant aNow)
{
  Expire(aNow);
  const auto found = mData.mLeases.find(aLease);
  if (found == mData.mLeases.end()) {
    return std::nullopt;
  }
  found->second.mExpires = aNow + found->second.mTimeToLive;
  return found->second.mTimeToLive;
}

bool store_state::Revoke(store_lease aLease)
{
  if (mData.mLeases.erase(aLease) == 0) {
    return false;
  }
  std::vector<store_write> deletes;
  for (const auto& [key, value] : mData.mValues) {
    if (value.mLease == aLease) {
      deletes.push_back({ true, { key, "" }, "", 0 });
    }
  }
  return ToIoResult([&] { return Write(deletes); }).has_value();
}

void store_state::Expire(instant aNow)
{
  std::vector<store_lease> expired;
  for (const auto& [id, each] : mData.mLeases) {
    if (each.mExpires <= aNow) {
      expired.push_back(id);
    }
  }
  std::ranges::for_each(expired, [this](store_lease aLease) { Revoke(aLease); });
}

std::optional<std::vector<store_change>> store_state::ChangesFrom(const key_range& aKeys,
                                                                  store_revision aFrom) const
{
  if (aFrom <= mData.mCompactedRevision) {
    return std::nullopt;
  }
  const auto revisionOf = [](const store_change& aChange) { return aChange.mValue.mModified; };
  const auto first = std::ranges::lower_bound(mData.mHistory, aFrom, {}, revisionOf);
  std::vector<store_change> changes;
  std::copy_if(first, mData.mHistory.end(), std::back_inserter(changes),
               [&](const store_change& aChange) { return aKeys.Contains(aChange.mValue.mKey); });
  return changes;
}

void store_state::Compact(store_revision aRevision)
{
  mData.mCompactedRevision =
    std::max(mData.mCompactedRevision, std::min(aRevision, mData.mRevision));
  std::erase_if(mData.mHistory, [this](const store_change& aChange) {
    return aChange.mValue.mModified <= mData.mCompactedRevision;
  });
}

void store_state::Restore(instant aNow)
{
  mData = mSnapshot;
  for (auto& [id, each] : mData.mLeases) {
    each.mExpires = aNow + each.mTimeToLive;
  }
}

} // namespace briarwind
