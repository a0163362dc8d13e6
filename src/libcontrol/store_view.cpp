#include "store_view.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace briarwind {

store_view::store_view(std::string aPrefix)
  : mPrefix(std::move(aPrefix))
{
}

// The keys that were deleted before the first listing, or before one that follows a lost watch, are
// not known.
void store_view::Replace(const store_listing& aListing)
{
  mValues.clear();
  for (const stored_value& each : aListing.mValues) {
    mValues.emplace(each.mKey, each);
  }
  mRevision = aListing.mRevision;
  mCompleteFrom = mRevision;
  mIsCurrent = true;
}

void store_view::Apply(const std::vector<store_change>& aChanges, store_revision aRevision)
{
  for (const store_change& each : aChanges) {
    if (each.mDeleted) {
      mValues.erase(each.mValue.mKey);
      mCompleteFrom = std::max(mCompleteFrom, each.mValue.mModified);
    } else {
      mValues.insert_or_assign(each.mValue.mKey, each.mValue);
    }
  }
  mRevision = std::max(mRevision, aRevision);
  mIsCurrent = true;
}

store_revision store_view::NewestChange() const
{
  store_revision newest = mCompleteFrom;
  for (const stored_value& each : mValues | std::views::values) {
    newest = std::max(newest, each.mModified);
  }
  return newest;
}

store_listing store_view::List() const
{
  const auto values = mValues | std::views::values;
  return { mRevision, { values.begin(), values.end() } };
}

watch_result store_view::ChangesAfter(store_revision aRevision) const
{
  watch_result changes;
  changes.mRevision = std::max(aRevision, mRevision);
  changes.mCompacted = aRevision < mCompleteFrom;
  if (!changes.mCompacted) {
    for (const stored_value& each : mValues | std::views::values) {
      if (each.mModified > aRevision) {
        changes.mChanges.push_back({ false, each });
      }
    }
  }
  return changes;
}

} // namespace briarwind
