#include "scheduler_options.h"

#include "scheduler_events.h"

#include "briarwind/catalogue.h"
#include "briarwind/host_poller.h"
#include "briarwind/settings_events.h"

namespace briarwind {

void AddOptions(option_set& aSet, scheduler_options& aOptions)
{
  constexpr milliseconds kHour = std::chrono::hours(1);
  constexpr milliseconds kMinute{ 60'000 };
  constexpr milliseconds kSecond{ 1'000 };
  aSet.AddCatalogue(UtilEvents(), {});
  aSet.AddCatalogue(SchedulerEvents(), SchedulerMetrics());
  aSet.AddCatalogue(HostListEvents(), HostListMetrics());
  aSet.AddCatalogue(kSettingsEvents, kSettingsMetrics);
  aSet.Add("listen", aOptions.mListen, "address of the HTTP interface for callers and operators");
  aSet.Add("name", aOptions.mName, "name of this scheduler in the log and in status answers");
  aSet.Add("failure-domain", aOptions.mDomain, "failure domain of this host");
  aSet.Add("store", aOptions.mStores, "addresses of the platform's store");
  aSet.Add("host-list", aOptions.mHostLists, "addresses of the platform's host list");
  aSet.Add("peers", aOptions.mPeers, "peer addresses of the other schedulers");
  aSet.Add("peer-listen", aOptions.mPeerListen,
           "address at which this scheduler receives messages from its peers");
  aSet.Add("host-poll", aOptions.mHostPoll, milliseconds(50), kMinute,
           "interval between reads of the host list");
  aSet.Add("leader-ttl", aOptions.mLeaderTimeToLive, kSecond, kMinute,
           "time for which the store keeps the key of a leader that sends no heartbeat");
  aSet.Add("reservation-ttl", aOptions.mReservationTimeToLive, milliseconds(100), kSecond,
           "time for which a worker keeps a reservation without a start");
  aSet.Add("lease-ttl", aOptions.mLeaseTimeToLive, kSecond, kMinute,
           "time for which a task keeps running without a renewal of its lease");
  aSet.Add("checkpoint-bound", aOptions.mCheckpointBound, milliseconds(0), kHour,
           "maximum time that a task gets for a checkpoint before it is stopped");
  aSet.Add("balancer-lag", aOptions.mBalancerLag, milliseconds(0), kHour,
           "time for which the load balancer may still send requests after readiness fails");
  aSet.Add("drain-time", aOptions.mDrainTime, milliseconds(0), kHour,
           "maximum wait for requests in flight during shutdown");
  aSet.AddCheck([&aOptions](findings& aFindings) {
    if (aOptions.mStores.empty()) {
      aFindings.push_back({ severity::kError, "--store", "", "at least one IP:PORT" });
    }
    if (aOptions.mHostLists.empty()) {
      aFindings.push_back({ severity::kError, "--host-list", "", "at least one IP:PORT" });
    }
  });
}

} // namespace briarwind
