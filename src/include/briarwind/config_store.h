#pragma once

#include "briarwind/error.h"
#include "briarwind/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// A revision of the platform's store; rises by one with each write to any key.
using store_revision = std::int64_t;
/// A lease of the platform's store; 0 is none.
using store_lease = std::int64_t;

struct stored_value
{
  std::string mKey;
  std::string mValue;
  store_revision mCreated = 0;  ///< revision at which the key was made
  store_revision mModified = 0; ///< revision of this value
  store_lease mLease = 0;
};

struct store_listing
{
  store_revision mRevision = 0; ///< the store's revision at the time of the read
  std::vector<stored_value> mValues;
};

/// What became of a compare-and-swap.
struct swap_result
{
  bool mSwapped = false;
  store_revision mRevision = 0; ///< of the write, or of the store when not swapped
  stored_value mCurrent;        ///< when not swapped: what is there; mModified 0 when nothing is
};

struct store_change
{
  bool mDeleted = false;
  stored_value mValue;
};

/// One batch of a watch.
struct watch_batch
{
  store_revision mRevision = 0;
  std::vector<store_change> mChanges;
};

/// Why a watch ended.
enum class watch_end : std::uint8_t
{
  kStopped,   ///< the observer returned false
  kCut,       ///< the store or the way to it failed; watch again from the next revision
  kCompacted, ///< the start is no longer kept; list again, then watch
};

/// The platform's key-value store. Every call may suspend the fiber. An error of kUnavailable
/// means that nothing took effect, kUnknownOutcome that it may have.
class config_store
{
public:
  virtual ~config_store() = default;

  /// All keys that start with the prefix, sorted.
  virtual io_result<store_listing> List(std::string_view aPrefix, instant aDeadline) = 0;

  /// At least the newest key under the prefix, with its revision and perhaps without its value; for
  /// a reader that only asks whether it is up to date.
  virtual io_result<store_listing> Newest(std::string_view aPrefix, instant aDeadline)
  {
    return List(aPrefix, aDeadline);
  }

  /// Writes aValue when the key's revision is still aExpected (0: the key must not exist).
  virtual io_result<swap_result> Swap(std::string_view aKey, store_revision aExpected,
                                      std::string_view aValue, store_lease aLease,
                                      instant aDeadline) = 0;

  /// Deletes the key when its revision is still aExpected.
  virtual io_result<swap_result> Delete(std::string_view aKey, store_revision aExpected,
                                        instant aDeadline) = 0;

  virtual io_result<store_lease> GrantLease(seconds aTimeToLive, instant aDeadline) = 0;
  /// kNotFound when the lease has lapsed.
  virtual io_result<seconds> KeepAlive(store_lease aLease, instant aDeadline) = 0;
  virtual io_result<void> RevokeLease(store_lease aLease, instant aDeadline) = 0;

  /// Blocks until the watch ends. aObserver gets changes with revisions from aFrom on.
  virtual watch_end Watch(std::string_view aPrefix, store_revision aFrom,
                          const std::function<bool(const watch_batch&)>& aObserver) = 0;
};

} // namespace briarwind
