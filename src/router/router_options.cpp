#include "router_options.h"

#include "router_events.h"

#include "briarwind/host_poller.h"
#include "briarwind/settings_events.h"

namespace briarwind {

void AddOptions(option_set& aSet, router_options& aOptions)
{
  constexpr milliseconds kHour = std::chrono::hours(1);
  constexpr std::int64_t kMaxQueueCapacity = 100'000;
  aSet.AddCatalogue(events::RouterEvents(), meters::RouterMetrics());
  aSet.AddCatalogue(HostListEvents(), HostListMetrics());
  aSet.AddCatalogue(kSettingsEvents, kSettingsMetrics);
  aSet.Add("listen", aOptions.mListen, "address of the HTTP interface for callers");
  aSet.Add("name", aOptions.mName, "name of this router in the log");
  aSet.Add("failure-domain", aOptions.mDomain,
           "failure domain of this host; its instances are preferred");
  aSet.Add("store", aOptions.mStores,
           "addresses of the platform's store; empty: no settings, no limits");
  aSet.Add("host-list", aOptions.mHostLists, "addresses of the platform's host list");
  aSet.Add("peers", aOptions.mPeers, "peer addresses of the other routers");
  aSet.Add("peer-listen", aOptions.mPeerListen,
           "address at which this router receives messages from its peers");
  aSet.Add("host-poll", aOptions.mHostPoll, milliseconds(50), milliseconds(3'000),
           "interval between reads of the host list");
  aSet.Add("balancer-lag", aOptions.mBalancerLag, milliseconds(0), kHour,
           "time for which the load balancer may still send requests after readiness fails");
  aSet.Add("drain-time", aOptions.mDrainTime, milliseconds(0), kHour,
           "maximum wait for requests in flight during shutdown");
  aSet.Add("release-time", aOptions.mReleaseTime, milliseconds(100), kHour,
           "wait before the other routers use the share of a router that left");
  aSet.Add(
    "linger", aOptions.mLinger, milliseconds(0), kHour,
    "maximum time that a request past its deadline keeps its slot until the instance answers");
  aSet.Add("queue", aOptions.mMaxQueued, 1, kMaxQueueCapacity,
           "maximum number of requests that wait for one service");
}

} // namespace briarwind
