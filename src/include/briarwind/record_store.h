#pragma once

#include "briarwind/config_store.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// Requires that the key's modification revision equals mRevision; 0 requires that the key does not
/// exist.
struct store_condition
{
  std::string mKey;
  store_revision mRevision = 0;
};

/// Sets a key to a value.
struct store_write
{
  std::string mKey;
  std::string mValue;
  store_lease mLease = 0; ///< the key is deleted when the lease ends; 0: no lease
};

/// Atomic: all writes and deletes are applied if every condition holds, otherwise none. Holds at
/// most `record_store::kMaxTransactionEntries` conditions, writes and deletes together.
struct store_transaction
{
  std::vector<store_condition> mConditions;
  std::vector<store_write> mWrites;
  std::vector<std::string> mDeletes;
};

/// Outcome of a transaction that the store answered.
struct transaction_result
{
  bool mCommitted = false;
  store_revision mRevision = 0;       ///< of the transaction when committed
  std::vector<stored_value> mCurrent; ///< when not committed: the existing keys of the conditions
};

/// Changes that a watch returned.
struct watch_result
{
  bool mCompacted = false;      ///< the start revision has been compacted away: list again
  store_revision mRevision = 0; ///< continue the watch after this revision
  std::vector<store_change> mChanges;
};

/// A lease with the time to live that the store granted, which may differ from the one requested.
struct granted_lease
{
  store_lease mLease = 0;
  milliseconds mTimeToLive{ 0 };
};

/// The platform's key-value store with transactions over several keys. Calls are linearizable, and
/// every call may suspend the fiber. After kUnavailable or kTimeout the call had no effect. After
/// kUnknownOutcome it may have taken effect, or may still do so while its conditions hold. After
/// kInvalid the store has refused the call for what it holds, and would refuse it again.
class record_store
{
public:
  /// Most conditions, writes and deletes of one transaction, counted together.
  static constexpr std::size_t kMaxTransactionEntries = 32;

  virtual ~record_store() = default;

  /// False while consecutive calls keep failing. Requests that can be refused should then be
  /// refused at once instead of after one more failed call.
  virtual bool IsReachable() const { return true; }

  /// The key's value, or nullopt when the key does not exist.
  virtual io_result<std::optional<stored_value>> Get(std::string_view aKey, instant aDeadline) = 0;
  /// All keys that start with the prefix, sorted. Not a snapshot: mRevision is the revision of the
  /// first page, so that a watch that starts there misses no change. The deadline limits the time
  /// until an answer begins to arrive; a long one may take longer.
  virtual io_result<store_listing> List(std::string_view aPrefix, instant aDeadline) = 0;
  /// Waits for changes under the prefix after revision aAfter. Returns without changes when none
  /// came within aWait. Changes may take longer to arrive.
  virtual io_result<watch_result> Watch(std::string_view aPrefix, store_revision aAfter,
                                        milliseconds aWait) = 0;
  /// Succeeds also when a condition did not hold: see `transaction_result::mCommitted`.
  virtual io_result<transaction_result> Commit(const store_transaction& aTransaction,
                                               instant aDeadline) = 0;
  /// Creates a lease.
  virtual io_result<granted_lease> Grant(milliseconds aTimeToLive, instant aDeadline) = 0;
  /// Extends a lease and returns its time to live from now on. Fails with kNotFound when the lease
  /// has ended.
  virtual io_result<milliseconds> Renew(store_lease aLease, instant aDeadline) = 0;
  /// Revokes a lease; the store deletes the keys attached to it.
  virtual io_result<void> Revoke(store_lease aLease, instant aDeadline) = 0;
};

} // namespace briarwind
