#pragma once

#include "briarwind/endpoint.h"
#include "briarwind/work_core.h"

#include <optional>
#include <string>
#include <vector>

namespace briarwind {

/// Deployment settings of one scheduler process.
struct node_settings
{
  std::string mName;   ///< of this host, unique in the deployment
  std::string mDomain; ///< failure domain of this host
  endpoint mCallers;   ///< listening address for callers
  endpoint mReadiness; ///< listening address for readiness checks of the load balancer
  endpoint mPeers;     ///< listening address for the other hosts; also serves the metrics
  endpoint mStore;     ///< address of the platform's store
  std::optional<endpoint> mAdvisor; ///< address of the placement advisor, if one is deployed
  double mProcessorShare = 1;       ///< in cores; hosts with more are preferred as leader
  // Without a value in the settings file, those of the smallest host.
  std::size_t mMemoryMb = 160;         ///< memory of the host, from which buffers are sized
  std::size_t mMaxDescriptors = 4'100; ///< descriptors of the process
  milliseconds mGracePeriod{ 6'000 };  ///< time from SIGTERM until the platform sends SIGKILL
  work_options mWork;

  bool operator==(const node_settings&) const = delete;
};

} // namespace briarwind
