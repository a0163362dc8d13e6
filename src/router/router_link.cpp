#include "router_link.h"

#include "router_messages.h"

#include "libnet/peer_nng.h"

#include <map>
#include <memory>
#include <system_error>
#include <utility>

namespace briarwind {

namespace {

constexpr milliseconds kReportTimeout{ 500 };
constexpr std::size_t kMaxConcurrentRequests = 64;

constexpr int kPortsToTry = 16;

using listener = std::unique_ptr<nng_listener_socket>;

// Listens on the first free port after that of aPeer; throws when kPortsToTry ports were taken.
listener ListenOnNextFreePort(fiber_runtime& aRuntime, endpoint aPeer,
                              const nng_listener_socket::handler& aHandler)
{
  for (int attempt = 1;; ++attempt) {
    ++aPeer.mPort;
    try {
      return std::make_unique<nng_listener_socket>(aRuntime, aPeer, kMaxConcurrentRequests,
                                                   aHandler);
    } catch (const std::system_error&) {
      if (attempt == kPortsToTry) {
        throw;
      }
    }
  }
}

} // namespace

endpoint DefaultLinkAddress(const std::string& aMember)
{
  auto address = ToIoResult([&] { return ParseEndpoint(aMember); });
  if (!address) {
    return {};
  }
  ++address.value().mPort;
  return address.value();
}

// Shared with the fibers whose messages are in flight.
struct router_link::state
{
  state(fiber_runtime& aRuntime, const endpoint& aSelf, handlers aHandlers, resolve_call aResolve)
    : mRuntime(aRuntime)
    , mHandlers(std::move(aHandlers))
    , mResolve(std::move(aResolve))
    , mListener(ListenOnNextFreePort(
        aRuntime, aSelf, [this](const std::string& aBytes) { return HandleMessage(aBytes); }))
  {
  }

  std::string HandleMessage(const std::string& aBytes)
  {
    const auto message = ToIoResult([&] { return DecodeMessage(aBytes); });
    if (!message) {
      return {};
    }
    if (const auto* report = std::get_if<router_report>(&message.value())) {
      mHandlers.mOnReport(*report);
      return {};
    }
    return Encode(mHandlers.mOnClaim(std::get<claim_request>(message.value())));
  }

  io_result<std::string> Exchange(const std::string& aMember, const std::string& aBytes,
                                  instant aDeadline)
  {
    std::shared_ptr<nng_peer> peer = mPeers[aMember];
    if (!peer) {
      peer = std::make_shared<nng_peer>(mRuntime, mResolve(aMember));
      mPeers[aMember] = peer;
    }
    auto answer = peer->Exchange(aBytes, aDeadline);
    if (!answer) {
      // The router may have restarted with its link on another port: resolve its address again.
      mPeers.erase(aMember);
    }
    return answer;
  }

  fiber_runtime& mRuntime;
  handlers mHandlers;
  resolve_call mResolve;
  std::map<std::string, std::shared_ptr<nng_peer>> mPeers;
  listener mListener;
};

router_link::router_link(fiber_runtime& aRuntime, const endpoint& aSelf, handlers aHandlers,
                         resolve_call aResolve)
  : mState(std::make_shared<state>(aRuntime, aSelf, std::move(aHandlers), std::move(aResolve)))
{
}

router_link::~router_link() = default;

endpoint router_link::Listening() const
{
  return mState->mListener->Listening();
}

void router_link::SendReport(const std::string& aMember, const router_report& aReport)
{
  mState->mRuntime.Spawn([link = mState, member = aMember, bytes = Encode(aReport)] {
    // An error is ignored: a later report replaces a lost one.
    (void)link->Exchange(member, bytes, monotonic_clock::now() + kReportTimeout);
  });
}

io_result<claim_verdict> router_link::SendClaim(const std::string& aMember,
                                                const claim_request& aRequest, instant aDeadline)
{
  const auto answer = mState->Exchange(aMember, Encode(aRequest), aDeadline);
  if (!answer) {
    return boost::outcome_v2::failure(answer.error());
  }
  return ToIoResult([&] { return DecodeVerdict(answer.value()); });
}

} // namespace briarwind
