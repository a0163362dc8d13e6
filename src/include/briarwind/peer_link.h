#pragma once

#include "briarwind/endpoint.h"
#include "briarwind/error.h"
#include "briarwind/fiber_runtime.h"
#include "briarwind/metrics.h"
#include "briarwind/time.h"
#include "libnet/peer.pb.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace briarwind {

/// Returns the answer to a request of a peer. Runs in a fiber of its own and may suspend it.
using peer_handler = std::function<wire::PeerAnswer(const wire::PeerRequest&)>;

/// Exchanges typed requests and answers between the members of the system, over nng. The connection
/// to a peer is opened when the first request is sent to it and stays open.
class peer_link
{
public:
  using request_kind = wire::PeerRequest::BodyCase;

  /// @param aSelf id of this member, sent along with each request
  peer_link(fiber_runtime& aRuntime, std::string aSelf, metrics& aMetrics);
  ~peer_link();
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;

  /// Starts to accept requests of peers and returns the bound address. Port 0 picks any free port.
  /// Throws std::system_error when the address cannot be bound.
  endpoint Listen(const endpoint& aListen);

  /// Sets the handler for requests of one kind. Requests of kinds without a handler are rejected.
  void SetHandler(request_kind aKind, peer_handler aHandler);

  /// Sends a request and waits for the answer. Fails with kUnavailable when the request was not
  /// sent, with kUnknownOutcome when the peer may have handled it, and with kInvalid when the peer
  /// rejected it. After a lost connection a request may arrive twice, so handlers have to be
  /// idempotent.
  io_result<wire::PeerAnswer> SendRequest(const endpoint& aPeer, wire::PeerRequest aRequest,
                                          instant aDeadline);

  /// Sends a request without waiting for the answer. The attempt ends after aTimeout.
  void SendOneWay(const endpoint& aPeer, wire::PeerRequest aRequest, milliseconds aTimeout);

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace briarwind
