#pragma once

#include "briarwind/byte_budget.h"
#include "briarwind/endpoint.h"
#include "briarwind/fiber_runtime.h"
#include "briarwind/http.h"
#include "briarwind/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace briarwind {

/// Limits on sizes, connections and times of a server.
struct http_server_limits
{
  std::size_t mBodyBytes = std::size_t{ 8 } << 20U;    ///< a longer body is rejected with 413
  std::size_t mHeaderBytes = std::size_t{ 16 } << 10U; ///< a longer header is rejected with 431
  std::size_t mConnections = 4096;                     ///< further connections are closed at once
  milliseconds mHeaderTimeout{ 10'000 }; ///< from the first byte to the end of the header; then 408
  milliseconds mBodyTimeout{ 30'000 };   ///< from the header to the end of the body; then 408
  /// From one read of a body to the next; then 408. An ordinary client does not pause for so long.
  milliseconds mStallTimeout{ 10'000 };
  milliseconds mIdleTimeout{ 60'000 };  ///< wait for the next request; closed without a response
  milliseconds mWriteTimeout{ 30'000 }; ///< for writing a response or one chunk of it
  /// When set, returns the limit to use in place of mBodyBytes; for a limit that changes.
  std::function<std::size_t()> mCurrentBodyBytes;
  /// Bytes that are read and not answered, or not written yet; may be shared by several servers.
  /// Without a budget only the limits of each connection apply.
  std::shared_ptr<byte_budget> mBudget;
  /// When set, returns how long input that is read now may have waited unread, see pause_tracker.
  std::function<duration()> mUnreadFor;
};

/// Returns the response to a request. Runs in the fiber of the connection and may suspend it.
using http_handler = std::function<http_response(const http_request&)>;

/// Why a connection or a request was rejected; the reason label of refusal counters.
enum class http_server_refusal : std::uint8_t
{
  kTooManyConnections,
  kBodyTooLarge,
  kHeaderTooLarge,
  kTimeout,
  kMalformed,
  kHandlerFailed,   ///< the handler threw an exception; the connection is closed without a response
  kFramingTooLarge, ///< chunk extensions or trailers are over the limit of a header; 431
  kOverBudget,      ///< the byte budget has no room for an announced body; 503, has not run
  kCutOffOverBudget, ///< closed to free bytes of the budget; a request cut off has not run
  kWriteTimeout,     ///< the client does not read the response
  kDisplaced,        ///< closed without a complete request, in favour of a new connection
  kClientLeft,       ///< the client had closed the connection; its request has not run
};

std::string_view ToString(http_server_refusal aRefusal);

/// An HTTP/1.1 server with keep-alive that runs one fiber per connection.
class http_server
{
public:
  /// Starts to listen. Port 0 picks any free port. Throws std::system_error when the address cannot
  /// be bound.
  http_server(fiber_runtime& aRuntime, const endpoint& aListen, http_handler aHandler,
              http_server_limits aLimits = {});
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// The address that the server is bound to, with the actual port.
  endpoint Listening() const;
  /// Number of open connections.
  std::size_t Connections() const;
  /// Number of requests that have begun to arrive and whose response is not completely written.
  std::size_t InFlight() const;

  /// Sets the function to call for each rejected connection or request.
  void OnRefusal(std::function<void(http_server_refusal)> aObserver);

  /// Sets a further function to call with the address of the client.
  void OnRefusedPeer(std::function<void(http_server_refusal, const std::string&)> aObserver);

  /// Stops accepting connections. Responses on open connections carry `Connection: close`.
  void StopAccepting();
  /// Stops accepting, closes idle connections and waits until all connections are closed. Returns
  /// false when some are still open at the deadline.
  bool Drain(instant aDeadline);

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace briarwind
