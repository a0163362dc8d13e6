#pragma once

#include "briarwind/fiber_runtime.h"
#include "briarwind/record_store.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace briarwind::testing {

/// A store in the memory of the test, with fault switches. Leases end by EndLease or Lapse alone.
class fake_record_store : public record_store
{
public:
  /// Calls fail after this long and nothing takes effect.
  void SetDown(bool aDown, milliseconds aAfter = milliseconds{ 1 })
  {
    mDown = aDown;
    mFailAfter = aAfter;
  }
  /// The next aCount transactions take effect and their answers are lost.
  void LoseAnswers(int aCount) { mLostAnswers = aCount; }
  /// The next aCount transactions get no answer and take effect only at the next TakeLate.
  void DelayWrites(int aCount) { mDelayed = aCount; }
  void TakeLate();
  /// Watches from before this revision are told to list again.
  void Compact() { mCompacted = mRevision; }
  void Lapse(store_lease aLease);

  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  const stored_value* Find(const std::string& aKey) const;
  store_revision Revision() const { return mRevision; }
  int Calls() const { return mCalls; }
  /// Runs inside each call before it is carried out.
  std::function<void()> mBeforeCall;
  bool IsReachable() const override { return mReachable; }
  void SetReachable(bool aReachable) { mReachable = aReachable; }

  io_result<std::optional<stored_value>> Get(std::string_view aKey, instant aDeadline) override;
  io_result<store_listing> List(std::string_view aPrefix, instant aDeadline) override;
  io_result<watch_answer> Watch(std::string_view aPrefix, store_revision aAfter,
                                milliseconds aWait) override;
  io_result<transaction_result> Commit(const store_transaction& aTransaction,
                                       instant aDeadline) override;
  io_result<granted_lease> Grant(milliseconds aTimeToLive, instant aDeadline) override;
  io_result<milliseconds> Renew(store_lease aLease, instant aDeadline) override;
  io_result<void> End(store_lease aLease, instant aDeadline) override;

private:
  bool Reach();
  transaction_result Apply(const store_transaction& aTransaction);
  void Log(const stored_value& aValue, bool aDeleted);

  std::map<std::string, stored_value, std::less<>> mValues;
  std::deque<std::pair<store_revision, store_change>> mLog;
  std::map<store_lease, milliseconds> mLeases;
  std::deque<store_transaction> mLate;
  store_revision mRevision = 1;
  store_revision mCompacted = 0;
  store_lease mLastLease = 0;
  milliseconds mFailAfter{ 1 };
  bool mDown = false;
  bool mReachable = true;
  int mLostAnswers = 0;
  int mDelayed = 0;
  int mCalls = 0;
};

} // namespace briarwind::testing
