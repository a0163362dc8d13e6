#pragma once

#include "briarwind/config_store.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace briarwind {

/// An in-memory config_store with fault injection, for tests and measurements. Leases never expire
/// by time, only by ExpireLease.
class memory_store : public config_store
{
public:
  /// While the store is down, calls fail with kUnavailable without an effect and watches end.
  void SetDown(bool aDown) { mDown = aDown; }
  /// Sets a delay before each call takes effect.
  void SetLatency(duration aLatency) { mLatency = aLatency; }
  /// Makes the next aCount successful writes report kUnknownOutcome, as if the response were lost.
  void LoseAnswers(int aCount) { mAnswersToLose = aCount; }
  /// Ends all watches as if their connections were lost.
  void CutWatches() { ++mWatchCuts; }
  /// Makes watches that start below a revision end with watch_end::kCompacted.
  void Compact(store_revision aRevision) { mCompactedBelow = aRevision; }
  /// Restores the contents and the revision of an earlier copy of a store.
  void Restore(const memory_store& aCopy);
  /// Ends a lease and deletes the keys that are attached to it.
  void ExpireLease(store_lease aLease);

  store_revision Revision() const { return mRevision; }
  /// Number of calls and watches since construction, failed ones included.
  std::uint64_t Calls() const { return mCalls; }

  io_result<store_listing> List(std::string_view aPrefix, instant aDeadline) override;
  io_result<swap_result> Swap(std::string_view aKey, store_revision aExpected,
                              std::string_view aValue, store_lease aLease,
                              instant aDeadline) override;
  io_result<swap_result> Delete(std::string_view aKey, store_revision aExpected,
                                instant aDeadline) override;
  io_result<store_lease> GrantLease(seconds aTimeToLive, instant aDeadline) override;
  io_result<seconds> KeepAlive(store_lease aLease, instant aDeadline) override;
  io_result<void> RevokeLease(store_lease aLease, instant aDeadline) override;
  watch_end Watch(std::string_view aPrefix, store_revision aFrom,
                  const std::function<bool(const watch_batch&)>& aObserver) override;

private:
  struct logged_change
  {
    store_revision mRevision;
    store_change mChange;
  };

  /// Counts a call and waits for the latency. Returns false when the store is down or the deadline
  /// has passed.
  bool BeginCall(instant aDeadline);
  /// The result of a write to a key whose revision is not the expected one.
  swap_result ConflictResult(std::string_view aKey) const;
  /// Returns the result of a write, or kUnknownOutcome when its response is to be lost.
  io_result<swap_result> DeliverResult(swap_result aResult);
  void EraseKey(const std::string& aKey);

  std::map<std::string, stored_value, std::less<>> mValues;
  std::map<store_lease, seconds> mLeases;
  std::vector<logged_change> mChangeLog;
  store_revision mRevision = 1;
  store_revision mCompactedBelow = 0;
  store_lease mLastLease = 0;
  duration mLatency{ 0 };
  std::uint64_t mCalls = 0;
  std::uint64_t mWatchCuts = 0;
  int mAnswersToLose = 0;
  bool mDown = false;
};

} // namespace briarwind
