#pragma once

#include "briarwind/settings_model.h"
#include "briarwind/settings_record.h"
#include "briarwind/settings_value.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace briarwind {

/// The result of offering one stored value to a settings_book.
enum class book_outcome : std::uint8_t
{
  kApplied,  ///< the value is in force now
  kSame,     ///< the value was already in force, or its key is no settings key; nothing changed
  kOlder,    ///< the book holds a higher revision; nothing changed
  kInvalid,  ///< the value cannot be decoded; the last valid one stays in force
  kDiverged, ///< the value's history lacks the change in force, as after a store was restored from
             ///< an older copy; nothing changed
};

/// The result of offering a whole listing to a settings_book.
struct listing_outcome
{
  int mApplied = 0; ///< values that came into force
  int mOlder = 0;   ///< subtrees that are older or diverged in the listing, or missing from it
  int mInvalid = 0; ///< values that cannot be decoded
  /// Whether the listing confirms the view: no subtree in it is older than in the book, diverged or
  /// missing.
  bool Confirms() const { return mOlder == 0; }
};

/// The settings that are in force in one process. A subtree only moves to a higher revision whose
/// history contains the change in force, and only a record with mDeleted set deletes a subtree. So
/// neither a stale answer nor a store that was restored from an older copy reverts a change.
class settings_book
{
public:
  /// The record in force for one subtree, and its revision.
  struct entry
  {
    store_revision mRevision = 0;
    settings_record mRecord;
  };

  settings_book();

  /// Offers one stored value. Values whose keys are no settings keys are ignored and give kSame.
  book_outcome Apply(const stored_value& aValue);
  /// Offers a listing of all subtrees; their changes come into force together.
  listing_outcome ApplyListing(const store_listing& aListing);

  /// Adds a finding to InvalidValues and drops the oldest one beyond a limit.
  void AddInvalidValue(finding aFinding);
  /// The number of subtrees that are held but not in the listing, so that the store has lost them.
  int CountMissing(const store_listing& aListing) const;

  /// The view in force. The view is immutable: a later change makes a new one, so a caller may keep
  /// a view while its fiber is suspended.
  std::shared_ptr<const settings_view> View() const { return mView; }
  /// The highest revision of all subtrees.
  store_revision Revision() const { return mView->mRevision; }
  /// The entry of the subtree that aPath lies in, or nullptr. Deleted subtrees have an entry.
  const entry* Find(const settings_path& aPath) const;
  /// All entries by store key, with those of deleted subtrees.
  const std::map<std::string, entry, std::less<>>& Entries() const { return mEntries; }

  /// The number of values since the start that were older than the entry held, diverged from it, or
  /// were missing from a listing.
  std::uint64_t OlderOffers() const { return mOlderOffers; }
  /// Findings about values that could not be decoded, newest last.
  const findings& InvalidValues() const { return mInvalidValues; }

private:
  book_outcome ApplyTo(settings_view& aView, const stored_value& aValue);
  bool DecodeInto(settings_view& aView, const settings_path& aPath, const settings_record& aRecord);

  std::map<std::string, entry, std::less<>> mEntries; // by store key
  std::shared_ptr<const settings_view> mView;
  std::uint64_t mOlderOffers = 0;
  findings mInvalidValues;
};

} // namespace briarwind
