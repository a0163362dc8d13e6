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

/// What became of one request on a connection.
struct http_exchange
{
  std::optional<http_response> mResponse; ///< whole answer, or nothing
  error mError;                           ///< when there is no answer
  std::size_t mBytesSent = 0;             ///< 0: the other side cannot have seen any of it
  bool mReusable = false;                 ///< the connection may carry another request
  bool mExtraBytes = false;               ///< more than the one answer came in
};

/// One client connection to an IP number. Closed by its destructor.
class http_connection
{
public:
  static io_result<std::unique_ptr<http_connection>> Connect(fiber_runtime& aRuntime,
                                                             const endpoint& aPeer,
                                                             instant aDeadline);
  virtual ~http_connection() = default;

  /// Sends a request and waits for the whole answer. After anything but a reusable exchange the
  /// connection is closed.
  /// @param aMaxBody answers with a longer body fail with kTooLarge
  virtual http_exchange Exchange(const http_request& aRequest, instant aDeadline,
                                 std::size_t aMaxBody) = 0;

  /// Sends a request and hands over the body of the answer line by line as it arrives, until the
  /// observer returns false, the other side ends it, or nothing arrives for aIdle.
  virtual io_result<void> Stream(const http_request& aRequest, milliseconds aIdle,
                                 const std::function<bool(std::string_view)>& aLine) = 0;

  /// From another fiber: makes a call that is under way fail.
  virtual void Cancel() = 0;
  /// False when an idle connection was closed by the other side or has bytes nobody asked for.
  virtual bool IsOpen() const = 0;
};

/// Connects, exchanges and closes. kUnavailable and kTimeout mean that nothing was sent;
/// after the first byte the error is kUnknownOutcome.
io_result<http_response> HttpCall(fiber_runtime& aRuntime, const endpoint& aPeer,
                                  const http_request& aRequest, instant aDeadline);

/// Keeps idle connections to each peer and reuses them; otherwise like HttpCall.
class http_pool
{
public:
  explicit http_pool(fiber_runtime& aRuntime, std::size_t aIdlePerPeer = 4);
  ~http_pool();
  io_result<http_response> Call(const endpoint& aPeer, const http_request& aRequest,
                                instant aDeadline);

  /// Asked after the last wait before the first byte is sent; false: nothing is sent and the call
  /// fails with kUnavailable.
  using send_check = std::function<bool()>;
  io_result<http_response> CallIf(const endpoint& aPeer, const http_request& aRequest,
                                  instant aDeadline, const send_check& aMaySend);

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace briarwind
