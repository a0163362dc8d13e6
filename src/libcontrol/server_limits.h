#pragma once

#include "briarwind/http_server.h"
#include "briarwind/node_settings.h"

#include <functional>

namespace briarwind {

// Limits of the HTTP servers of one process, which share one byte budget.
struct server_limits
{
  http_server_limits mCallers;
  http_server_limits mReadiness;
  http_server_limits mPeers;
};

// aMaxBodyBytes returns the limit on a caller's body that is in force; aUnreadFor is that of
// http_server_limits.
server_limits MakeServerLimits(const node_settings& aSettings,
                               std::function<std::size_t()> aMaxBodyBytes,
                               std::function<duration()> aUnreadFor);

} // namespace briarwind
