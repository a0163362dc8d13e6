#pragma once

#include "briarwind/config_store.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace briarwind {

/// A store in the memory of one process, with fault switches, for tests and measurements. Leases
/// lapse only by Lapse.
class memory_store : public config_store
{
public:
  /// Calls and watches fail and nothing takes effect.
  void SetDown(bool aDown) { mDown = aDown; }
  /// Each call takes this long first.
  void SetLatency(duration aLatency) { mLatency = aLatency; }
  /// The next aCount writes take effect, but their answers are lost.
  void LoseAnswers(int aCount) { mLostAnswers = aCount; }
  /// Watches end as if their connections were cut.
  void CutWatches() { ++mWatchCuts; }
  /// Forgets changes below a revision, so that watches from there end as compacted.
  void Compact(store_revision aRevision) { mCompacted = aRevision; }
  /// Goes back to an earlier copy of a store, revision and all.
  void Restore(const memory_store& aCopy);
  void Lapse(store_lease aLease);

  store_revision Revision() const { return mRevision; }
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

  /// Waits for the latency; false when the store is down or the deadline passes first.
  bool Reach(instant aDeadline);
  swap_result Refuse(std::string_view aKey) const;
  io_result<swap_result> Answer(swap_result aResult);
  void Erase(const std::string& aKey);

  std::map<std::string, stored_value, std::less<>> mValues;
  std::map<store_lease, seconds> mLeases;
  std::vector<logged_change> mLog;
  store_revision mRevision = 1;
  store_revision mCompacted = 0;
  store_lease mLastLease = 0;
  duration mLatency{ 0 };
  std::uint64_t mCalls = 0;
  std::uint64_t mWatchCuts = 0;
  int mLostAnswers = 0;
  bool mDown = false;
};

} // namespace briarwind
