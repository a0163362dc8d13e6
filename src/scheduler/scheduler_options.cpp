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
  aSet.Add("listen", aOptions.mListen, "where callers and operators connect");
  aSet.Add("name", aOptions.mName, "name of this scheduler, for people");
  aSet.Add("failure-domain", aOptions.mDomain, "failure domain of this host");
  aSet.Add("store", aOptions.mStores, "the platform's store");
  aSet.Add("host-list", aOptions.mHostLists, "the platform's host list");
  aSet.Add("peers", aOptions.mPeers, "peer addresses of the other schedulers");
  aSet.Add("peer-listen", aOptions.mPeerListen, "where the other schedulers reach this one");
  aSet.Add("host-poll", aOptions.mHostPoll, milliseconds(50), kMinute,
           "time between two reads of the host list");
  aSet.Add("leader-ttl", aOptions.mLeaderTimeToLive, kSecond, kMinute,
           "how long the store keeps a leader that sends no heartbeat");
  aSet.Add("reservation-ttl", aOptions.mReservationTimeToLive, milliseconds(100), kSecond,
           "how long a worker keeps a reservation that nothing was started under");
  aSet.Add("lease-ttl", aOptions.mLeaseTimeToLive, kSecond, kMinute,
           "how long a task runs on without a renewal of its lease");
  aSet.Add("checkpoint-bound", aOptions.mCheckpointBound, milliseconds(0), kHour,
           "longest time for a checkpoint before a task is stopped");
  aSet.Add("balancer-lag", aOptions.mBalancerLag, milliseconds(0), kHour,
           "time that the balancer goes on sending callers after readiness fails");
  aSet.Add("drain-time", aOptions.mDrainTime, milliseconds(0), kHour,
           "longest wait for requests in flight when stopping");
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
