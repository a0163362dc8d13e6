#include "store_follower.h"

#include "control_events.h"

#include "briarwind/backoff.h"

#include <functional>
#include <utility>

namespace briarwind {

namespace {

// Duration of one watch. A connection that stopped delivering is detected within one and a half
// times this, and operators' changes have to be in force within two seconds.
constexpr milliseconds kWatchWait{ 900 };
constexpr milliseconds kListTimeout{ 900 };
constexpr milliseconds kBaseRetryDelay{ 40 };
constexpr milliseconds kMaxRetryDelay{ 400 };

} // namespace

store_follower::store_follower(record_store& aStore, metrics& aMetrics, std::string aPrefix,
                               observer aObserver)
  : mStore(aStore)
  , mMetrics(aMetrics)
  , mPrefix(std::move(aPrefix))
  , mObserver(std::move(aObserver))
{
}

void store_follower::Run(store_revision aListedRevision)
{
  mRevision = aListedRevision;
  backoff retryDelay(kBaseRetryDelay, kMaxRetryDelay, std::hash<std::string>{}(mPrefix) + 1);
  bool listed = aListedRevision != 0;
  while (mObserver.mKeepFollowing()) {
    const bool succeeded = listed ? WatchOnce() : ListOnce();
    if (succeeded) {
      listed = true;
      retryDelay.Reset();
      continue;
    }
    listed = false;
    SleepFor(kBaseRetryDelay + retryDelay.Next());
  }
}

bool store_follower::ListOnce()
{
  const auto listing = mStore.List(mPrefix, monotonic_clock::now() + kListTimeout);
  if (!listing) {
    OnFailure(listing.error());
    return false;
  }
  mRevision = listing.value().mRevision;
  OnSuccess();
  if (mObserver.mKeepFollowing()) {
    mObserver.mOnListed(listing.value());
  }
  return true;
}

bool store_follower::WatchOnce()
{
  const auto answer = mStore.Watch(mPrefix, mRevision, kWatchWait);
  if (!answer) {
    OnFailure(answer.error());
    return false;
  }
  if (answer.value().mCompacted) {
    mMetrics.Count(kStoreRelists, "compacted");
    return false;
  }
  mRevision = std::max(mRevision, answer.value().mRevision);
  OnSuccess();
  if (!answer.value().mChanges.empty() && mObserver.mKeepFollowing()) {
    mObserver.mOnChanged(answer.value().mChanges);
  }
  return true;
}

void store_follower::OnFailure(const error& aError)
{
  mMetrics.Count(kStoreRelists, ToString(aError.mKind));
  if (!std::exchange(mIsLost, true)) {
    LogEvent(kStoreViewLost, { Field("prefix", mPrefix), Field("revision", mRevision),
                               Field("error", ToString(aError.mKind)),
                               Field("what", std::string_view(aError.mWhat)) });
  }
}

void store_follower::OnSuccess()
{
  mConfirmedAt = monotonic_clock::now();
  if (std::exchange(mIsLost, false)) {
    LogEvent(kStoreViewRegained, { Field("prefix", mPrefix), Field("revision", mRevision) });
  }
}

} // namespace briarwind
