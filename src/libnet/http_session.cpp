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
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
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
constexpr std::size_t kBodyReadBytes = std::size_t{ 16 } << 10U;
// A body in chunks of one byte takes 6 bytes for each, or 13 with the chunk size at full width.
constexpr std::size_t kMaxFramingFactor = 16;
constexpr std::size_t kMaxLingerBytes = std::size_t{ 16 } << 20U;
constexpr milliseconds kLingerTimeout{ 1'000 };
constexpr std::string_view kRetryAfterSeconds = "1";

// The error response to a request that could not be read, and the reason to count it under.
struct read_failure
{
  unsigned mStatus;
  http_server_refusal mRefusal;
  const char* mWhat;
};

// The byte budget has no room for an announced body, or has closed the connection.
const beast::error_code kNotAdmitted = asio::error::no_memory;
const beast::error_code kCutOff = asio::error::no_buffer_space;

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
  if (aCode == http::error::buffer_overflow) {
    return read_failure{ 431, http_server_refusal::kFramingTooLarge,
                         "chunk extensions or trailers are over the limit" };
  }
  if (aCode == kNotAdmitted) {
    return read_failure{ 503, http_server_refusal::kOverBudget,
                         "too many bytes are being read; the request has not run" };
  }
  if (aCode == kCutOff) {
    return read_failure{ 503, http_server_refusal::kCutOffOverBudget,
                         "the request was cut off to free memory; it has not run" };
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

wire_response ToWire(http_response& aResponse, bool aKeepAlive)
{
  wire_response wire;
  wire.version(kHttp11);
  wire.result(aResponse.mStatus);
  ToBeast(aResponse.mHeaders, wire);
  wire.body() = std::move(aResponse.mBody);
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
    , mBudget(aShared.mBudget)
    , mStream(std::move(aSocket))
    // A header at its limit fits, and so does a chunk header or a trailer of the same length.
    , mBuffer(aShared.mLimits.mHeaderBytes + kFirstReadBytes)
    , mFinishedAt(monotonic_clock::now())
  {
    beast::error_code ignored;
    mPeer = mStream.socket().remote_endpoint(ignored).address().to_string();
    mHolder.mClose = [this] { mStream.cancel(); };
    mBudget->Join(mHolder);
    mStream.socket().set_option(tcp::no_delay(true), ignored);
  }

  ~state() { mBudget->Leave(mHolder); }
  state(const state&) = delete;
  state& operator=(const state&) = delete;

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
    aParser.body_limit(mShared.MaxBodyBytes());
    aParser.header_limit(static_cast<std::uint32_t>(mShared.mLimits.mHeaderBytes));
    beast::error_code code = ReadHeader(aParser);
    if (!code) {
      code = AdmitBody(aParser);
    }
    if (!code && beast::iequals(aParser.get()[http::field::expect], "100-continue")) {
      mStream.expires_after(mShared.mLimits.mWriteTimeout);
      code = WriteContinue();
    }
    return code ? code : ReadBody(aParser);
  }

  beast::error_code ReadHeader(request_parser& aParser)
  {
    const instant end = monotonic_clock::now() + mShared.mLimits.mHeaderTimeout;
    beast::error_code code;
    while (!code && !aParser.is_header_done()) {
      code = Parse(aParser);
      if (code == http::error::need_more) {
        code = ReadMore(kFirstReadBytes, TimeUntil(end));
      }
      code = code ? code : CountBytes(aParser);
    }
    return code;
  }

  // Refuses a large body before it is read if the budget has no room for its announced length.
  beast::error_code AdmitBody(const request_parser& aParser)
  {
    const auto announced = aParser.content_length();
    if (!announced || *announced == 0) {
      return {};
    }
    mAnnounced = static_cast<std::size_t>(*announced);
    const bool admitted =
      mBudget->Admit(mHolder, mBuffer.capacity() + mAnnounced, monotonic_clock::now());
    return admitted ? beast::error_code() : kNotAdmitted;
  }

  beast::error_code ReadBody(request_parser& aParser)
  {
    const instant end = monotonic_clock::now() + mShared.mLimits.mBodyTimeout;
    aParser.eager(true);
    beast::error_code code;
    std::size_t consumed = 0;
    while (!code && !aParser.is_done()) {
      const std::size_t buffered = mBuffer.size();
      code = buffered > 0 ? Parse(aParser) : make_error_code(http::error::need_more);
      consumed += buffered - mBuffer.size();
      if (code == http::error::need_more) {
        code = ReadMore(kBodyReadBytes, std::min(mShared.mLimits.mStallTimeout, TimeUntil(end)));
      }
      const std::size_t framing =
        kMaxFramingFactor * aParser.get().body().size() + mShared.mLimits.mHeaderBytes;
      if (!code && consumed > framing) {
        code = http::error::buffer_overflow;
      }
      code = code ? code : CountBytes(aParser);
    }
    return code;
  }

  beast::error_code Parse(request_parser& aParser)
  {
    beast::error_code code;
    mBuffer.consume(aParser.put(mBuffer.cdata(), code));
    return code;
  }

  // Reads what has arrived into the buffer, at most aBytes.
  beast::error_code ReadMore(std::size_t aBytes, milliseconds aTimeout)
  {
    const std::size_t room = std::min(aBytes, mBuffer.max_size() - mBuffer.size());
    if (room == 0) {
      return http::error::buffer_overflow;
    }
    const read_time_limit limit(mStream, aTimeout);
    const auto [code, bytes] = Await<std::size_t>(
      [&](auto aHandler) { mStream.async_read_some(mBuffer.prepare(room), std::move(aHandler)); });
    mBuffer.commit(bytes);
    mHolder.mLastProgress = monotonic_clock::now();
    if (mHolder.mWasClosed) {
      return kCutOff;
    }
    return limit.TimeoutIfExpired(code);
  }

  // Updates what this connection holds of the budget. Also detects that the budget closed it: a
  // read that had completed before is not cancelled.
  beast::error_code CountBytes(const request_parser& aParser)
  {
    const std::size_t body = std::max(mAnnounced, aParser.get().body().capacity());
    const bool hasRoom = !mHolder.mWasClosed &&
                         mBudget->Grow(mHolder, mBuffer.capacity() + body, monotonic_clock::now());
    return hasRoom ? beast::error_code() : kCutOff;
  }

  static milliseconds TimeUntil(instant aEnd)
  {
    return std::chrono::ceil<milliseconds>(
      std::max(aEnd - monotonic_clock::now(), duration::zero()));
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
    // Nobody waits for the response any more, and the client may have turned to another host.
    if (HasClientLeft()) {
      mShared.NotifyRefusal(http_server_refusal::kClientLeft, mPeer);
      return false;
    }
    http_request request;
    request.mWaited = std::chrono::floor<milliseconds>(BootNow() - mBegunAt + mUnreadFor);
    request.mMethod = std::string(message.method_string());
    request.mTarget = std::string(message.target());
    request.mHeaders = FromBeast(message);
    request.mBody = std::move(message.body());

    std::optional<http_response> response = CallHandler(request);
    if (!response || response->mDrop) {
      return false;
    }
    if (response->mStream) {
      return WriteStream(*response);
    }
    request.mBody = {};
    return Write(std::move(*response), keepAlive && !mShared.mStopping);
  }

  bool HasClientLeft()
  {
    char next = 0;
    const auto got =
      ::recv(mStream.socket().native_handle(), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno == ECONNRESET);
  }

  // An exception in the handler ends only the connection of its request, not the server. The
  // connection is closed without a response, since no status says that the outcome is unknown.
  std::optional<http_response> CallHandler(const http_request& aRequest)
  {
    try {
      return mShared.mHandler(aRequest);
    } catch (const std::exception&) {
      mShared.NotifyRefusal(http_server_refusal::kHandlerFailed, mPeer);
      return std::nullopt;
    }
  }

  bool Write(http_response aResponse, bool aKeepAlive)
  {
    const wire_response wire = ToWire(aResponse, aKeepAlive);
    mHolder.mSince = mHolder.mLastProgress = monotonic_clock::now();
    mHolder.mIsClosable = !mHolder.mWasClosed;
    mBudget->Charge(mHolder, mBuffer.capacity() + wire.body().capacity(), mHolder.mSince);
    beast::error_code failed;
    for (unsigned copy = 0; copy < aResponse.mCopies && !failed; ++copy) {
      mStream.expires_after(mShared.mLimits.mWriteTimeout);
      const auto [code, bytes] = Await<std::size_t>(
        [&](auto aHandler) { http::async_write(mStream, wire, std::move(aHandler)); });
      failed = code;
    }
    if (failed == beast::error::timeout) {
      mShared.NotifyRefusal(http_server_refusal::kWriteTimeout, mPeer);
    } else if (failed && mHolder.mWasClosed) {
      mShared.NotifyRefusal(http_server_refusal::kCutOffOverBudget, mPeer);
    }
    mHolder.mIsClosable = false;
    return !failed && !mHolder.mWasClosed && aKeepAlive && !aResponse.mTruncateAt;
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

  static error_kind KindOf(unsigned aStatus)
  {
    if (aStatus == 413) {
      return error_kind::kTooLarge;
    }
    return aStatus == 503 ? error_kind::kUnavailable : error_kind::kInvalid;
  }

  void SendErrorResponse(beast::error_code aCode)
  {
    const std::optional<read_failure> failure = ClassifyFailure(aCode);
    if (!failure) {
      return;
    }
    mShared.NotifyRefusal(failure->mRefusal, mPeer);
    http_response response =
      ErrorResponse(failure->mStatus, { KindOf(failure->mStatus), "request", failure->mWhat });
    if (failure->mStatus == 503) {
      response.mHeaders.Set("Retry-After", kRetryAfterSeconds);
    }
    Write(std::move(response), false);
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
        mStream.async_read_some(mBuffer.prepare(kFirstReadBytes), std::move(aHandler));
      });
      failed = code;
      discarded += bytes;
    }
  }

  void BeginRequest()
  {
    mBusy = true;
    mAnnounced = 0;
    mBegunAt = BootNow();
    mUnreadFor = mShared.mLimits.mUnreadFor ? mShared.mLimits.mUnreadFor() : duration(0);
    mHolder.mSince = mHolder.mLastProgress = monotonic_clock::now();
    mHolder.mIsClosable = true;
  }

  void EndRequest()
  {
    mHolder.mIsClosable = false;
    mBusy = false;
    mBuffer.shrink_to_fit();
    mBudget->Charge(mHolder, mBuffer.capacity(), monotonic_clock::now());
    mFinishedAt = monotonic_clock::now();
  }

  // Serves one request. Returns whether the connection may carry another one.
  bool ServeRequest()
  {
    // Freed before an error response is sent, which may take long.
    std::optional<request_parser> parser(std::in_place);
    const beast::error_code failed = Read(*parser);
    mHolder.mIsClosable = false;
    if (!failed) {
      return RespondTo(*parser);
    }
    parser.reset();
    mBudget->Charge(mHolder, mBuffer.capacity(), monotonic_clock::now());
    SendErrorResponse(failed);
    return false;
  }

  const http_session_shared& mShared;
  // Owned, since the destructor leaves it and may run after that of the server's state.
  std::shared_ptr<byte_budget> mBudget;
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  std::string mPeer;
  budget_holder mHolder;
  std::size_t mAnnounced = 0; // length of the body as announced in the header
  instant mFinishedAt;        // end of the last response, or when the connection was accepted
  boot_instant mBegunAt;      // when the first byte of the request was read
  duration mUnreadFor{ 0 };   // how long it may have waited before
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
    mState->BeginRequest();
    keepOpen = mState->ServeRequest();
    mState->EndRequest();
  }
  Abort();
}

bool http_session::IsBusy() const
{
  return mState->mBusy;
}

std::optional<instant> http_session::ReadingSince() const
{
  const bool isReading = mState->mBusy && mState->mHolder.mIsClosable;
  return isReading ? std::optional(mState->mHolder.mSince) : std::nullopt;
}

std::optional<instant> http_session::IdleSince() const
{
  return mState->mBusy ? std::nullopt : std::optional(mState->mFinishedAt);
}

bool http_session::IsOpen() const
{
  return mState->mStream.socket().is_open();
}

const std::string& http_session::Peer() const
{
  return mState->mPeer;
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
