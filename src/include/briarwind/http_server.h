#pragma once

#include "briarwind/endpoint.h"
#include "briarwind/fiber_runtime.h"
#include "briarwind/http.h"
#include "briarwind/time.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace briarwind {

struct http_server_limits
{
  std::size_t mBodyBytes = std::size_t{ 8 } << 20U;    ///< more is answered with 413
  std::size_t mHeaderBytes = std::size_t{ 16 } << 10U; ///< more is answered with 431
  std::size_t mConnections = 4096;                     ///< more are closed at once
  milliseconds mHeaderTimeout{ 10'000 };               ///< from first byte to end of header: 408
  milliseconds mBodyTimeout{ 30'000 };                 ///< from header to end of body: 408
  milliseconds mIdleTimeout{ 60'000 };                 ///< between requests, closed without answer
  milliseconds mWriteTimeout{ 30'000 };                ///< for the answer
};

/// Answers one request; runs in the connection's fiber and may suspend.
using http_handler = std::function<http_response(const http_request&)>;

/// What went wrong on connections, for counters.
enum class http_server_refusal : std::uint8_t
{
  kTooManyConnections,
  kBodyTooLarge,
  kHeaderTooLarge,
  kTimeout,
  kMalformed,
  kHandlerFailed, ///< an exception left the handler; the connection ends without an answer
};

std::string_view ToString(http_server_refusal aRefusal);

/// An HTTP/1.1 server with keep-alive. One fiber a connection.
class http_server
{
public:
  /// Listens at once; port 0 takes any free port. Throws std::system_error when it cannot bind.
  http_server(fiber_runtime& aRuntime, const endpoint& aListen, http_handler aHandler,
              http_server_limits aLimits = {});
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  endpoint Listening() const;
  std::size_t Connections() const;
  /// Requests read in full or in part whose answer has not been written in full.
  std::size_t InFlight() const;

  void OnRefusal(std::function<void(http_server_refusal)> aObserver);

  /// Takes no new connections; answers on open ones carry `Connection: close`.
  void StopAccepting();
  /// Closes idle connections and waits until no request is in flight. False at the deadline.
  bool Drain(instant aDeadline);

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace briarwind
