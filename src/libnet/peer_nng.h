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

/// The nng request socket towards one peer. Any number of exchanges may be in flight at a time.
class nng_peer
{
public:
  /// Starts to connect in the background; nng reconnects by itself after a lost connection.
  nng_peer(fiber_runtime& aRuntime, const endpoint& aPeer);
  ~nng_peer();
  nng_peer(const nng_peer&) = delete;
  nng_peer& operator=(const nng_peer&) = delete;

  /// Sends a message and waits for the reply. Fails with kUnavailable when the message was not sent
  /// before the deadline and with kUnknownOutcome when it was sent but no reply arrived.
  io_result<std::string> Exchange(const std::string& aBytes, instant aDeadline);

private:
  boost::asio::io_context& mContext;
  nng_socket mSocket{};
  int mOpenError; // 0, or the nng error of opening the socket or starting to connect
};

/// The nng reply socket of a process.
class nng_listener_socket
{
public:
  /// Returns the reply to a message. Runs in a fiber and may suspend it.
  using handler = std::function<std::string(const std::string&)>;

  /// Starts to listen. Throws std::system_error when the address cannot be bound.
  /// @param aContexts number of fibers that handle messages at the same time
  nng_listener_socket(fiber_runtime& aRuntime, const endpoint& aListen, std::size_t aContexts,
                      const handler& aHandler);
  ~nng_listener_socket();
  nng_listener_socket(const nng_listener_socket&) = delete;
  nng_listener_socket& operator=(const nng_listener_socket&) = delete;

  /// The bound address, with the actual port.
  const endpoint& Listening() const { return mListening; }

private:
  endpoint mListening;
  nng_socket mSocket{};
};

} // namespace briarwind
