#include "briarwind/host_poller.h"

#include <array>
#include <string>
#include <utility>

namespace briarwind {

namespace {

constexpr seconds kReadTimeout{ 2 };
// Longest pause in the list, whose length grows with the number of hosts.
constexpr milliseconds kStallTimeout{ 800 };
// Number of older lists in a row after which an older list is accepted. A service that was restored
// from an older state keeps answering with the older version, whereas a lagging replica catches up.
constexpr int kOlderListsUntilAccepted = 10;

} // namespace

std::span<const event_kind> HostListEvents()
{
  static constexpr std::array kAll{ kHostListLost, kHostListBack, kHostListOlder,
                                    kHostListUnreadable };
  return kAll;
}

std::span<const metric_kind> HostListMetrics()
{
  static constexpr std::array kAll{ kHostListFailures, kHostListUnreadableEntries };
  return kAll;
}

host_poller::host_poller(fiber_runtime& aRuntime, std::vector<endpoint> aSources,
                         milliseconds aInterval, metrics& aMetrics, observer aObserver)
  : mSources(std::move(aSources))
  , mInterval(aInterval)
  , mMetrics(aMetrics)
  , mObserver(std::move(aObserver))
  , mPool(aRuntime)
{
}

void host_poller::Run()
{
  if (mSources.empty()) {
    return;
  }
  while (true) {
    const io_result<host_list> list = FetchList();
    if (list) {
      Accept(list.value());
    } else {
      HandleFailure(list.error());
    }
    SleepFor(mInterval);
  }
}

io_result<host_list> host_poller::FetchList()
{
  http_request request;
  request.mTarget = "/v1/hosts";
  const auto answer = mPool.Call(mSources.at(mSourceIndex), request,
                                 { monotonic_clock::now() + kReadTimeout, kStallTimeout });
  if (!answer) {
    return boost::outcome_v2::failure(answer.error());
  }
  if (answer.value().mStatus != 200) {
    return IoError(error_kind::kUnavailable, ToString(mSources.at(mSourceIndex)),
                   "expected status 200, got " + std::to_string(answer.value().mStatus));
  }
  return ToIoResult([&] { return ParseHostList(answer.value().mBody); });
}

void host_poller::Accept(const host_list& aList)
{
  if (std::exchange(mIsFailing, false)) {
    LogEvent(kHostListBack, { Field("version", aList.mVersion) });
  }
  const bool isOlder = mHasList && aList.mVersion < mVersion;
  if (isOlder && ++mConsecutiveOlder < kOlderListsUntilAccepted) {
    LogEvent(kHostListOlder, { Field("version", aList.mVersion), Field("held", mVersion) });
    return;
  }
  mConsecutiveOlder = 0;
  const bool isUnchanged = mHasList && aList.mVersion == mVersion;
  mHasList = true;
  mVersion = aList.mVersion;
  if (!isUnchanged) {
    RecordUnreadable(aList.mUnreadable);
    mObserver(aList);
  }
}

void host_poller::RecordUnreadable(const std::vector<std::string>& aEntries)
{
  const std::vector<std::string> added = mUnreadable.Replace(aEntries);
  mMetrics.Set(kHostListUnreadableEntries, static_cast<double>(mUnreadable.Count()));
  if (!added.empty()) {
    LogEvent(kHostListUnreadable,
             { Field("entries", unreadable_entries::Summarise(added)), Field("new", added.size()),
               Field("all", mUnreadable.Count()) });
  }
}

void host_poller::HandleFailure(const error& aError)
{
  mMetrics.Count(kHostListFailures);
  mSourceIndex = (mSourceIndex + 1) % mSources.size();
  if (!std::exchange(mIsFailing, true)) {
    LogEvent(kHostListLost, { Field("where", aError.mWhere), Field("why", aError.mWhat) });
  }
}

} // namespace briarwind
