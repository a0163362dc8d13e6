#include "router_link.h"

#include "router_messages.h"

#include "libnet/peer_nng.h"

#include <map>
#include <optional>
#include <utility>

namespace briarwind {

namespace {

constexpr milliseconds kTellTimeout{ 500 };
constexpr std::size_t kRequestsAtOnce = 64;

endpoint LinkAddress(endpoint aPeer)
{
  ++aPeer.mPort;
  return aPeer;
}

} // namespace

// Shared with the fibers of requests under way.
struct router_link::state
{
  state(fiber_runtime& aRuntime, const endpoint& aSelf, handlers aHandlers)
    : mRuntime(aRuntime)
    , mHandlers(std::move(aHandlers))
    , mListener(aRuntime, LinkAddress(aSelf), kRequestsAtOnce,
                [this](const std::string& aBytes) { return Answer(aBytes); })
  {
  }

  std::string Answer(const std::string& aBytes)
  {
    const auto message = Settle([&] { return DecodeMessage(aBytes); });
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
    const auto address = Settle([&] { return ParseEndpoint(aMember); });
    if (!address) {
      return boost::outcome_v2::failure(address.error());
    }
    auto& peer = mPeers[aMember];
    if (!peer) {
      peer = std::make_shared<nng_peer>(mRuntime, LinkAddress(address.value()));
    }
    const std::shared_ptr<nng_peer> kept = peer;
    return kept->Exchange(aBytes, aDeadline);
  }

  fiber_runtime& mRuntime;
  handlers mHandlers;
  std::map<std::string, std::shared_ptr<nng_peer>> mPeers;
  nng_listener_socket mListener;
};

router_link::router_link(fiber_runtime& aRuntime, const endpoint& aSelf, handlers aHandlers)
  : mState(std::make_shared<state>(aRuntime, aSelf, std::move(aHandlers)))
{
}

router_link::~router_link() = default;

void router_link::Tell(const std::string& aMember, const router_report& aReport)
{
  mState->mRuntime.Spawn([self = mState, member = aMember, bytes = Encode(aReport)] {
    // A report that is lost is followed by the next one.
    (void)self->Exchange(member, bytes, monotonic_clock::now() + kTellTimeout);
  });
}

io_result<claim_verdict> router_link::Ask(const std::string& aMember, const claim_request& aRequest,
                                          instant aDeadline)
{
  const auto answer = mState->Exchange(aMember, Encode(aRequest), aDeadline);
  if (!answer) {
    return boost::outcome_v2::failure(answer.error());
  }
  return Settle([&] { return DecodeVerdict(answer.value()); });
}

} // namespace briarwind
