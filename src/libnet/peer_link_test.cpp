#include "briarwind/peer_link.h"
#include "briarwind/testing.h"

using namespace briarwind;

namespace {

constexpr seconds kPatience{ 10 };

wire::PeerRequest FreshnessRequest(std::int64_t aHeld)
{
  wire::PeerRequest request;
  request.mutable_freshness()->set_held(aHeld);
  return request;
}

instant Soon()
{
  return monotonic_clock::now() + kPatience;
}

} // namespace

BW_STORY("two processes linked as peers")
{
  fiber_runtime runtime;
  metrics counters;
  peer_link server(runtime, "server", counters);
  peer_link client(runtime, "client", counters);
  const endpoint at = server.Listen({ "127.0.0.1", 0 });
  server.Handle(wire::PeerRequest::kFreshness, [](const wire::PeerRequest& aRequest) {
    SleepFor(milliseconds(aRequest.freshness().held() == 1 ? 50 : 0));
    wire::PeerAnswer answer;
    answer.mutable_freshness()->set_member(aRequest.from());
    answer.mutable_freshness()->set_held(aRequest.freshness().held());
    return answer;
  });
  BW_SECTION("answer each request with its own answer, also when they cross")
  {
    std::int64_t slow = 0;
    runtime.Spawn(
      [&] { slow = client.Ask(at, FreshnessRequest(1), Soon()).value().freshness().held(); });
    const auto fast = client.Ask(at, FreshnessRequest(2), Soon());
    BW_EQUAL(std::int64_t{ 2 }, fast.value().freshness().held());
    BW_EQUAL(std::string("client"), fast.value().freshness().member());
    while (slow == 0) {
      SleepFor(milliseconds(1));
    }
    BW_EQUAL(std::int64_t{ 1 }, slow);
  }
  BW_SECTION("refuse what nobody handles")
  {
    const auto refused = client.Ask(at, wire::PeerRequest(), Soon());
    BW_CHECK(!refused.has_value());
    BW_CHECK(refused.error().mKind == error_kind::kInvalid);
  }
  BW_SECTION("know that a peer was never reached")
  {
    const auto unreached = client.Ask({ "127.0.0.1", 1 }, FreshnessRequest(3),
                                      monotonic_clock::now() + milliseconds(50));
    BW_CHECK(!unreached.has_value());
    BW_CHECK(unreached.error().mKind == error_kind::kUnavailable);
  }
}
