#include "briarwind/http_client.h"

#include "await.h"
#include "beast_convert.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace briarwind {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

using response_parser = http::response_parser<http::string_body>;
using wire_request = http::request<http::span_body<const char>>;

constexpr unsigned kHttp11 = 11;
constexpr std::uint32_t kMaxResponseHeaderBytes = 64U << 10U;
// Reads are as large as the free part of the connection's buffer, and of 512 bytes if there is
// none. Most answers of workers and peers fit into the first size; long bodies are read with the
// second.
constexpr std::size_t kFirstReadBytes = std::size_t{ 4 } << 10U;
constexpr std::size_t kLargeReadBytes = std::size_t{ 64 } << 10U;

wire_request ToWire(const http_request& aRequest, const endpoint& aPeer)
{
  wire_request wire;
  wire.version(kHttp11);
  wire.method_string(aRequest.mMethod);
  wire.target(aRequest.mTarget);
  ToBeast(aRequest.mHeaders, wire);
  if (!aRequest.mHeaders.Find("Host")) {
    wire.set(http::field::host, ToString(aPeer));
  }
  wire.body() = beast::span<const char>(aRequest.mBody.data(), aRequest.mBody.size());
  wire.prepare_payload();
  return wire;
}

// Errors before the first byte was sent mean that nothing took effect; later ones leave the outcome
// of the request unknown.
error DescribeFailure(beast::error_code aCode, std::size_t aBytesSent, const endpoint& aPeer,
                      std::size_t aBytesReceived = 0)
{
  if (aCode == http::error::body_limit) {
    return { error_kind::kTooLarge, ToString(aPeer), "the answer is over the limit" };
  }
  const bool hasTimedOut = aCode == beast::error::timeout;
  if (aBytesSent > 0) {
    return { error_kind::kUnknownOutcome, ToString(aPeer),
             hasTimedOut
               ? fmt::format("timed out; {} bytes of the answer had arrived", aBytesReceived)
               : aCode.message() };
  }
  return { hasTimedOut ? error_kind::kTimeout : error_kind::kUnavailable, ToString(aPeer),
           aCode.message() };
}

// Limits the time of each read of a composed operation, so that the operation fails once nothing
// arrives for that time, however long it takes as a whole.
class stall_limited_stream
{
public:
  using executor_type = beast::tcp_stream::executor_type;

  stall_limited_stream(beast::tcp_stream& aStream, milliseconds aStallTimeout)
    : mStream(aStream)
    , mStallTimeout(aStallTimeout)
  {
  }

  // Beast calls streams by these names.
  // NOLINTBEGIN(readability-identifier-naming)
  executor_type get_executor() noexcept { return mStream.get_executor(); }

  template<class Buffers, class Handler>
  auto async_read_some(const Buffers& aBuffers, Handler&& aHandler)
  {
    mStream.expires_after(mStallTimeout);
    return mStream.async_read_some(aBuffers, std::forward<Handler>(aHandler));
  }
  // NOLINTEND(readability-identifier-naming)

private:
  beast::tcp_stream& mStream;
  milliseconds mStallTimeout;
};

class beast_connection : public http_connection
{
public:
  beast_connection(asio::io_context& aContext, endpoint aPeer)
    : mPeer(std::move(aPeer))
    , mStream(aContext)
  {
  }

  beast::error_code Open(instant aDeadline)
  {
    mStream.expires_at(aDeadline);
    const auto [code] =
      Await<>([&](auto aHandler) { mStream.async_connect(ToAsio(mPeer), std::move(aHandler)); });
    if (!code) {
      beast::error_code ignored;
      mStream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    }
    return code;
  }

  http_exchange Exchange(const http_request& aRequest, const http_call_limits& aLimits,
                         std::size_t aMaxBody) override
  {
    http_exchange exchange;
    mStream.expires_at(aLimits.mDeadline);
    const beast::error_code written = Send(aRequest, exchange.mBytesSent);
    if (exchange.mBytesSent == 0 || written == beast::error::timeout) {
      Close();
      exchange.mError = DescribeFailure(written, exchange.mBytesSent, mPeer);
      return exchange;
    }
    // A response may arrive although the write failed: some servers reject a request before they
    // have read the whole body.
    Receive(aRequest, aLimits, aMaxBody, exchange);
    if (written) {
      exchange.mReusable = false;
    }
    if (!exchange.mReusable) {
      Close();
    }
    return exchange;
  }

  io_result<void> Stream(const http_request& aRequest, milliseconds aIdleTimeout,
                         const std::function<bool(std::string_view)>& aLine) override
  {
    std::size_t sent = 0;
    mStream.expires_after(aIdleTimeout);
    const beast::error_code written = Send(aRequest, sent);
    if (written) {
      return boost::outcome_v2::failure(DescribeFailure(written, sent, mPeer));
    }
    response_parser parser;
    parser.body_limit(boost::none);
    parser.header_limit(kMaxResponseHeaderBytes);
    while (!parser.is_done()) {
      mStream.expires_after(aIdleTimeout);
      const auto [code, bytes] = Await<std::size_t>([&](auto aHandler) {
        http::async_read_some(mStream, mBuffer, parser, std::move(aHandler));
      });
      if (code) {
        return boost::outcome_v2::failure(DescribeFailure(code, sent, mPeer));
      }
      if (parser.is_header_done() && !DeliverLines(parser.get().body(), aLine)) {
        break;
      }
    }
    Close();
    const unsigned status = parser.get().result_int();
    if (status != 200) {
      return IoError(error_kind::kProtocol, ToString(mPeer), parser.get().body());
    }
    return boost::outcome_v2::success();
  }

  void Cancel() override { mStream.cancel(); }

  bool IsOpen() const override
  {
    const int handle = const_cast<beast::tcp_stream&>(mStream).socket().native_handle();
    char byte = 0;
    const auto received = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

private:
  beast::error_code Send(const http_request& aRequest, std::size_t& aSent)
  {
    const wire_request wire = ToWire(aRequest, mPeer);
    const auto [code, bytes] = Await<std::size_t>(
      [&](auto aHandler) { http::async_write(mStream, wire, std::move(aHandler)); });
    aSent = bytes;
    return code;
  }

  // The deadline that Exchange has set applies to the header, and to the body unless aStallTimeout
  // replaces it. The fiber is resumed once for the header and once for what did not arrive with it:
  // with many ready fibers, each resumption can take long.
  std::tuple<beast::error_code, std::size_t> ReadResponse(response_parser& aParser,
                                                          std::optional<milliseconds> aStallTimeout)
  {
    mBuffer.reserve(kFirstReadBytes);
    auto [code, received] = Await<std::size_t>([&](auto aHandler) {
      http::async_read_header(mStream, mBuffer, aParser, std::move(aHandler));
    });
    if (!code) {
      received += ParseBuffered(aParser, code);
    }
    if (!code && !aParser.is_done()) {
      const std::size_t left = aParser.content_length_remaining().value_or(kLargeReadBytes);
      mBuffer.reserve(std::clamp(left, kFirstReadBytes, kLargeReadBytes));
      std::size_t bytes = 0;
      std::tie(code, bytes) = Await<std::size_t>([&](auto aHandler) {
        if (aStallTimeout) {
          mLimitedStream.emplace(mStream, *aStallTimeout);
          http::async_read(*mLimitedStream, mBuffer, aParser, std::move(aHandler));
        } else {
          http::async_read(mStream, mBuffer, aParser, std::move(aHandler));
        }
      });
      received += bytes;
    }
    if (mBuffer.size() == 0) { // idle connections keep no memory
      mBuffer = {};
    }
    return { code, received };
  }

  // Parses the part of the body that arrived with the header. Returns its size.
  std::size_t ParseBuffered(response_parser& aParser, beast::error_code& aCode)
  {
    aParser.eager(true);
    std::size_t parsed = 0;
    std::size_t bytes = 1;
    while (!aCode && bytes > 0 && !aParser.is_done() && mBuffer.size() > 0) {
      bytes = aParser.put(mBuffer.data(), aCode);
      mBuffer.consume(bytes);
      parsed += bytes;
    }
    if (aCode == http::error::need_more) {
      aCode = {};
    }
    return parsed;
  }

  void Receive(const http_request& aRequest, const http_call_limits& aLimits, std::size_t aMaxBody,
               http_exchange& aExchange)
  {
    response_parser parser;
    parser.body_limit(aMaxBody);
    parser.header_limit(kMaxResponseHeaderBytes);
    parser.skip(aRequest.mMethod == "HEAD");
    const auto [code, bytes] = ReadResponse(parser, aLimits.mStallTimeout);
    if (code) {
      aExchange.mError = DescribeFailure(code, aExchange.mBytesSent, mPeer, bytes);
      return;
    }
    aExchange.mExtraBytes = mBuffer.size() > 0;
    aExchange.mReusable = parser.keep_alive() && !aExchange.mExtraBytes;
    auto message = parser.release();
    http_response response;
    response.mStatus = message.result_int();
    response.mHeaders = FromBeast(message);
    response.mBody = std::move(message.body());
    aExchange.mResponse = std::move(response);
  }

  // Passes each complete line to aLine and removes it from the buffer. Returns false when aLine
  // does.
  static bool DeliverLines(std::string& aReceived,
                           const std::function<bool(std::string_view)>& aLine)
  {
    std::size_t begin = 0;
    bool wantsMore = true;
    for (std::size_t end = aReceived.find('\n'); wantsMore && end != std::string::npos;
         end = aReceived.find('\n', begin)) {
      wantsMore = aLine(std::string_view(aReceived).substr(begin, end - begin));
      begin = end + 1;
    }
    aReceived.erase(0, begin);
    return wantsMore;
  }

  void Close()
  {
    beast::error_code ignored;
    mStream.socket().close(ignored);
  }

  endpoint mPeer;
  beast::tcp_stream mStream;
  std::optional<stall_limited_stream> mLimitedStream; ///< of the present read
  beast::flat_buffer mBuffer;
};

} // namespace

io_result<std::unique_ptr<http_connection>> http_connection::Connect(fiber_runtime& aRuntime,
                                                                     const endpoint& aPeer,
                                                                     instant aDeadline)
{
  auto connection = std::make_unique<beast_connection>(aRuntime.Context(), aPeer);
  const beast::error_code code = connection->Open(aDeadline);
  if (code) {
    return boost::outcome_v2::failure(DescribeFailure(code, 0, aPeer));
  }
  return std::unique_ptr<http_connection>(std::move(connection));
}

} // namespace briarwind
