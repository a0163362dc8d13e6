#pragma once

#include "briarwind/endpoint.h"
#include "briarwind/error.h"
#include "briarwind/fiber_runtime.h"
#include "briarwind/http.h"
#include "briarwind/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace briarwind {

/// The outcome of one request on a connection.
struct http_exchange
{
  std::optional<http_response> mResponse; ///< the complete response, if one arrived
  error mError;                           ///< set when there is no response
  std::size_t mBytesSent = 0;             ///< 0: the server cannot have received any of the request
  bool mReusable = false;                 ///< the connection may carry another request
  bool mExtraBytes = false;               ///< bytes arrived beyond the end of the response
};

/// Time limits of one call.
struct http_call_limits
{
  /// The whole response has to arrive before the deadline.
  http_call_limits(instant aDeadline)
    : mDeadline(aDeadline)
  {
  }
  /// Only the header has to arrive before the deadline. The body may take any time; the call fails
  /// when nothing of it arrives for aStallTimeout. For responses whose size has no fixed bound,
  /// such as listings of a store.
  http_call_limits(instant aDeadline, milliseconds aStallTimeout)
    : mDeadline(aDeadline)
    , mStallTimeout(aStallTimeout)
  {
  }

  instant mDeadline;
  std::optional<milliseconds> mStallTimeout;
};

/// A client connection to a server at a numeric IP address. The destructor closes it.
class http_connection
{
public:
  /// Opens a connection. Fails with kTimeout at the deadline and with kUnavailable otherwise.
  static io_result<std::unique_ptr<http_connection>> Connect(fiber_runtime& aRuntime,
                                                             const endpoint& aPeer,
                                                             instant aDeadline);
  virtual ~http_connection() = default;

  /// Sends a request and waits for the complete response. The connection is closed unless the
  /// exchange leaves it reusable.
  /// @param aMaxBody limit in bytes; a response with a longer body fails with kTooLarge
  virtual http_exchange Exchange(const http_request& aRequest, const http_call_limits& aLimits,
                                 std::size_t aMaxBody) = 0;

  /// Sends a request and passes the body of the response to aLine line by line as it arrives. Ends
  /// when aLine returns false, when the response is complete, or with an error when nothing arrives
  /// for aIdleTimeout. A status other than 200 fails with kProtocol. The connection carries no
  /// further request.
  virtual io_result<void> Stream(const http_request& aRequest, milliseconds aIdleTimeout,
                                 const std::function<bool(std::string_view)>& aLine) = 0;

  /// Makes a call that is in progress in another fiber fail.
  virtual void Cancel() = 0;
  /// Whether an idle connection can carry a request. False when the server has closed it or has
  /// sent bytes that belong to no request.
  virtual bool IsOpen() const = 0;
};

/// Sends one request over a new connection and closes the connection. The errors kUnavailable and
/// kTimeout mean that nothing was sent. Failures after the first byte was sent are reported as
/// kUnknownOutcome, or as kTooLarge when the response has more than 64 MiB.
io_result<http_response> HttpCall(fiber_runtime& aRuntime, const endpoint& aPeer,
                                  const http_request& aRequest, const http_call_limits& aLimits);

/// Sends requests like HttpCall, but keeps idle connections to each peer and reuses them.
class http_pool
{
public:
  /// @param aMaxIdlePerPeer maximum number of idle connections for each peer
  explicit http_pool(fiber_runtime& aRuntime, std::size_t aMaxIdlePerPeer = 4);
  ~http_pool();
  io_result<http_response> Call(const endpoint& aPeer, const http_request& aRequest,
                                const http_call_limits& aLimits);

  /// Returns whether the request may still be sent. Called once a connection is open, with no
  /// suspension of the fiber between the call and the first write.
  using send_check = std::function<bool()>;
  /// Call that sends nothing and fails with kUnavailable when aMaySend returns false.
  io_result<http_response> CallIf(const endpoint& aPeer, const http_request& aRequest,
                                  const http_call_limits& aLimits, const send_check& aMaySend);

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace briarwind
