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

std::int64_t WholeMilliseconds(duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

} // namespace

store_follower::store_follower(record_store& aStore, metrics& aMetrics, std::string aPrefix,
                               observer aObserver)
  : mStore(aStore)
  , mMetrics(aMetrics)
  , mPrefix(std::move(aPrefix))
  , mObserver(std::move(aObserver))
  , mAnsweredAt(monotonic_clock::now())
  , mPreviouslyAnsweredAt(mAnsweredAt)
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

milliseconds store_follower::TimeSincePreviousAnswer() const
{
  return std::chrono::duration_cast<milliseconds>(monotonic_clock::now() - mPreviouslyAnsweredAt);
}

bool store_follower::ListOnce()
{
  const instant begun = monotonic_clock::now();
  const auto listing = mStore.List(mPrefix, begun + kListTimeout);
  if (!listing) {
    OnFailure("list", begun, listing.error());
    return false;
  }
  mRevision = listing.value().mRevision;
  OnSuccess();
  if (mObserver.mView != nullptr) {
    mObserver.mView->Replace(listing.value());
  }
  if (mObserver.mKeepFollowing()) {
    mObserver.mOnListed(listing.value());
  }
  return true;
}

bool store_follower::WatchOnce()
{
  const instant begun = monotonic_clock::now();
  const auto answer = mStore.Watch(mPrefix, mRevision, kWatchWait);
  if (!answer) {
    OnFailure("watch", begun, answer.error());
    return false;
  }
  if (answer.value().mCompacted) {
    mMetrics.Count(kStoreRelists, "compacted");
    if (mObserver.mView != nullptr) {
      mObserver.mView->SetLost();
    }
    return false;
  }
  mRevision = std::max(mRevision, answer.value().mRevision);
  OnSuccess();
  if (mObserver.mView != nullptr) {
    mObserver.mView->Apply(answer.value().mChanges, mRevision);
  }
  if (!answer.value().mChanges.empty() && mObserver.mKeepFollowing()) {
    mObserver.mOnChanged(answer.value().mChanges);
  }
  return true;
}

void store_follower::OnFailure(std::string_view aCall, instant aBegun, const error& aError)
{
  mMetrics.Count(kStoreRelists, ToString(aError.mKind));
  if (mObserver.mView != nullptr) {
    mObserver.mView->SetLost();
  }
  if (!std::exchange(mIsLost, true)) {
    const instant now = monotonic_clock::now();
    LogEvent(kStoreViewLost, { Field("prefix", mPrefix), Field("revision", mRevision),
                               Field("error", ToString(aError.mKind)),
                               Field("what", std::string_view(aError.mWhat)), Field("call", aCall),
                               Field("took_ms", WholeMilliseconds(now - aBegun)),
                               Field("unconfirmed_ms", WholeMilliseconds(now - mAnsweredAt)) });
  }
}

void store_follower::OnSuccess()
{
  mPreviouslyAnsweredAt = std::exchange(mAnsweredAt, monotonic_clock::now());
  if (std::exchange(mIsLost, false)) {
    LogEvent(kStoreViewRegained, { Field("prefix", mPrefix), Field("revision", mRevision) });
  }
}

} // namespace briarwind
