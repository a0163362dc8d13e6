#pragma once

#include "briarwind/endpoint.h"
#include "briarwind/work_core.h"

#include <optional>
#include <string>
#include <vector>

namespace briarwind {

/// What one process of the scheduler has to know of its deployment.
struct node_settings
{
  std::string mName;
  std::string mDomain;
  endpoint mCallers;   ///< listens for callers
  endpoint mReadiness; ///< listens for the balancer
  endpoint mPeers;     ///< listens for the other hosts; also serves the metrics
  endpoint mStore;
  std::optional<endpoint> mAdvisor; ///< says where steps may run, for queues that ask
  double mProcessorShare = 1;       ///< of a core; the strongest hosts lead
  milliseconds mGrace{ 6'000 };     ///< from SIGTERM to SIGKILL
  work_options mWork;

  bool operator==(const node_settings&) const = delete;
};

} // namespace briarwind
