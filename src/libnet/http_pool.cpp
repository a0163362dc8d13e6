#include "briarwind/http_client.h"

#include <map>
#include <utility>
#include <vector>

namespace briarwind {

namespace {

constexpr std::size_t kMaxBodyBytes = std::size_t{ 64 } << 20U;

using connection_pointer = std::unique_ptr<http_connection>;

io_result<http_response> ToResult(http_exchange&& aExchange)
{
  if (!aExchange.mResponse) {
    return boost::outcome_v2::failure(std::move(aExchange.mError));
  }
  return std::move(*aExchange.mResponse);
}

} // namespace

io_result<http_response> HttpCall(fiber_runtime& aRuntime, const endpoint& aPeer,
                                  const http_request& aRequest, const http_call_limits& aLimits)
{
  auto connected = http_connection::Connect(aRuntime, aPeer, aLimits.mDeadline);
  if (!connected) {
    return boost::outcome_v2::failure(std::move(connected).error());
  }
  return ToResult(connected.value()->Exchange(aRequest, aLimits, kMaxBodyBytes));
}

struct http_pool::state
{
  fiber_runtime* mRuntime;
  std::size_t mMaxIdlePerPeer;
  std::map<endpoint, std::vector<connection_pointer>> mIdle;

  // Returns the idle connection that was used last, or null. Drops connections that the peer has
  // closed in the meantime.
  connection_pointer TakeIdle(const endpoint& aPeer)
  {
    auto& idle = mIdle[aPeer];
    while (!idle.empty()) {
      connection_pointer last = std::move(idle.back());
      idle.pop_back();
      if (last->IsOpen()) {
        return last;
      }
    }
    return nullptr;
  }

  void PutBack(const endpoint& aPeer, connection_pointer aConnection)
  {
    auto& idle = mIdle[aPeer];
    if (idle.size() < mMaxIdlePerPeer) {
      idle.push_back(std::move(aConnection));
    }
  }
};

http_pool::http_pool(fiber_runtime& aRuntime, std::size_t aMaxIdlePerPeer)
  : mState(std::make_unique<state>(state{ &aRuntime, aMaxIdlePerPeer, {} }))
{
}

http_pool::~http_pool() = default;

io_result<http_response> http_pool::Call(const endpoint& aPeer, const http_request& aRequest,
                                         const http_call_limits& aLimits)
{
  return CallIf(aPeer, aRequest, aLimits, [] { return true; });
}

io_result<http_response> http_pool::CallIf(const endpoint& aPeer, const http_request& aRequest,
                                           const http_call_limits& aLimits,
                                           const send_check& aMaySend)
{
  connection_pointer connection = mState->TakeIdle(aPeer);
  if (!connection) {
    auto connected = http_connection::Connect(*mState->mRuntime, aPeer, aLimits.mDeadline);
    if (!connected) {
      return boost::outcome_v2::failure(std::move(connected).error());
    }
    connection = std::move(connected).value();
  }
  if (!aMaySend()) {
    mState->PutBack(aPeer, std::move(connection));
    return IoError(error_kind::kUnavailable, ToString(aPeer), "held back before it was sent");
  }
  http_exchange exchange = connection->Exchange(aRequest, aLimits, kMaxBodyBytes);
  if (exchange.mReusable) {
    mState->PutBack(aPeer, std::move(connection));
  }
  return ToResult(std::move(exchange));
}

} // namespace briarwind
