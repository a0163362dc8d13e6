#pragma once

#include "briarwind/fiber_runtime.h"
#include "briarwind/record_store.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace briarwind::testing {

/// In-memory store with fault injection, for tests. Leases never expire by time; they end only by
/// an explicit call.
class fake_record_store : public record_store
{
public:
  /// While down, each call fails with kUnavailable after aAfter and has no effect.
  void SetDown(bool aDown, milliseconds aAfter = milliseconds{ 1 })
  {
    mDown = aDown;
    mFailAfter = aAfter;
  }
  /// The next aCount transactions take effect, but report kUnknownOutcome.
  void LoseAnswers(int aCount) { mAnswersToLose = aCount; }
  /// The next aCount transactions report kUnknownOutcome and take effect only at the next call of
  /// ApplyDelayedWrites.
  void DelayWrites(int aCount) { mTransactionsToDelay = aCount; }
  void ApplyDelayedWrites();
  /// Watches that start before the current revision report that it has been compacted.
  void Compact() { mCompacted = mRevision; }
  /// Ends a lease and deletes its keys.
  void ExpireLease(store_lease aLease);

  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  const stored_value* Find(const std::string& aKey) const;
  store_revision Revision() const { return mRevision; }
  /// Number of calls to the record_store interface so far, failed ones included.
  int Calls() const { return mCalls; }
  /// Runs at the start of each call, before it takes effect.
  std::function<void()> mBeforeCall;
  /// Transactions that the store refuses for what they hold; empty: none.
  std::function<bool(const store_transaction&)> mRefuses;
  bool IsReachable() const override { return mReachable; }
  void SetReachable(bool aReachable) { mReachable = aReachable; }

  io_result<std::optional<stored_value>> Get(std::string_view aKey, instant aDeadline) override;
  io_result<store_listing> List(std::string_view aPrefix, instant aDeadline) override;
  io_result<watch_result> Watch(std::string_view aPrefix, store_revision aAfter,
                                milliseconds aWait) override;
  io_result<transaction_result> Commit(const store_transaction& aTransaction,
                                       instant aDeadline) override;
  io_result<granted_lease> Grant(milliseconds aTimeToLive, instant aDeadline) override;
  io_result<milliseconds> Renew(store_lease aLease, instant aDeadline) override;
  io_result<void> Revoke(store_lease aLease, instant aDeadline) override;

private:
  bool BeginCall();
  transaction_result Apply(const store_transaction& aTransaction);
  void LogChange(const stored_value& aValue, bool aDeleted);

  std::map<std::string, stored_value, std::less<>> mValues;
  std::deque<std::pair<store_revision, store_change>> mChangeLog;
  std::map<store_lease, milliseconds> mLeases;
  std::deque<store_transaction> mDelayedTransactions;
  store_revision mRevision = 1;
  store_revision mCompacted = 0;
  store_lease mLastLease = 0;
  milliseconds mFailAfter{ 1 };
  bool mDown = false;
  bool mReachable = true;
  int mAnswersToLose = 0;
  int mTransactionsToDelay = 0;
  int mCalls = 0;
};

} // namespace briarwind::testing
