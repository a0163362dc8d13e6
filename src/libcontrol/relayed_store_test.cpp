#include "relayed_store.h"
#include "testing/fake_record_store.h"

#include "briarwind/http_server.h"
#include "briarwind/testing.h"

using namespace briarwind;
using namespace briarwind::testing;

namespace {

instant NearDeadline()
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

// Guards against a host that stays cut off from a store which serves other hosts, and against one
// that relays without need: calls must move to a peer after failures of direct calls, and back once
// direct calls succeed.
BW_STORY("a host without direct access to the store")
{
  fiber_runtime runtime;
  metrics counters;
  fake_record_store direct;
  fake_record_store storeOfPeer;
  storeOfPeer.Put("k", "from the peer");
  direct.Put("k", "direct");
  relayed_store peerStore(runtime, storeOfPeer, counters,
                          [] { return std::vector<std::string>(); });
  milliseconds peerPause{ 0 };
  http_server peer(runtime, { "127.0.0.1", 0 }, [&](const http_request& aRequest) {
    SleepFor(peerPause);
    return peerStore.Serve(
      TargetPath(aRequest.mTarget).substr(std::string_view("/v1/store/").size()), aRequest.mBody);
  });
  relayed_store store(runtime, direct, counters,
                      [&] { return std::vector{ ToString(peer.Listening()) }; });
  BW_EQUAL(std::string("direct"), store.Get("k", NearDeadline()).value()->mValue);

  direct.SetDown(true);
  BW_CHECK(!store.Get("k", NearDeadline()));
  BW_CHECK(!store.Get("k", NearDeadline()));
  BW_CHECK(!store.IsDirect());

  BW_SECTION("reaches the store through a peer")
  {
    BW_EQUAL(std::string("from the peer"), store.Get("k", NearDeadline()).value()->mValue);
    store_transaction write;
    write.mConditions.push_back({ "new", 0 });
    write.mWrites.push_back({ "new", "bytes \xff", 0 });
    BW_CHECK(store.Commit(write, NearDeadline()).value().mCommitted);
    BW_EQUAL(std::string("bytes \xff"), storeOfPeer.Find("new")->mValue);
    BW_EQUAL(std::size_t{ 1 }, store.Commit(write, NearDeadline()).value().mCurrent.size());
    BW_EQUAL(std::size_t{ 2 }, store.List("", NearDeadline()).value().mValues.size());
    const auto lease = store.Grant(milliseconds(2'000), NearDeadline());
    BW_EQUAL(milliseconds(2'000), store.Renew(lease.value().mLease, NearDeadline()).value());
    BW_CHECK(store.Revoke(lease.value().mLease, NearDeadline()).has_value());
    BW_CHECK(store.Renew(lease.value().mLease, NearDeadline()).error().mKind ==
             error_kind::kNotFound);
    const auto seen = store.Watch("new", 0, milliseconds(50));
    BW_EQUAL(std::size_t{ 1 }, seen.value().mChanges.size());
  }
  BW_SECTION("returns to direct access when the store answers it again")
  {
    direct.SetDown(false);
    BW_CHECK(WaitFor([&] { return store.IsDirect(); }));
    BW_EQUAL(std::string("direct"), store.Get("k", NearDeadline()).value()->mValue);
  }
  BW_SECTION("keeps direct access when a call relayed earlier fails later")
  {
    peerPause = milliseconds(1'500);
    storeOfPeer.SetDown(true);
    bool ended = false;
    runtime.Spawn([&] {
      BW_CHECK(!store.Get("k", NearDeadline()));
      ended = true;
    });
    SleepFor(milliseconds(50));
    direct.SetDown(false);
    BW_CHECK(WaitFor([&] { return store.IsDirect(); }));
    BW_CHECK(WaitFor([&] { return ended; }));
    BW_CHECK(store.IsDirect());
  }
  BW_SECTION("gets an unknown outcome for a write whose outcome the peer does not know")
  {
    storeOfPeer.LoseAnswers(1);
    store_transaction write;
    write.mConditions.push_back({ "new", 0 });
    write.mWrites.push_back({ "new", "x", 0 });
    BW_CHECK(store.Commit(write, NearDeadline()).error().mKind == error_kind::kUnknownOutcome);
  }
  BW_SECTION("does not start relaying because watches fail")
  {
    direct.SetDown(false);
    BW_CHECK(WaitFor([&] { return store.IsDirect(); }));
    direct.SetDown(true);
    for (int i = 0; i < 4; ++i) {
      BW_CHECK(!store.Watch("k", 0, milliseconds(100)));
    }
    BW_CHECK(store.IsDirect());
  }
  BW_SECTION("relays after a single call that failed only after a long wait")
  {
    direct.SetDown(false);
    BW_CHECK(WaitFor([&] { return store.IsDirect(); }));
    direct.SetDown(true, milliseconds(400));
    BW_CHECK(!store.Get("k", NearDeadline()));
    BW_CHECK(!store.IsDirect());
    BW_EQUAL(std::string("from the peer"), store.Get("k", NearDeadline()).value()->mValue);
  }
  BW_SECTION("reads what its peer follows from the view of the peer")
  {
    store_view view("k");
    peerStore.SetView(view);
    view.Replace({ 5, { { "k1", "from the view", 4, 4, 0 } } });
    const int calls = storeOfPeer.Calls();
    BW_EQUAL(std::string("from the view"),
             store.List("k", NearDeadline()).value().mValues.at(0).mValue);
    BW_CHECK(store.Watch("k", 5, milliseconds(50)).value().mChanges.empty());
    runtime.Spawn([&] {
      SleepFor(milliseconds(100));
      view.Apply({ { false, { "k1", "changed", 4, 7, 0 } } }, 7);
    });
    BW_EQUAL(std::string("changed"),
             store.Watch("k", 5, milliseconds(900)).value().mChanges.at(0).mValue.mValue);
    BW_EQUAL(calls, storeOfPeer.Calls());

    BW_SECTION("and lists only what its own view lacks")
    {
      store_view own("k");
      own.Replace({ 5, { { "k0", "own", 1, 1, 0 }, { "k1", "own", 4, 4, 0 } } });
      store.SetView(own);
      const auto listing = store.List("k", NearDeadline());
      BW_EQUAL(std::string("own"), listing.value().mValues.at(0).mValue);
      BW_EQUAL(std::string("changed"), listing.value().mValues.at(1).mValue);
      BW_EQUAL(calls, storeOfPeer.Calls());
    }
    BW_SECTION("but not when the view is older than what it has seen")
    {
      view.Replace({ 6, { { "k1", "from the view", 4, 4, 0 } } });
      BW_EQUAL(std::string("k"), store.List("k", NearDeadline()).value().mValues.at(0).mKey);
    }
    BW_SECTION("and lists again when a deletion may have been missed")
    {
      view.Apply({ { true, { "k1", "", 0, 8, 0 } } }, 8);
      BW_CHECK(store.Watch("k", 7, milliseconds(50)).value().mCompacted);
    }
    BW_SECTION("but not while the peer cannot read the store")
    {
      view.SetLost();
      BW_EQUAL(std::string("k"), store.List("k", NearDeadline()).value().mValues.at(0).mKey);
    }
  }
  BW_SECTION("does not relay a call that came from a peer")
  {
    const http_response answer = store.Serve("get", R"({"key":"k","time_ms":500})");
    BW_EQUAL(503U, answer.mStatus);
  }
}
