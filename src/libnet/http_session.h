#pragma once

#include "briarwind/http_server.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace briarwind {

// State that all sessions of a server share.
struct http_session_shared
{
  http_handler mHandler;
  http_server_limits mLimits;
  std::function<void(http_server_refusal)> mOnRefusal;
  bool mStopping = false;

  void NotifyRefusal(http_server_refusal aRefusal) const
  {
    if (mOnRefusal) {
      mOnRefusal(aRefusal);
    }
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
  // Closes the connection unless a request is in flight or has begun to arrive.
  void CloseIfIdle();
  // Closes the connection at once.
  void Abort();

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace briarwind
