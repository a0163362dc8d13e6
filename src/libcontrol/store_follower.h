#pragma once

#include "briarwind/fiber_runtime.h"
#include "briarwind/metrics.h"
#include "briarwind/record_store.h"

#include <functional>
#include <string>

namespace briarwind {

/// Keeps a view of a prefix up to date: a listing first, then changes. Whatever is irregular leads
/// to a new listing, since a watch that was cut may have missed what it was cut in.
class store_follower
{
public:
  struct observer
  {
    std::function<void(const store_listing&)> mListed;
    std::function<void(const std::vector<store_change>&)> mChanged;
    /// Asked before each call; false ends the follower.
    std::function<bool()> mWanted;
  };

  store_follower(record_store& aStore, metrics& aMetrics, std::string aPrefix, observer aObserver);

  /// Runs in the calling fiber until it is no longer wanted.
  /// @param aListed the caller has taken a listing of that revision already; 0: list first
  void Run(store_revision aListed = 0);

  /// When the view was last confirmed by the store.
  instant ConfirmedAt() const { return mConfirmedAt; }

private:
  bool ListOnce();
  bool WatchOnce();
  void Lost(const error& aError);
  void Regained();

  record_store& mStore;
  metrics& mMetrics;
  std::string mPrefix;
  observer mObserver;
  store_revision mRevision = 0;
  instant mConfirmedAt;
  bool mLost = false;
};

} // namespace briarwind
