#pragma once

#include "briarwind/config_store.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// What a key's revision must be for a transaction to go through; 0: there must be no such key.
struct store_condition
{
  std::string mKey;
  store_revision mRevision = 0;
};

struct store_write
{
  std::string mKey;
  std::string mValue;
  store_lease mLease = 0;
};

/// All or nothing. At most `record_store::kMostEntries` conditions, writes and deletes together.
struct store_transaction
{
  std::vector<store_condition> mConditions;
  std::vector<store_write> mWrites;
  std::vector<std::string> mDeletes;
};

struct transaction_result
{
  bool mCommitted = false;
  store_revision mRevision = 0;       ///< of the transaction when committed
  std::vector<stored_value> mCurrent; ///< when not: the keys of the conditions that exist
};

/// What a watch saw.
struct watch_answer
{
  bool mCompacted = false;      ///< the start is no longer kept: list again
  store_revision mRevision = 0; ///< watch on after this
  std::vector<store_change> mChanges;
};

struct granted_lease
{
  store_lease mLease = 0;
  milliseconds mTimeToLive{ 0 };
};

/// The platform's store with transactions over several keys. Every call may suspend the fiber.
/// kUnavailable and kTimeout: nothing took effect. kUnknownOutcome: it may have, or may still do so
/// as long as the conditions hold. Calls are linearizable.
class record_store
{
public:
  static constexpr std::size_t kMostEntries = 32;

  virtual ~record_store() = default;

  /// Whether the last calls went through; false while calls fail one after another. A caller who
  /// can be sent away is better told at once than after one more failure.
  virtual bool IsReachable() const { return true; }

  virtual io_result<std::optional<stored_value>> Get(std::string_view aKey, instant aDeadline) = 0;
  /// All keys that start with the prefix, sorted. Not a snapshot: mRevision is that of the first
  /// page, so that a watch from there misses nothing.
  virtual io_result<store_listing> List(std::string_view aPrefix, instant aDeadline) = 0;
  /// Waits for a change after that revision, for aWait at most; then the answer has no changes.
  virtual io_result<watch_answer> Watch(std::string_view aPrefix, store_revision aAfter,
                                        milliseconds aWait) = 0;
  virtual io_result<transaction_result> Commit(const store_transaction& aTransaction,
                                               instant aDeadline) = 0;
  virtual io_result<granted_lease> Grant(milliseconds aTimeToLive, instant aDeadline) = 0;
  /// kNotFound when the lease has ended.
  virtual io_result<milliseconds> Renew(store_lease aLease, instant aDeadline) = 0;
  virtual io_result<void> End(store_lease aLease, instant aDeadline) = 0;
};

} // namespace briarwind
