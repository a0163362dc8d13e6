#include "briarwind/settings_book.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>
#include <utility>

namespace briarwind {

namespace {

// Invalid values are rare. The limit bounds the memory that a store with many of them can take up
// in a process.
constexpr std::size_t kMaxInvalidValues = 100;

// A store that was restored from an older copy assigns the same revisions a second time, so a
// higher revision alone does not show that a value was made from the one that is held.
bool FollowsFrom(const settings_book::entry& aHeld, const settings_record& aOffered)
{
  const auto& heldHistory = aHeld.mRecord.mHistory;
  if (heldHistory.empty() || HasChange(aOffered, heldHistory.front().mId)) {
    return true;
  }
  // A full history may have dropped the held change. Then the base revision of the oldest change
  // that is left shows whether that change was made on the held one or a later one.
  const auto& history = aOffered.mHistory;
  return history.size() >= kHistoryLength && history.back().mBase >= aHeld.mRevision;
}

// Two values with the same revision are the same value, unless the store was restored from an older
// copy in between; their histories differ then.
bool HasSameHistory(const settings_book::entry& aHeld, const settings_record& aOffered)
{
  return aHeld.mRecord.mHistory == aOffered.mHistory;
}

} // namespace

settings_book::settings_book()
  : mView(std::make_shared<settings_view>())
{
}

bool settings_book::DecodeInto(settings_view& aView, const settings_path& aPath,
                               const settings_record& aRecord)
{
  if (aRecord.mDeleted) {
    EraseSettings(aView, aPath);
    return true;
  }
  const auto value = ParseSettings(aPath, aRecord.mSettings, mInvalidValues);
  if (value) {
    PutSettings(aView, *value);
  }
  return value.has_value();
}

book_outcome settings_book::ApplyTo(settings_view& aView, const stored_value& aValue)
{
  const auto path = PathOfStoreKey(aValue.mKey);
  if (!path) {
    return book_outcome::kSame;
  }
  const auto held = mEntries.find(aValue.mKey);
  const bool isHeld = held != mEntries.end();
  if (isHeld && aValue.mModified < held->second.mRevision) {
    ++mOlderOffers;
    return book_outcome::kOlder;
  }
  const auto record = ToIoResult([&] { return DecodeSettingsRecord(aValue.mValue); });
  if (!record) {
    AddInvalidValue({ severity::kError, ToString(*path), aValue.mValue, record.error().mWhat });
    return book_outcome::kInvalid;
  }
  if (isHeld && aValue.mModified == held->second.mRevision &&
      HasSameHistory(held->second, record.value())) {
    return book_outcome::kSame;
  }
  if (isHeld &&
      (aValue.mModified == held->second.mRevision || !FollowsFrom(held->second, record.value()))) {
    ++mOlderOffers;
    return book_outcome::kDiverged;
  }
  if (!DecodeInto(aView, *path, record.value())) {
    return book_outcome::kInvalid;
  }
  mEntries[aValue.mKey] = { aValue.mModified, record.value() };
  aView.mRevision = std::max(aView.mRevision, aValue.mModified);
  return book_outcome::kApplied;
}

void settings_book::AddInvalidValue(finding aFinding)
{
  mInvalidValues.push_back(std::move(aFinding));
  if (mInvalidValues.size() > kMaxInvalidValues) {
    mInvalidValues.erase(mInvalidValues.begin());
  }
}

book_outcome settings_book::Apply(const stored_value& aValue)
{
  auto next = std::make_shared<settings_view>(*mView);
  const book_outcome outcome = ApplyTo(*next, aValue);
  if (outcome == book_outcome::kApplied) {
    mView = std::move(next);
  }
  return outcome;
}

listing_outcome settings_book::ApplyListing(const store_listing& aListing)
{
  auto next = std::make_shared<settings_view>(*mView);
  listing_outcome total;
  // A deleted subtree keeps its key and a record in the store, so a subtree that is missing from
  // the listing was lost by the store.
  total.mOlder = CountMissing(aListing);
  mOlderOffers += static_cast<std::uint64_t>(total.mOlder);
  for (const stored_value& each : aListing.mValues) {
    const book_outcome outcome = ApplyTo(*next, each);
    total.mApplied += outcome == book_outcome::kApplied ? 1 : 0;
    const bool isOlder = outcome == book_outcome::kOlder || outcome == book_outcome::kDiverged;
    total.mOlder += isOlder ? 1 : 0;
    total.mInvalid += outcome == book_outcome::kInvalid ? 1 : 0;
  }
  if (total.mApplied > 0) {
    mView = std::move(next);
  }
  return total;
}

int settings_book::CountMissing(const store_listing& aListing) const
{
  std::set<std::string_view> listed;
  std::ranges::transform(aListing.mValues, std::inserter(listed, listed.end()),
                         &stored_value::mKey);
  return static_cast<int>(std::ranges::count_if(
    mEntries, [&](const auto& aEntry) { return !listed.contains(aEntry.first); }));
}

const settings_book::entry* settings_book::Find(const settings_path& aPath) const
{
  const auto found = mEntries.find(StoreKey(aPath));
  return found == mEntries.end() ? nullptr : &found->second;
}

} // namespace briarwind
