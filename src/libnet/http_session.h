#pragma once

#include "briarwind/byte_budget.h"
#include "briarwind/http_server.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace briarwind {

// State that all sessions of a server share.
struct http_session_shared
{
  http_handler mHandler;
  http_server_limits mLimits;
  std::function<void(http_server_refusal)> mOnRefusal;
  std::function<void(http_server_refusal, const std::string&)> mOnRefusedPeer;
  std::shared_ptr<byte_budget> mBudget;
  bool mStopping = false;

  void NotifyRefusal(http_server_refusal aRefusal, const std::string& aPeer) const
  {
    if (mOnRefusal) {
      mOnRefusal(aRefusal);
    }
    if (mOnRefusedPeer) {
      mOnRefusedPeer(aRefusal, aPeer);
    }
  }

  std::size_t MaxBodyBytes() const
  {
    return mLimits.mCurrentBodyBytes ? mLimits.mCurrentBodyBytes() : mLimits.mBodyBytes;
  }
};

// Serves one connection: reads the requests and writes the responses, one after the other.
class http_session
{
public:
  http_session(boost::asio::ip::tcp::socket aSocket, const http_session_shared& aShared);
  ~http_session();
  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;

  // Serves the connection in the calling fiber. Returns once the connection is closed.
  void Run();

  // Whether a request is being read, handled or responded to.
  bool IsBusy() const;
  // Start of the request that is incomplete, or of the response that is not completely written.
  std::optional<instant> ReadingSince() const;
  // End of the last response or, before the first, the time when the connection was accepted.
  std::optional<instant> IdleSince() const;
  bool IsOpen() const;
  // The address of the client, without its port.
  const std::string& Peer() const;
  // Closes the connection unless a request is in flight or has begun to arrive.
  void CloseIfIdle();
  // Closes the connection at once.
  void Abort();

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace briarwind
