#include "briarwind/host_poller.h"

#include <array>
#include <utility>

namespace briarwind {

namespace {

constexpr seconds kReadTimeout{ 2 };
// A list service that was restored from an older state stays behind; a lagging replica does not.
constexpr int kOlderUntilBelieved = 10;

} // namespace

std::span<const event_kind> HostListEvents()
{
  static constexpr std::array kAll{ kHostListLost, kHostListBack, kHostListOlder };
  return kAll;
}

std::span<const metric_kind> HostListMetrics()
{
  static constexpr std::array kAll{ kHostListFailures };
  return kAll;
}

host_poller::host_poller(fiber_runtime& aRuntime, std::vector<endpoint> aSources,
                         milliseconds aEvery, metrics& aMetrics, observer aObserver)
  : mSources(std::move(aSources))
  , mEvery(aEvery)
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
    const io_result<host_list> list = Read();
    if (list) {
      Accept(list.value());
    } else {
      NoteFailure(list.error());
    }
    SleepFor(mEvery);
  }
}

io_result<host_list> host_poller::Read()
{
  http_request request;
  request.mTarget = "/v1/hosts";
  const auto answer =
    mPool.Call(mSources.at(mSource), request, monotonic_clock::now() + kReadTimeout);
  if (!answer) {
    return boost::outcome_v2::failure(answer.error());
  }
  if (answer.value().mStatus != 200) {
    return IoError(error_kind::kUnavailable, ToString(mSources.at(mSource)), "no host list");
  }
  return Settle([&] { return ParseHostList(answer.value().mBody); });
}

void host_poller::Accept(const host_list& aList)
{
  if (std::exchange(mLost, false)) {
    LogEvent(kHostListBack, { Field("version", aList.mVersion) });
  }
  const bool older = mHasList && aList.mVersion < mVersion;
  if (older && ++mOlderInRow < kOlderUntilBelieved) {
    LogEvent(kHostListOlder, { Field("version", aList.mVersion), Field("held", mVersion) });
    return;
  }
  mOlderInRow = 0;
  const bool same = mHasList && aList.mVersion == mVersion;
  mHasList = true;
  mVersion = aList.mVersion;
  if (!same) {
    mObserver(aList);
  }
}

void host_poller::NoteFailure(const error& aError)
{
  mMetrics.Count(kHostListFailures);
  mSource = (mSource + 1) % mSources.size();
  if (!std::exchange(mLost, true)) {
    LogEvent(kHostListLost, { Field("where", aError.mWhere), Field("why", aError.mWhat) });
  }
}

} // namespace briarwind
