#pragma once

#include "briarwind/settings_model.h"
#include "briarwind/settings_record.h"
#include "briarwind/settings_value.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace briarwind {

/// What became of one value that was offered to a book.
enum class book_outcome : std::uint8_t
{
  kApplied,
  kSame,     ///< already held at that revision
  kOlder,    ///< the book holds a higher revision; nothing changed
  kInvalid,  ///< the value cannot be read; the book keeps the last good one
  kDiverged, ///< the value was made without the held change: the store went back; nothing changed
};

/// What a whole listing did to a book.
struct listing_outcome
{
  int mApplied = 0;
  int mOlder = 0; ///< subtrees that the listing has older or diverged, or not at all
  int mInvalid = 0;
  /// The listing is at least as new as the book in every subtree, so it confirms the view.
  bool Confirms() const { return mOlder == 0; }
};

/// The settings that are in force in one process. Each subtree only ever moves to a higher
/// revision whose history holds the change in force, and only a record that says so deletes one; so
/// neither an older answer nor a store that was restored from an older copy reverts anything.
class settings_book
{
public:
  /// One subtree as it is held.
  struct entry
  {
    store_revision mRevision = 0;
    settings_record mRecord;
  };

  settings_book();

  /// Applies one subtree. Keys that are no settings are ignored as kSame.
  book_outcome Apply(const stored_value& aValue);
  /// Applies a listing of all subtrees.
  listing_outcome ApplyListing(const store_listing& aListing);

  /// Subtrees that are held but not in the listing: the store has lost them.
  void NoteInvalid(finding aFinding);
  int CountMissing(const store_listing& aListing) const;

  /// The view in force. A later change makes a new view, so it may be kept while a fiber waits.
  std::shared_ptr<const settings_view> View() const { return mView; }
  /// Highest revision of all subtrees.
  store_revision Revision() const { return mView->mRevision; }
  /// The subtree as held, or nullptr.
  const entry* Find(const settings_path& aPath) const;
  const std::map<std::string, entry, std::less<>>& Entries() const { return mEntries; }

  /// Offers that were older than what is held, or diverged from it, since the start.
  std::uint64_t OlderOffers() const { return mOlderOffers; }
  /// Findings of the values that could not be read, newest last.
  const findings& InvalidValues() const { return mInvalidValues; }

private:
  book_outcome Offer(settings_view& aView, const stored_value& aValue);
  bool Read(settings_view& aView, const settings_path& aPath, const settings_record& aRecord);

  std::map<std::string, entry, std::less<>> mEntries; // by store key
  std::shared_ptr<const settings_view> mView;
  std::uint64_t mOlderOffers = 0;
  findings mInvalidValues;
};

} // namespace briarwind
