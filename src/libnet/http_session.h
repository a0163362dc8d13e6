#pragma once

#include "briarwind/http_server.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace briarwind {

// What the sessions of one server have in common.
struct http_session_shared
{
  http_handler mHandler;
  http_server_limits mLimits;
  std::function<void(http_server_refusal)> mOnRefusal;
  bool mStopping = false;

  void Refuse(http_server_refusal aRefusal) const
  {
    if (mOnRefusal) {
      mOnRefusal(aRefusal);
    }
  }
};

// One connection of a server: reads requests, answers them, one after the other.
class http_session
{
public:
  http_session(boost::asio::ip::tcp::socket aSocket, const http_session_shared& aShared);
  ~http_session();
  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;

  // Returns when the connection is closed. Runs in the connection's fiber.
  void Run();

  bool IsBusy() const;
  // Closes the connection unless a request is under way or has begun to arrive.
  void CloseWhenIdle();
  void Abort();

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace briarwind
