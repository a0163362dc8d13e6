#include "briarwind/peer_link.h"
#include "briarwind/testing.h"

using namespace briarwind;

namespace {

constexpr seconds kTestTimeout{ 10 };

wire::PeerRequest FreshnessRequest(std::int64_t aHeld)
{
  wire::PeerRequest request;
  request.mutable_freshness()->set_held(aHeld);
  return request;
}

instant TestDeadline()
{
  return monotonic_clock::now() + kTestTimeout;
}

} // namespace

// Guards against answers that reach the wrong request and against failures that are reported as the
// wrong kind: a slow and a fast request share one connection, a request has no handler, and a peer
// does not listen.
BW_STORY("a peer link between two processes")
{
  fiber_runtime runtime;
  metrics counters;
  peer_link server(runtime, "server", counters);
  peer_link client(runtime, "client", counters);
  const endpoint listening = server.Listen({ "127.0.0.1", 0 });
  server.SetHandler(wire::PeerRequest::kFreshness, [](const wire::PeerRequest& aRequest) {
    SleepFor(milliseconds(aRequest.freshness().held() == 1 ? 50 : 0));
    wire::PeerAnswer answer;
    answer.mutable_freshness()->set_member(aRequest.from());
    answer.mutable_freshness()->set_held(aRequest.freshness().held());
    return answer;
  });
  BW_SECTION("matches answers to requests that complete out of order")
  {
    std::int64_t slow = 0;
    runtime.Spawn([&] {
      slow = client.SendRequest(listening, FreshnessRequest(1), TestDeadline())
               .value()
               .freshness()
               .held();
    });
    const auto fast = client.SendRequest(listening, FreshnessRequest(2), TestDeadline());
    BW_EQUAL(std::int64_t{ 2 }, fast.value().freshness().held());
    BW_EQUAL(std::string("client"), fast.value().freshness().member());
    while (slow == 0) {
      SleepFor(milliseconds(1));
    }
    BW_EQUAL(std::int64_t{ 1 }, slow);
  }
  BW_SECTION("rejects a request without a handler")
  {
    const auto refused = client.SendRequest(listening, wire::PeerRequest(), TestDeadline());
    BW_CHECK(!refused.has_value());
    BW_CHECK(refused.error().mKind == error_kind::kInvalid);
  }
  BW_SECTION("reports a peer that cannot be reached as unavailable")
  {
    const auto unreached = client.SendRequest({ "127.0.0.1", 1 }, FreshnessRequest(3),
                                              monotonic_clock::now() + milliseconds(50));
    BW_CHECK(!unreached.has_value());
    BW_CHECK(unreached.error().mKind == error_kind::kUnavailable);
  }
}
