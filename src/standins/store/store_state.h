#pragma once

#include "briarwind/config_store.h"
#include "briarwind/time.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace briarwind {

// The keys in [mBegin, mEnd). An empty mEnd denotes the single key mBegin; an mEnd of one zero byte
// denotes all keys from mBegin on.
struct key_range
{
  std::string mBegin;
  std::string mEnd;

  bool Contains(std::string_view aKey) const;
};

// A put of one key, or a delete of a key range.
struct store_write
{
  bool mIsDelete = false;
  key_range mKeys; // a put writes the key mKeys.mBegin
  std::string mValue;
  store_lease mLease = 0;
};

// Matches if the key's last write has this revision; 0 matches if the key does not exist.
struct store_compare
{
  std::string mKey;
  store_revision mRevision = 0;
};

// The data of a key-value store with revisions, leases and a history of changes for watches.
class store_state
{
public:
  // The revision of the last write; a new store starts at 1.
  store_revision Revision() const { return mData.mRevision; }
  std::vector<stored_value> Range(const key_range& aKeys) const;
  bool AllMatch(std::span<const store_compare> aCompares) const;

  // Applies all writes under one revision and returns the revision of the store. The revision does
  // not rise when nothing is written or deleted. Applies none if a lease does not exist
  // (kNotFound).
  result<store_revision> Write(std::span<const store_write> aWrites);

  store_lease Grant(seconds aTimeToLive, instant aNow);
  // Extends the lease and returns its time to live, or nothing if the lease does not exist or has
  // expired.
  std::optional<seconds> KeepAlive(store_lease aLease, instant aNow);
  // Deletes the lease and its keys. Returns false if the lease does not exist.
  bool Revoke(store_lease aLease);
  // Revokes every lease that has expired.
  void Expire(instant aNow);

  // Changes of revision aFrom and later, oldest first; nothing if aFrom is compacted.
  std::optional<std::vector<store_change>> ChangesFrom(const key_range& aKeys,
                                                       store_revision aFrom) const;
  store_revision CompactedRevision() const { return mData.mCompactedRevision; }
  // Drops the changes up to and including aRevision.
  void Compact(store_revision aRevision);

  void Snapshot() { mSnapshot = mData; }
  // Restores the state of the last snapshot, its revision included. Each lease gets its full time
  // to live again.
  void Restore(instant aNow);

private:
  struct lease
  {
    seconds mTimeToLive{ 0 };
    instant mExpires;
  };

  struct data
  {
    store_revision mRevision = 1;
    store_revision mCompactedRevision = 0;
    store_lease mLastLease = 0;
    std::map<std::string, stored_value, std::less<>> mValues;
    std::map<store_lease, lease> mLeases;
    std::vector<store_change> mHistory;
  };

  void Put(const store_write& aWrite, store_revision aRevision);
  bool Delete(const key_range& aKeys, store_revision aRevision);

  data mData;
  data mSnapshot;
};

} // namespace briarwind
