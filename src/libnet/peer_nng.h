#pragma once

#include "briarwind/endpoint.h"
#include "briarwind/error.h"
#include "briarwind/fiber_runtime.h"
#include "briarwind/time.h"

#include <nng/nng.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace briarwind {

/// The requesting side of nng towards one peer; any number of exchanges at a time.
class nng_peer
{
public:
  nng_peer(fiber_runtime& aRuntime, const endpoint& aPeer);
  ~nng_peer();
  nng_peer(const nng_peer&) = delete;
  nng_peer& operator=(const nng_peer&) = delete;

  /// kUnavailable when the request never left, kUnknownOutcome when it did and no answer came.
  io_result<std::string> Exchange(const std::string& aBytes, instant aDeadline);

private:
  boost::asio::io_context& mContext;
  nng_socket mSocket{};
  int mOpened; // 0, or the error of nng that kept the socket from being opened
};

/// The answering side of nng. Each request is answered in a fiber of its own.
class nng_listener_socket
{
public:
  using handler = std::function<std::string(const std::string&)>;

  nng_listener_socket(fiber_runtime& aRuntime, const endpoint& aAt, std::size_t aContexts,
                      const handler& aHandler);
  ~nng_listener_socket();
  nng_listener_socket(const nng_listener_socket&) = delete;
  nng_listener_socket& operator=(const nng_listener_socket&) = delete;

  const endpoint& Listening() const { return mListening; }

private:
  endpoint mListening;
  nng_socket mSocket{};
};

} // namespace briarwind
