#pragma once

#include "briarwind/config_store.h"
#include "briarwind/time.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace briarwind {

// Keys from mFrom on and before mEnd. An empty mEnd is the one key mFrom, a zero byte has no end.
struct key_range
{
  std::string mFrom;
  std::string mEnd;

  bool Holds(std::string_view aKey) const;
};

// A put, or a delete of a range.
struct store_write
{
  bool mIsDelete = false;
  key_range mKeys; // puts write mKeys.mFrom
  std::string mValue;
  store_lease mLease = 0;
};

// A key's revision has to be this one; 0: the key must not exist.
struct store_compare
{
  std::string mKey;
  store_revision mRevision = 0;
};

// The data of a key-value store with revisions, leases and a history for watches.
class store_state
{
public:
  // Of the last write; a new store begins at 1.
  store_revision Revision() const { return mData.mRevision; }
  std::vector<stored_value> Range(const key_range& aKeys) const;
  bool Holds(std::span<const store_compare> aCompares) const;

  // Does all writes under one revision, or none when a lease is unknown (kNotFound).
  result<store_revision> Write(std::span<const store_write> aWrites);

  store_lease Grant(seconds aTimeToLive, instant aNow);
  // The time to live, or nothing when the lease has lapsed.
  std::optional<seconds> KeepAlive(store_lease aLease, instant aNow);
  // Deletes the keys of the lease. False when it has lapsed.
  bool Revoke(store_lease aLease);
  // Revokes every lease whose time is over.
  void Expire(instant aNow);

  // Changes with revisions from aFrom on, in order. Nothing when aFrom is compacted.
  std::optional<std::vector<store_change>> Changes(const key_range& aKeys,
                                                   store_revision aFrom) const;
  store_revision Compacted() const { return mData.mCompacted; }
  void Compact(store_revision aRevision);

  void Snapshot() { mSnapshot = mData; }
  // Back to the values and the revision of the snapshot; leases begin their time anew.
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
    store_revision mCompacted = 0;
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
