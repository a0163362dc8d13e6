#pragma once

#include "briarwind/endpoint.h"
#include "briarwind/options.h"
#include "briarwind/time.h"

#include <string>
#include <vector>

namespace briarwind {

/// The flags and variables of briarwind-router.
struct router_options
{
  endpoint mListen{ "127.0.0.1", 8080 };
  std::string mName;
  std::string mDomain;
  std::vector<endpoint> mStores;
  std::vector<endpoint> mHostLists;
  std::vector<endpoint> mPeers;
  endpoint mPeerListen{ "127.0.0.1", 0 };
  milliseconds mHostPoll{ 1'000 };
  milliseconds mBalancerLag{ 5'000 };
  milliseconds mDrainTime{ 610'000 };
  milliseconds mReleaseTime{ 6'000 };
  milliseconds mLinger{ 30'000 };
  std::int64_t mQueue = 2'000;
};

/// Binds the options to their flags.
void AddOptions(option_set& aSet, router_options& aOptions);

} // namespace briarwind
