#include "http_session.h"

#include "await.h"
#include "beast_convert.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <exception>
#include <memory>
#include <optional>
#include <utility>

namespace briarwind {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

using request_parser = http::request_parser<http::string_body>;
using wire_response = http::response<http::string_body>;

constexpr unsigned kHttp11 = 11;
constexpr std::size_t kFirstReadBytes = 4096;
constexpr std::size_t kMaxLingerBytes = std::size_t{ 16 } << 20U;
constexpr milliseconds kLingerTimeout{ 1'000 };

// The error response to a request that could not be read, and the reason to count it under.
struct read_failure
{
  unsigned mStatus;
  http_server_refusal mRefusal;
  const char* mWhat;
};

// Returns nullopt when the connection is to be closed without a response.
std::optional<read_failure> ClassifyFailure(beast::error_code aCode)
{
  if (aCode == http::error::body_limit) {
    return read_failure{ 413, http_server_refusal::kBodyTooLarge, "the body is over the limit" };
  }
  if (aCode == http::error::header_limit) {
    return read_failure{ 431, http_server_refusal::kHeaderTooLarge,
                         "the header is over the limit" };
  }
  if (aCode == beast::error::timeout) {
    return read_failure{ 408, http_server_refusal::kTimeout,
                         "the request took too long to arrive" };
  }
  const bool malformed =
    aCode.category() == http::make_error_code(http::error::bad_version).category();
  const bool cut = aCode == http::error::end_of_stream || aCode == http::error::partial_message;
  if (malformed && !cut) {
    return read_failure{ 400, http_server_refusal::kMalformed, "the request is no valid HTTP/1.1" };
  }
  return std::nullopt;
}

wire_response ToWire(const http_response& aResponse, bool aKeepAlive)
{
  wire_response wire;
  wire.version(kHttp11);
  wire.result(aResponse.mStatus);
  ToBeast(aResponse.mHeaders, wire);
  wire.body() = aResponse.mBody;
  wire.prepare_payload();
  if (aResponse.mTruncateAt) {
    wire.body().resize(std::min(*aResponse.mTruncateAt, wire.body().size()));
  }
  wire.keep_alive(aKeepAlive);
  return wire;
}

// Cancels the reads of a stream after a time limit. The built-in timeout of beast::tcp_stream
// cannot be used: it closes the socket, so that the error response could not be sent.
class read_time_limit
{
public:
  read_time_limit(beast::tcp_stream& aStream, milliseconds aLimit)
    : mTimer(aStream.get_executor(), aLimit)
    , mGuard(std::make_shared<guard>())
  {
    aStream.expires_never();
    mGuard->mStream = &aStream;
    mTimer.async_wait([guard = mGuard](beast::error_code aCode) {
      if (!aCode && guard->mStream != nullptr) {
        guard->mHasExpired = true;
        guard->mStream->cancel();
      }
    });
  }

  // The handler of the timer may already be queued; clearing the pointer keeps it off the stream.
  ~read_time_limit() { mGuard->mStream = nullptr; }

  read_time_limit(const read_time_limit&) = delete;
  read_time_limit& operator=(const read_time_limit&) = delete;

  // Returns beast::error::timeout for a read that failed because of the time limit.
  beast::error_code TimeoutIfExpired(beast::error_code aCode) const
  {
    return aCode && mGuard->mHasExpired ? make_error_code(beast::error::timeout) : aCode;
  }

private:
  struct guard
  {
    beast::tcp_stream* mStream = nullptr;
    bool mHasExpired = false;
  };

  asio::steady_timer mTimer;
  std::shared_ptr<guard> mGuard;
};

class beast_chunk_writer : public http_chunk_writer
{
public:
  beast_chunk_writer(beast::tcp_stream& aStream, milliseconds aTimeout)
    : mStream(aStream)
    , mTimeout(aTimeout)
  {
  }

  bool Write(std::string_view aPiece) override
  {
    return WriteBuffers(http::make_chunk(asio::buffer(aPiece)));
  }

  bool Finish() { return WriteBuffers(http::make_chunk_last()); }

private:
  template<class Buffers>
  bool WriteBuffers(const Buffers& aBuffers)
  {
    mStream.expires_after(mTimeout);
    const auto [code, bytes] = Await<std::size_t>(
      [&](auto aHandler) { asio::async_write(mStream, aBuffers, std::move(aHandler)); });
    return !code;
  }

  beast::tcp_stream& mStream;
  milliseconds mTimeout;
};

} // namespace

struct http_session::state
{
  state(tcp::socket aSocket, const http_session_shared& aShared)
    : mShared(aShared)
    , mStream(std::move(aSocket))
  {
    beast::error_code ignored;
    mStream.socket().set_option(tcp::no_delay(true), ignored);
  }

  // Waits for the first byte of the next request. Returns false when the client closes the
  // connection or the idle timeout passes.
  bool WaitForRequest()
  {
    if (mBuffer.size() > 0) {
      return true;
    }
    mStream.expires_after(mShared.mLimits.mIdleTimeout);
    const auto [code, bytes] = Await<std::size_t>([&](auto aHandler) {
      mStream.async_read_some(mBuffer.prepare(kFirstReadBytes), std::move(aHandler));
    });
    mBuffer.commit(bytes);
    return !code;
  }

  beast::error_code Read(request_parser& aParser)
  {
    aParser.body_limit(mShared.mLimits.mBodyBytes);
    aParser.header_limit(static_cast<std::uint32_t>(mShared.mLimits.mHeaderBytes));
    beast::error_code code = ReadHeader(aParser);
    if (!code && beast::iequals(aParser.get()[http::field::expect], "100-continue")) {
      mStream.expires_after(mShared.mLimits.mWriteTimeout);
      code = WriteContinue();
    }
    return code ? code : ReadBody(aParser);
  }

  beast::error_code ReadHeader(request_parser& aParser)
  {
    const read_time_limit limit(mStream, mShared.mLimits.mHeaderTimeout);
    const auto [code, bytes] = Await<std::size_t>([&](auto aHandler) {
      http::async_read_header(mStream, mBuffer, aParser, std::move(aHandler));
    });
    return limit.TimeoutIfExpired(code);
  }

  beast::error_code ReadBody(request_parser& aParser)
  {
    const read_time_limit limit(mStream, mShared.mLimits.mBodyTimeout);
    const auto [code, bytes] = Await<std::size_t>(
      [&](auto aHandler) { http::async_read(mStream, mBuffer, aParser, std::move(aHandler)); });
    return limit.TimeoutIfExpired(code);
  }

  beast::error_code WriteContinue()
  {
    const http::response<http::empty_body> continueResponse(http::status::continue_, kHttp11);
    const auto [code, bytes] = Await<std::size_t>(
      [&](auto aHandler) { http::async_write(mStream, continueResponse, std::move(aHandler)); });
    return code;
  }

  // Calls the handler and writes the response. Returns whether the connection may carry another
  // request.
  bool RespondTo(request_parser& aParser)
  {
    const bool keepAlive = aParser.keep_alive();
    auto message = aParser.release();
    http_request request;
    request.mMethod = std::string(message.method_string());
    request.mTarget = std::string(message.target());
    request.mHeaders = FromBeast(message);
    request.mBody = std::move(message.body());

    const std::optional<http_response> response = CallHandler(request);
    if (!response || response->mDrop) {
      return false;
    }
    if (response->mStream) {
      return WriteStream(*response);
    }
    return Write(*response, keepAlive && !mShared.mStopping);
  }

  // An exception in the handler ends only the connection of its request, not the server. The
  // connection is closed without a response, since no status says that the outcome is unknown.
  std::optional<http_response> CallHandler(const http_request& aRequest)
  {
    try {
      return mShared.mHandler(aRequest);
    } catch (const std::exception&) {
      mShared.NotifyRefusal(http_server_refusal::kHandlerFailed);
      return std::nullopt;
    }
  }

  bool Write(const http_response& aResponse, bool aKeepAlive)
  {
    const wire_response wire = ToWire(aResponse, aKeepAlive);
    beast::error_code failed;
    for (unsigned copy = 0; copy < aResponse.mCopies && !failed; ++copy) {
      mStream.expires_after(mShared.mLimits.mWriteTimeout);
      const auto [code, bytes] = Await<std::size_t>(
        [&](auto aHandler) { http::async_write(mStream, wire, std::move(aHandler)); });
      failed = code;
    }
    return !failed && aKeepAlive && !aResponse.mTruncateAt;
  }

  bool WriteStream(const http_response& aResponse)
  {
    http::response<http::empty_body> wire;
    wire.version(kHttp11);
    wire.result(aResponse.mStatus);
    ToBeast(aResponse.mHeaders, wire);
    wire.chunked(true);
    http::response_serializer<http::empty_body> serializer(wire);
    mStream.expires_after(mShared.mLimits.mWriteTimeout);
    const auto [code, bytes] = Await<std::size_t>(
      [&](auto aHandler) { http::async_write_header(mStream, serializer, std::move(aHandler)); });
    if (code) {
      return false;
    }
    beast_chunk_writer writer(mStream, mShared.mLimits.mWriteTimeout);
    aResponse.mStream(writer);
    return writer.Finish() && !mShared.mStopping;
  }

  void SendErrorResponse(beast::error_code aCode)
  {
    const std::optional<read_failure> failure = ClassifyFailure(aCode);
    if (!failure) {
      return;
    }
    mShared.NotifyRefusal(failure->mRefusal);
    const error_kind kind = failure->mStatus == 413 ? error_kind::kTooLarge : error_kind::kInvalid;
    Write(ErrorResponse(failure->mStatus, { kind, "request", failure->mWhat }), false);
    Linger();
  }

  // Discards input for a short time after an error response. Closing a socket with unread bytes
  // resets the connection, and the client may lose a response that it has not read yet.
  void Linger()
  {
    beast::error_code ignored;
    mStream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    mStream.expires_after(kLingerTimeout);
    std::size_t discarded = 0;
    beast::error_code failed;
    while (!failed && discarded < kMaxLingerBytes) {
      mBuffer.clear();
      const auto [code, bytes] = Await<std::size_t>([&](auto aHandler) {
        mStream.async_read_some(mBuffer.prepare(std::size_t{ 64 } << 10U), std::move(aHandler));
      });
      failed = code;
      discarded += bytes;
    }
  }

  const http_session_shared& mShared;
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  bool mBusy = false;
};

http_session::http_session(tcp::socket aSocket, const http_session_shared& aShared)
  : mState(std::make_unique<state>(std::move(aSocket), aShared))
{
}

http_session::~http_session() = default;

void http_session::Run()
{
  bool keepOpen = true;
  while (keepOpen && mState->WaitForRequest()) {
    mState->mBusy = true;
    request_parser parser;
    const beast::error_code failed = mState->Read(parser);
    if (failed) {
      mState->SendErrorResponse(failed);
      keepOpen = false;
    } else {
      keepOpen = mState->RespondTo(parser);
    }
    mState->mBusy = false;
  }
  Abort();
}

bool http_session::IsBusy() const
{
  return mState->mBusy;
}

void http_session::CloseIfIdle()
{
  beast::error_code code;
  const bool hasPendingInput = mState->mStream.socket().available(code) > 0;
  if (!mState->mBusy && !hasPendingInput) {
    Abort();
  }
}

void http_session::Abort()
{
  beast::error_code ignored;
  mState->mStream.socket().close(ignored);
}

} // namespace briarwind
