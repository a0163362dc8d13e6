#pragma once

#include "briarwind/endpoint.h"
#include "briarwind/options.h"
#include "briarwind/time.h"

#include <string>
#include <vector>

namespace briarwind {

/// Options of briarwind-router, set by flags or environment variables.
struct router_options
{
  endpoint mListen{ "127.0.0.1", 8080 }; ///< address of the HTTP interface for callers
  std::string mName;                     ///< shown in the log only
  std::string mDomain;                   ///< failure domain; its instances are preferred
  std::vector<endpoint> mStores;         ///< empty: no settings and no limits
  std::vector<endpoint> mHostLists;      ///< where the platform's host list is read
  std::vector<endpoint> mPeers;          ///< peer addresses of the other routers
  endpoint mPeerListen{ "127.0.0.1", 0 };
  milliseconds mHostPoll{ 1'000 }; ///< interval between reads of the host list
  /// How long a load balancer may still send requests after readiness fails.
  milliseconds mBalancerLag{ 5'000 };
  /// Maximum wait for requests in flight during shutdown.
  milliseconds mDrainTime{ 610'000 };
  /// How long the other routers wait before they use the share of a router that left.
  milliseconds mReleaseTime{ 6'000 };
  /// How long a request past its deadline keeps its slot until the instance answers.
  milliseconds mLinger{ 30'000 };
  /// Maximum number of requests that wait for one service.
  std::int64_t mMaxQueued = 2'000;
};

/// Declares the flags of briarwind-router, with their bounds, and the catalogue of its log events
/// and metrics.
void AddOptions(option_set& aSet, router_options& aOptions);

} // namespace briarwind
