#pragma once

#include "store_view.h"

#include "briarwind/fiber_runtime.h"
#include "briarwind/metrics.h"
#include "briarwind/record_store.h"

#include <functional>
#include <string>

namespace briarwind {

/// Follows all keys under a prefix: lists them, then watches for changes. After any failure the
/// keys are listed again, because an interrupted watch may have missed changes.
class store_follower
{
public:
  struct observer
  {
    /// Called with each complete listing.
    std::function<void(const store_listing&)> mOnListed;
    /// Called with the changes since the last listing or changes.
    std::function<void(const std::vector<store_change>&)> mOnChanged;
    /// Called before each call to the store and to the observer; returning false ends `Run`.
    std::function<bool()> mKeepFollowing;
    /// Kept up to date with the answers of the store, before the functions above are called; null:
    /// none.
    store_view* mView = nullptr;
  };

  store_follower(record_store& aStore, metrics& aMetrics, std::string aPrefix, observer aObserver);

  /// Runs in the calling fiber until `observer::mKeepFollowing` returns false.
  /// @param aListedRevision revision of a listing that the caller has already processed; 0: list
  /// first
  void Run(store_revision aListedRevision = 0);

  /// Time since the answer before the last one. A change that the last answer was the first to show
  /// is not older than that.
  milliseconds TimeSincePreviousAnswer() const;

private:
  bool ListOnce();
  bool WatchOnce();
  void OnFailure(std::string_view aCall, instant aBegun, const error& aError);
  void OnSuccess();

  record_store& mStore;
  metrics& mMetrics;
  std::string mPrefix;
  observer mObserver;
  store_revision mRevision = 0;
  instant mAnsweredAt; ///< last successful listing or watch
  instant mPreviouslyAnsweredAt;
  bool mIsLost = false;
};

} // namespace briarwind
