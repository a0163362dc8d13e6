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

constexpr std::string_view kPlace = "peer";
constexpr nng_duration kLeastReconnectMs = 50;
constexpr nng_duration kMostReconnectMs = 1'000;
constexpr std::size_t kMostMessageBytes = std::size_t{ 8 } << 20U;

std::string Url(const endpoint& aEndpoint)
{
  return "tcp://" + ToString(aEndpoint);
}

// One asynchronous operation of nng that a fiber waits for. nng calls back in a thread of its own,
// from where the wake-up is handed over to the runtime's thread.
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
    const auto left = std::chrono::ceil<milliseconds>(aDeadline - monotonic_clock::now());
    nng_aio_set_timeout(mOperation,
                        static_cast<nng_duration>(std::max<milliseconds::rep>(left.count(), 0)));
  }

  // Suspends until the operation has ended; returns its error of nng.
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

  asio::io_context& mContext; // lives as long as its thread
  nng_aio* mOperation = nullptr;
  fiber_signal mSignal;
};

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

nng_msg* MessageOf(const std::string& aBytes)
{
  nng_msg* message = nullptr;
  nng_msg_alloc(&message, 0);
  nng_msg_append(message, aBytes.data(), aBytes.size());
  return message;
}

std::string TakeBytes(nng_aio* aOperation)
{
  nng_msg* message = nng_aio_get_msg(aOperation);
  std::string bytes(static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message));
  nng_msg_free(message);
  return bytes;
}

io_result<std::string> Failure(error_kind aKind, int aCode)
{
  return IoError(aKind, std::string(kPlace), nng_strerror(aCode));
}

// Sends one message; nng keeps it only when that works.
int Send(nng_ctx aContext, nng_wait& aWait, const std::string& aBytes)
{
  nng_aio_set_msg(aWait.Operation(), MessageOf(aBytes));
  nng_ctx_send(aContext, aWait.Operation());
  const int code = aWait.Wait();
  if (code != 0) {
    nng_msg_free(nng_aio_get_msg(aWait.Operation()));
  }
  return code;
}

// Takes and answers requests until the socket is closed, which may be long gone by then.
void Serve(nng_ctx aContext, asio::io_context& aExecutor,
           const nng_listener_socket::handler& aAnswer)
{
  nng_wait wait(aExecutor);
  for (;;) {
    nng_ctx_recv(aContext, wait.Operation());
    const int received = wait.Wait();
    if (received == NNG_ECLOSED) {
      return;
    }
    if (received == 0) {
      Send(aContext, wait, aAnswer(TakeBytes(wait.Operation())));
    }
  }
}

endpoint BoundEndpoint(const endpoint& aAt, nng_listener aListener)
{
  nng_sockaddr address{};
  nng_listener_get_addr(aListener, NNG_OPT_LOCADDR, &address);
  endpoint bound = aAt;
  bound.mPort =
    ntohs(address.s_family == NNG_AF_INET6 ? address.s_in6.sa_port : address.s_in.sa_port);
  return bound;
}

} // namespace

nng_peer::nng_peer(fiber_runtime& aRuntime, const endpoint& aPeer)
  : mContext(aRuntime.Context())
  , mOpened(nng_req0_open(&mSocket))
{
  if (mOpened != 0) {
    return;
  }
  nng_socket_set_ms(mSocket, NNG_OPT_RECONNMINT, kLeastReconnectMs);
  nng_socket_set_ms(mSocket, NNG_OPT_RECONNMAXT, kMostReconnectMs);
  nng_socket_set_ms(mSocket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
  nng_socket_set_size(mSocket, NNG_OPT_RECVMAXSZ, kMostMessageBytes);
  mOpened = nng_dial(mSocket, Url(aPeer).c_str(), nullptr, NNG_FLAG_NONBLOCK);
}

nng_peer::~nng_peer()
{
  nng_close(mSocket);
}

io_result<std::string> nng_peer::Exchange(const std::string& aBytes, instant aDeadline)
{
  nng_ctx context{};
  const int opened = mOpened != 0 ? mOpened : nng_ctx_open(&context, mSocket);
  if (opened != 0) {
    return Failure(error_kind::kUnavailable, opened);
  }
  const context_closer closer(context);
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
  return TakeBytes(wait.Operation());
}

nng_listener_socket::nng_listener_socket(fiber_runtime& aRuntime, const endpoint& aAt,
                                         std::size_t aContexts, const handler& aHandler)
{
  nng_listener listener{};
  int code = nng_rep0_open(&mSocket);
  if (code == 0) {
    nng_socket_set_size(mSocket, NNG_OPT_RECVMAXSZ, kMostMessageBytes);
    code = nng_listen(mSocket, Url(aAt).c_str(), &listener, 0);
  }
  if (code != 0) {
    throw std::system_error(std::make_error_code(std::errc::address_in_use),
                            Url(aAt) + ": " + nng_strerror(code));
  }
  mListening = BoundEndpoint(aAt, listener);
  for (std::size_t i = 0; i < aContexts; ++i) {
    nng_ctx context{};
    nng_ctx_open(&context, mSocket);
    aRuntime.Spawn(
      [context, aHandler, &executor = aRuntime.Context()] { Serve(context, executor, aHandler); });
  }
}

nng_listener_socket::~nng_listener_socket()
{
  nng_close(mSocket);
}

} // namespace briarwind
