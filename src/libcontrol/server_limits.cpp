#include "server_limits.h"

#include <sys/resource.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace briarwind {

namespace {

// A response takes much less than this over any link that a caller waits on.
constexpr milliseconds kWriteTimeout{ 10'000 };
constexpr std::size_t kReadinessBodyBytes = std::size_t{ 16 } << 10U;
// The load balancer's checks and a few operators.
constexpr std::size_t kMinConnections = 8;

// The descriptors that the process may open: the setting, or the limit of the system if lower.
std::size_t UsableDescriptors(const node_settings& aSettings)
{
  rlimit limit{};
  const bool isKnown = getrlimit(RLIMIT_NOFILE, &limit) == 0;
  return isKnown ? std::min<std::size_t>(aSettings.mMaxDescriptors, limit.rlim_cur)
                 : aSettings.mMaxDescriptors;
}

} // namespace

server_limits MakeServerLimits(const node_settings& aSettings,
                               std::function<std::size_t()> aMaxBodyBytes,
                               std::function<duration()> aUnreadFor)
{
  const auto budget = std::make_shared<byte_budget>(BudgetOfMemory(aSettings.mMemoryMb << 20U));
  http_server_limits common;
  common.mBudget = budget;
  common.mWriteTimeout = kWriteTimeout;
  common.mUnreadFor = std::move(aUnreadFor);

  // 19 of 32 parts of the descriptors are for clients. The rest is for files and for the calls to
  // the store and the workers: 1,667 of 4,100, of which 1,200 are for as many workers.
  const std::size_t part = UsableDescriptors(aSettings) / 32;
  server_limits limits{ common, common, common };
  limits.mCallers.mConnections = std::max(14 * part, kMinConnections);
  limits.mCallers.mCurrentBodyBytes = std::move(aMaxBodyBytes);
  limits.mPeers.mConnections = std::max(4 * part, kMinConnections);
  limits.mReadiness.mConnections = std::max(part, kMinConnections);
  limits.mReadiness.mBodyBytes = kReadinessBodyBytes;
  return limits;
}

} // namespace briarwind
