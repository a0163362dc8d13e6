#include "relayed_store.h"
#include "testing/fake_record_store.h"

#include "briarwind/http_server.h"
#include "briarwind/testing.h"

using namespace briarwind;
using namespace briarwind::testing;

namespace {

instant Soon()
{
  return monotonic_clock::now() + milliseconds(2'000);
}

bool WaitFor(const std::function<bool()>& aCondition)
{
  const instant end = monotonic_clock::now() + milliseconds(5'000);
  while (!aCondition() && monotonic_clock::now() < end) {
    SleepFor(milliseconds(5));
  }
  return aCondition();
}

} // namespace

BW_STORY("a host that the store turns away")
{
  fiber_runtime runtime;
  metrics counters;
  fake_record_store direct;
  fake_record_store atPeer;
  atPeer.Put("k", "from the peer");
  direct.Put("k", "direct");
  relayed_store peerStore(runtime, atPeer, counters, [] { return std::vector<std::string>(); });
  milliseconds peerPause{ 0 };
  http_server peer(runtime, { "127.0.0.1", 0 }, [&](const http_request& aRequest) {
    SleepFor(peerPause);
    return peerStore.Serve(
      TargetPath(aRequest.mTarget).substr(std::string_view("/v1/store/").size()), aRequest.mBody);
  });
  relayed_store store(runtime, direct, counters,
                      [&] { return std::vector{ ToString(peer.Listening()) }; });
  BW_EQUAL(std::string("direct"), store.Get("k", Soon()).value()->mValue);

  direct.SetDown(true);
  BW_CHECK(!store.Get("k", Soon()));
  BW_CHECK(!store.Get("k", Soon()));
  BW_CHECK(!store.IsDirect());

  BW_SECTION("reaches it through a peer")
  {
    BW_EQUAL(std::string("from the peer"), store.Get("k", Soon()).value()->mValue);
    store_transaction write;
    write.mConditions.push_back({ "new", 0 });
    write.mWrites.push_back({ "new", "bytes \xff", 0 });
    BW_CHECK(store.Commit(write, Soon()).value().mCommitted);
    BW_EQUAL(std::string("bytes \xff"), atPeer.Find("new")->mValue);
    BW_EQUAL(std::size_t{ 1 }, store.Commit(write, Soon()).value().mCurrent.size());
    BW_EQUAL(std::size_t{ 2 }, store.List("", Soon()).value().mValues.size());
    const auto lease = store.Grant(milliseconds(2'000), Soon());
    BW_EQUAL(milliseconds(2'000), store.Renew(lease.value().mLease, Soon()).value());
    BW_CHECK(store.End(lease.value().mLease, Soon()).has_value());
    BW_CHECK(store.Renew(lease.value().mLease, Soon()).error().mKind == error_kind::kNotFound);
    const auto seen = store.Watch("new", 0, milliseconds(50));
    BW_EQUAL(std::size_t{ 1 }, seen.value().mChanges.size());
  }
  BW_SECTION("goes back to the direct way when it works again")
  {
    direct.SetDown(false);
    BW_CHECK(WaitFor([&] { return store.IsDirect(); }));
    BW_EQUAL(std::string("direct"), store.Get("k", Soon()).value()->mValue);
  }
  BW_SECTION("stays there when a call that a peer failed ends later")
  {
    peerPause = milliseconds(1'500);
    atPeer.SetDown(true);
    bool ended = false;
    runtime.Spawn([&] {
      BW_CHECK(!store.Get("k", Soon()));
      ended = true;
    });
    SleepFor(milliseconds(50));
    direct.SetDown(false);
    BW_CHECK(WaitFor([&] { return store.IsDirect(); }));
    BW_CHECK(WaitFor([&] { return ended; }));
    BW_CHECK(store.IsDirect());
  }
  BW_SECTION("is told the truth about a write that a peer could not settle")
  {
    atPeer.LoseAnswers(1);
    store_transaction write;
    write.mConditions.push_back({ "new", 0 });
    write.mWrites.push_back({ "new", "x", 0 });
    BW_CHECK(store.Commit(write, Soon()).error().mKind == error_kind::kUnknownOutcome);
  }
  BW_SECTION("takes no cut watch for a sign that the store turns it away")
  {
    direct.SetDown(false);
    BW_CHECK(WaitFor([&] { return store.IsDirect(); }));
    direct.SetDown(true);
    for (int i = 0; i < 4; ++i) {
      BW_CHECK(!store.Watch("k", 0, milliseconds(100)));
    }
    BW_CHECK(store.IsDirect());
  }
  BW_SECTION("asks a peer after one call that stayed silent")
  {
    direct.SetDown(false);
    BW_CHECK(WaitFor([&] { return store.IsDirect(); }));
    direct.SetDown(true, milliseconds(400));
    BW_CHECK(!store.Get("k", Soon()));
    BW_CHECK(!store.IsDirect());
    BW_EQUAL(std::string("from the peer"), store.Get("k", Soon()).value()->mValue);
  }
  BW_SECTION("hands no peer's call on")
  {
    const http_response answer = store.Serve("get", R"({"key":"k","time_ms":500})");
    BW_EQUAL(503U, answer.mStatus);
  }
}
