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

/// Answers one request of a peer; runs in a fiber of its own and may suspend.
using peer_handler = std::function<wire::PeerAnswer(const wire::PeerRequest&)>;

/// Typed messages between the system's own processes, over nng. A connection to a peer is made when
/// the first message is sent to it.
class peer_link
{
public:
  using request_kind = wire::PeerRequest::BodyCase;

  /// @param aSelf id that goes with each message
  peer_link(fiber_runtime& aRuntime, std::string aSelf, metrics& aMetrics);
  ~peer_link();
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;

  /// Takes messages of peers; port 0 takes any free port. Returns where it listens. Throws
  /// std::system_error when it cannot bind.
  endpoint Listen(const endpoint& aAt);

  /// Sets what answers requests of one kind; the others are refused.
  void Handle(request_kind aKind, peer_handler aHandler);

  /// Sends a request and waits for the answer. kUnavailable: the peer was not reached and has seen
  /// nothing; kUnknownOutcome: it may have handled the request; kInvalid: it refused. After a
  /// broken connection a request may arrive twice.
  io_result<wire::PeerAnswer> Ask(const endpoint& aPeer, wire::PeerRequest aRequest,
                                  instant aDeadline);

  /// Sends a request whose answer nobody waits for; it is given up after aTimeout.
  void Tell(const endpoint& aPeer, wire::PeerRequest aRequest, milliseconds aTimeout);

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace briarwind
