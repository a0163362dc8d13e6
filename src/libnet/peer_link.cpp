#include "briarwind/peer_link.h"

#include "briarwind/settings_events.h"
#include "peer_nng.h"

#include <array>
#include <map>
#include <utility>
#include <vector>

namespace briarwind {

namespace {

constexpr std::string_view kErrorOrigin = "peer";
// Number of requests that a process handles at the same time. Further requests wait in their
// connections.
constexpr std::size_t kMaxConcurrentRequests = 32;

std::string_view KindName(wire::PeerRequest::BodyCase aKind)
{
  static constexpr std::array<std::string_view, 3> kNames{ "none", "", "freshness" };
  const auto index = static_cast<std::size_t>(aKind);
  return index < kNames.size() ? kNames.at(index) : "other";
}

} // namespace

struct peer_link::state : std::enable_shared_from_this<peer_link::state>
{
  state(fiber_runtime& aRuntime, std::string aSelf, metrics& aMetrics)
    : mRuntime(aRuntime)
    , mSelf(std::move(aSelf))
    , mMetrics(aMetrics)
  {
  }

  nng_peer& GetOrCreatePeer(const endpoint& aPeer);
  std::string HandleMessage(const std::string& aBytes);
  io_result<wire::PeerAnswer> SendRequest(const endpoint& aPeer, wire::PeerRequest aRequest,
                                          instant aDeadline);

  fiber_runtime& mRuntime;
  std::string mSelf;
  metrics& mMetrics;
  std::map<request_kind, peer_handler> mHandlers;
  std::map<endpoint, std::unique_ptr<nng_peer>> mPeers;
  std::unique_ptr<nng_listener_socket> mListener;
};

nng_peer& peer_link::state::GetOrCreatePeer(const endpoint& aPeer)
{
  std::unique_ptr<nng_peer>& peer = mPeers[aPeer];
  if (!peer) {
    peer = std::make_unique<nng_peer>(mRuntime, aPeer);
  }
  return *peer;
}

std::string peer_link::state::HandleMessage(const std::string& aBytes)
{
  wire::PeerRequest request;
  wire::PeerAnswer answer;
  if (!request.ParseFromString(aBytes)) {
    mMetrics.Count(kPeerFailures, "malformed");
    answer.set_refusal("malformed");
    return answer.SerializeAsString();
  }
  mMetrics.Count(kPeerMessages, KindName(request.body_case()));
  const auto handler = mHandlers.find(request.body_case());
  if (handler == mHandlers.end()) {
    mMetrics.Count(kPeerFailures, "unhandled");
    answer.set_refusal("unhandled");
    return answer.SerializeAsString();
  }
  return handler->second(request).SerializeAsString();
}

io_result<wire::PeerAnswer> peer_link::state::SendRequest(const endpoint& aPeer,
                                                          wire::PeerRequest aRequest,
                                                          instant aDeadline)
{
  aRequest.set_from(mSelf);
  mMetrics.Count(kPeerMessages, KindName(aRequest.body_case()));
  auto bytes = GetOrCreatePeer(aPeer).Exchange(aRequest.SerializeAsString(), aDeadline);
  if (!bytes) {
    mMetrics.Count(kPeerFailures, ToString(bytes.error().mKind));
    return boost::outcome_v2::failure(std::move(bytes).error());
  }
  wire::PeerAnswer answer;
  if (!answer.ParseFromString(bytes.value())) {
    mMetrics.Count(kPeerFailures, "malformed");
    return IoError(error_kind::kUnknownOutcome, std::string(kErrorOrigin), "malformed answer");
  }
  if (!answer.refusal().empty()) {
    mMetrics.Count(kPeerFailures, "refused");
    return IoError(error_kind::kInvalid, std::string(kErrorOrigin), answer.refusal());
  }
  return answer;
}

peer_link::peer_link(fiber_runtime& aRuntime, std::string aSelf, metrics& aMetrics)
  : mState(std::make_shared<state>(aRuntime, std::move(aSelf), aMetrics))
{
}

peer_link::~peer_link() = default;

endpoint peer_link::Listen(const endpoint& aListen)
{
  const std::weak_ptr<state> weak = mState;
  mState->mListener = std::make_unique<nng_listener_socket>(
    mState->mRuntime, aListen, kMaxConcurrentRequests, [weak](const std::string& aBytes) {
      const std::shared_ptr<state> self = weak.lock();
      return self ? self->HandleMessage(aBytes) : std::string();
    });
  return mState->mListener->Listening();
}

void peer_link::SetHandler(request_kind aKind, peer_handler aHandler)
{
  mState->mHandlers[aKind] = std::move(aHandler);
}

io_result<wire::PeerAnswer> peer_link::SendRequest(const endpoint& aPeer,
                                                   wire::PeerRequest aRequest, instant aDeadline)
{
  const std::shared_ptr<state> self = mState;
  return self->SendRequest(aPeer, std::move(aRequest), aDeadline);
}

void peer_link::SendOneWay(const endpoint& aPeer, wire::PeerRequest aRequest, milliseconds aTimeout)
{
  const instant deadline = monotonic_clock::now() + aTimeout;
  mState->mRuntime.Spawn([self = mState, aPeer, request = std::move(aRequest), deadline] {
    static_cast<void>(self->SendRequest(aPeer, request, deadline));
  });
}

} // namespace briarwind
