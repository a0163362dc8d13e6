#include "store_follower.h"

#include "control_events.h"

#include "briarwind/backoff.h"

#include <functional>
#include <utility>

namespace briarwind {

namespace {

// A watch waits this long: a connection that went silent is found out within it and a half, and
// operators' changes have to be in force within two seconds.
constexpr milliseconds kWatchWait{ 900 };
constexpr milliseconds kListDeadline{ 900 };
constexpr milliseconds kFirstRetry{ 40 };
constexpr milliseconds kRetryCap{ 400 };

} // namespace

store_follower::store_follower(record_store& aStore, metrics& aMetrics, std::string aPrefix,
                               observer aObserver)
  : mStore(aStore)
  , mMetrics(aMetrics)
  , mPrefix(std::move(aPrefix))
  , mObserver(std::move(aObserver))
{
}

void store_follower::Run(store_revision aListed)
{
  mRevision = aListed;
  backoff pause(kFirstRetry, kRetryCap, std::hash<std::string>{}(mPrefix) + 1);
  bool listed = aListed != 0;
  while (mObserver.mWanted()) {
    const bool worked = listed ? WatchOnce() : ListOnce();
    if (worked) {
      listed = true;
      pause.Reset();
      continue;
    }
    listed = false;
    SleepFor(kFirstRetry + pause.Next());
  }
}

bool store_follower::ListOnce()
{
  const auto listing = mStore.List(mPrefix, monotonic_clock::now() + kListDeadline);
  if (!listing) {
    Lost(listing.error());
    return false;
  }
  mRevision = listing.value().mRevision;
  Regained();
  if (mObserver.mWanted()) {
    mObserver.mListed(listing.value());
  }
  return true;
}

bool store_follower::WatchOnce()
{
  const auto answer = mStore.Watch(mPrefix, mRevision, kWatchWait);
  if (!answer) {
    Lost(answer.error());
    return false;
  }
  if (answer.value().mCompacted) {
    mMetrics.Count(kStoreRelists, "compacted");
    return false;
  }
  mRevision = std::max(mRevision, answer.value().mRevision);
  Regained();
  if (!answer.value().mChanges.empty() && mObserver.mWanted()) {
    mObserver.mChanged(answer.value().mChanges);
  }
  return true;
}

void store_follower::Lost(const error& aError)
{
  mMetrics.Count(kStoreRelists, ToString(aError.mKind));
  if (!std::exchange(mLost, true)) {
    LogEvent(kStoreViewLost, { Field("prefix", mPrefix), Field("revision", mRevision),
                               Field("error", ToString(aError.mKind)),
                               Field("what", std::string_view(aError.mWhat)) });
  }
}

void store_follower::Regained()
{
  mConfirmedAt = monotonic_clock::now();
  if (std::exchange(mLost, false)) {
    LogEvent(kStoreViewRegained, { Field("prefix", mPrefix), Field("revision", mRevision) });
  }
}

} // namespace briarwind
