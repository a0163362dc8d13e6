#pragma once

#include "briarwind/error.h"
#include "briarwind/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// A revision of the store; increases by one with each write to any key.
using store_revision = std::int64_t;
/// The id of a lease in the store; 0 is none.
using store_lease = std::int64_t;

/// A key with its value and revisions.
struct stored_value
{
  std::string mKey;
  std::string mValue;
  store_revision mCreated = 0;  ///< revision at which the key was created
  store_revision mModified = 0; ///< revision of the value
  store_lease mLease = 0;       ///< lease that the key is attached to; 0 is none
};

/// The keys under a prefix at one revision of the store.
struct store_listing
{
  store_revision mRevision = 0; ///< revision of the store at the time of the read
  std::vector<stored_value> mValues;
};

/// The result of a compare-and-swap.
struct swap_result
{
  bool mSwapped = false;
  store_revision mRevision = 0; ///< revision of the write, or of the store when not swapped
  stored_value mCurrent; ///< when not swapped: the current value; mModified is 0 if there is no key
};

/// A change of one key. A deletion has the key and, as mModified, the revision of the deletion.
struct store_change
{
  bool mDeleted = false;
  stored_value mValue;
};

/// Changes that a watch reports together; may be empty.
struct watch_batch
{
  store_revision mRevision = 0;
  std::vector<store_change> mChanges;
};

/// Why a watch ended.
enum class watch_end : std::uint8_t
{
  kStopped,      ///< the observer returned false
  kDisconnected, ///< the store or the connection failed; watch again from the next revision
  kCompacted,    ///< the store no longer holds the first revision requested; list again, then watch
};

/// Interface of the platform's key-value store. Every call may suspend the calling fiber. The error
/// kUnavailable means that the call had no effect, kUnknownOutcome that it may have had.
class config_store
{
public:
  virtual ~config_store() = default;

  /// All keys that start with the prefix, sorted by key. The deadline limits the time until the
  /// answer begins to arrive; a long one may take longer.
  virtual io_result<store_listing> List(std::string_view aPrefix, instant aDeadline) = 0;

  /// A listing with at least the key under the prefix that was modified last, possibly without its
  /// value. Lets a reader check at low cost whether it is up to date.
  virtual io_result<store_listing> ListNewest(std::string_view aPrefix, instant aDeadline)
  {
    return List(aPrefix, aDeadline);
  }

  /// Writes aValue if the revision of the key is still aExpected (0: the key must not exist).
  virtual io_result<swap_result> Swap(std::string_view aKey, store_revision aExpected,
                                      std::string_view aValue, store_lease aLease,
                                      instant aDeadline) = 0;

  /// Deletes the key if its revision is still aExpected.
  virtual io_result<swap_result> Delete(std::string_view aKey, store_revision aExpected,
                                        instant aDeadline) = 0;

  /// Creates a lease that expires aTimeToLive after its last renewal.
  virtual io_result<store_lease> GrantLease(seconds aTimeToLive, instant aDeadline) = 0;
  /// Renews a lease and returns its time to live. Fails with kNotFound when the lease has expired.
  virtual io_result<seconds> KeepAlive(store_lease aLease, instant aDeadline) = 0;
  /// Ends a lease and deletes the keys that are attached to it.
  virtual io_result<void> RevokeLease(store_lease aLease, instant aDeadline) = 0;

  /// Passes the changes of keys under the prefix from revision aFrom on to aObserver, until
  /// aObserver returns false or the watch fails. Suspends the fiber until then.
  virtual watch_end Watch(std::string_view aPrefix, store_revision aFrom,
                          const std::function<bool(const watch_batch&)>& aObserver) = 0;
};

} // namespace briarwind
