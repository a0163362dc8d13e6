#include "peer_nng.h"

#include "await.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

#include <algorithm>
#include <system_error>

#include <arpa/inet.h>

namespace briarwind {

namespace asio = boost::asio;

namespace {

constexpr std::string_view kErrorOrigin = "peer";
constexpr nng_duration kMinReconnectMs = 50;
constexpr nng_duration kMaxReconnectMs = 1'000;
constexpr std::size_t kMaxMessageBytes = std::size_t{ 8 } << 20U;

std::string Url(const endpoint& aEndpoint)
{
  return "tcp://" + ToString(aEndpoint);
}

// An asynchronous nng operation that one fiber waits for. nng runs the callback in a thread of its
// own, so the callback posts the wake-up of the fiber to the runtime's thread.
class nng_wait
{
public:
  explicit nng_wait(asio::io_context& aContext)
    : mContext(aContext)
  {
    nng_aio_alloc(&mOperation, &nng_wait::OnDone, this);
  }

  ~nng_wait() { nng_aio_free(mOperation); }
  nng_wait(const nng_wait&) = delete;
  nng_wait& operator=(const nng_wait&) = delete;

  nng_aio* Operation() { return mOperation; }

  void SetTimeout(instant aDeadline)
  {
    const auto remaining = std::chrono::ceil<milliseconds>(aDeadline - monotonic_clock::now());
    nng_aio_set_timeout(
      mOperation, static_cast<nng_duration>(std::max<milliseconds::rep>(remaining.count(), 0)));
  }

  // Suspends the fiber until the operation has ended and returns its nng error code, 0 on success.
  int Wait()
  {
    mSignal.Wait();
    mSignal = fiber_signal();
    return nng_aio_result(mOperation);
  }

private:
  static void OnDone(void* aSelf)
  {
    auto* self = static_cast<nng_wait*>(aSelf);
    asio::post(self->mContext, [self] { self->mSignal.Notify(); });
  }

  asio::io_context& mContext; // lives as long as the runtime's thread
  nng_aio* mOperation = nullptr;
  fiber_signal mSignal;
};

// Closes an nng context at the end of a scope.
struct context_closer
{
  explicit context_closer(nng_ctx aContext)
    : mContext(aContext)
  {
  }
  ~context_closer() { nng_ctx_close(mContext); }
  context_closer(const context_closer&) = delete;
  context_closer& operator=(const context_closer&) = delete;
  nng_ctx mContext;
};

nng_msg* MakeMessage(const std::string& aBytes)
{
  nng_msg* message = nullptr;
  nng_msg_alloc(&message, 0);
  nng_msg_append(message, aBytes.data(), aBytes.size());
  return message;
}

// Returns the bytes of a received message and frees the message.
std::string ConsumeMessage(nng_aio* aOperation)
{
  nng_msg* message = nng_aio_get_msg(aOperation);
  std::string bytes(static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message));
  nng_msg_free(message);
  return bytes;
}

io_result<std::string> Failure(error_kind aKind, int aCode)
{
  return IoError(aKind, std::string(kErrorOrigin), nng_strerror(aCode));
}

// Sends one message and returns the nng error code. nng takes ownership of the message only on
// success.
int Send(nng_ctx aContext, nng_wait& aWait, const std::string& aBytes)
{
  nng_aio_set_msg(aWait.Operation(), MakeMessage(aBytes));
  nng_ctx_send(aContext, aWait.Operation());
  const int code = aWait.Wait();
  if (code != 0) {
    nng_msg_free(nng_aio_get_msg(aWait.Operation()));
  }
  return code;
}

// Receives and answers messages until the socket is closed. The nng_listener_socket object may have
// been destroyed by then.
void ServeMessages(nng_ctx aContext, asio::io_context& aExecutor,
                   const nng_listener_socket::handler& aHandler)
{
  nng_wait wait(aExecutor);
  for (;;) {
    nng_ctx_recv(aContext, wait.Operation());
    const int received = wait.Wait();
    if (received == NNG_ECLOSED) {
      return;
    }
    if (received == 0) {
      Send(aContext, wait, aHandler(ConsumeMessage(wait.Operation())));
    }
  }
}

endpoint BoundEndpoint(const endpoint& aListen, nng_listener aListener)
{
  nng_sockaddr address{};
  nng_listener_get_addr(aListener, NNG_OPT_LOCADDR, &address);
  endpoint bound = aListen;
  bound.mPort =
    ntohs(address.s_family == NNG_AF_INET6 ? address.s_in6.sa_port : address.s_in.sa_port);
  return bound;
}

} // namespace

nng_peer::nng_peer(fiber_runtime& aRuntime, const endpoint& aPeer)
  : mContext(aRuntime.Context())
  , mOpenError(nng_req0_open(&mSocket))
{
  if (mOpenError != 0) {
    return;
  }
  nng_socket_set_ms(mSocket, NNG_OPT_RECONNMINT, kMinReconnectMs);
  nng_socket_set_ms(mSocket, NNG_OPT_RECONNMAXT, kMaxReconnectMs);
  nng_socket_set_ms(mSocket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
  nng_socket_set_size(mSocket, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
  mOpenError = nng_dial(mSocket, Url(aPeer).c_str(), nullptr, NNG_FLAG_NONBLOCK);
}

nng_peer::~nng_peer()
{
  nng_close(mSocket);
}

io_result<std::string> nng_peer::Exchange(const std::string& aBytes, instant aDeadline)
{
  nng_ctx context{};
  const int openError = mOpenError != 0 ? mOpenError : nng_ctx_open(&context, mSocket);
  if (openError != 0) {
    return Failure(error_kind::kUnavailable, openError);
  }
  const context_closer contextCloser(context);
  nng_wait wait(mContext);
  wait.SetTimeout(aDeadline);
  if (const int sent = Send(context, wait, aBytes); sent != 0) {
    return Failure(error_kind::kUnavailable, sent);
  }
  wait.SetTimeout(aDeadline);
  nng_ctx_recv(context, wait.Operation());
  if (const int received = wait.Wait(); received != 0) {
    return Failure(error_kind::kUnknownOutcome, received);
  }
  return ConsumeMessage(wait.Operation());
}

nng_listener_socket::nng_listener_socket(fiber_runtime& aRuntime, const endpoint& aListen,
                                         std::size_t aContexts, const handler& aHandler)
{
  nng_listener listener{};
  int code = nng_rep0_open(&mSocket);
  if (code == 0) {
    nng_socket_set_size(mSocket, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
    code = nng_listen(mSocket, Url(aListen).c_str(), &listener, 0);
  }
  if (code != 0) {
    throw std::system_error(std::make_error_code(std::errc::address_in_use),
                            Url(aListen) + ": " + nng_strerror(code));
  }
  mListening = BoundEndpoint(aListen, listener);
  for (std::size_t i = 0; i < aContexts; ++i) {
    nng_ctx context{};
    nng_ctx_open(&context, mSocket);
    aRuntime.Spawn([context, aHandler, &executor = aRuntime.Context()] {
      ServeMessages(context, executor, aHandler);
    });
  }
}

nng_listener_socket::~nng_listener_socket()
{
  nng_close(mSocket);
}

} // namespace briarwind
