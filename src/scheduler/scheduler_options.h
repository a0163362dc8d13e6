#pragma once

#include "briarwind/endpoint.h"
#include "briarwind/options.h"
#include "briarwind/time.h"

#include <string>
#include <vector>

namespace briarwind {

/// Settings of one scheduler process, bound to its flags and environment variables by AddOptions.
struct scheduler_options
{
  endpoint mListen{ "127.0.0.1", 7070 };
  std::string mName = "scheduler";
  std::string mDomain;
  std::vector<endpoint> mStores;
  std::vector<endpoint> mHostLists;
  std::vector<endpoint> mPeers;
  endpoint mPeerListen{ "127.0.0.1", 0 };
  milliseconds mHostPoll{ 500 };
  milliseconds mLeaderTimeToLive{ 3'000 };
  milliseconds mReservationTimeToLive{ 1'000 };
  milliseconds mLeaseTimeToLive{ 10'000 };
  milliseconds mCheckpointBound{ 10'000 };
  milliseconds mBalancerLag{ 2'000 };
  milliseconds mDrainTime{ 30'000 };
};

/// Adds the flags of the scheduler, their checks and the catalogue of its events and metrics. The
/// parsed values are written to aOptions, which must outlive aSet.
void AddOptions(option_set& aSet, scheduler_options& aOptions);

} // namespace briarwind
