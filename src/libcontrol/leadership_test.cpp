#include "leadership.h"
#include "testing/fake_record_store.h"

#include "briarwind/testing.h"

using namespace briarwind;
using namespace briarwind::testing;

namespace {

bool WaitFor(const std::function<bool()>& aCondition)
{
  const instant end = monotonic_clock::now() + milliseconds(6'000);
  while (!aCondition() && monotonic_clock::now() < end) {
    SleepFor(milliseconds(5));
  }
  return aCondition();
}

} // namespace

BW_STORY("two hosts and one lead")
{
  fiber_runtime runtime;
  metrics counters;
  // Fibers of a story go on after it; what they use lives as long as the process.
  auto& store = *new fake_record_store;
  const auto make = [&](const std::string& aName, double aShare) -> leadership& {
    return *new leadership(runtime, store, counters, aName, aName + ":1", aShare,
                           { [](std::int64_t) {}, [] {} });
  };
  leadership& strong = make("strong", 1.0);
  leadership& weak = make("weak", 0.1);
  strong.Start();
  weak.Start();
  BW_CHECK(WaitFor([&] { return strong.Leads() || weak.Leads(); }));

  BW_SECTION("are never both leaders, and both know who leads")
  {
    BW_CHECK(strong.Leads() != weak.Leads());
    leadership& leader = strong.Leads() ? strong : weak;
    leadership& other = strong.Leads() ? weak : strong;
    BW_CHECK(leader.MayOrder());
    BW_CHECK(!other.MayOrder());
    BW_CHECK(WaitFor([&] { return !other.LeaderAddress().empty(); }));
    BW_EQUAL(leader.LeaderAddress(), other.LeaderAddress());
    BW_CHECK(WaitFor([&] { return leader.Peers().size() == 2; }));
  }
  BW_SECTION("hand it over at once when the leader stops, under a higher epoch")
  {
    leadership& leader = strong.Leads() ? strong : weak;
    leadership& other = strong.Leads() ? weak : strong;
    const std::int64_t epoch = leader.Epoch();
    const instant begun = monotonic_clock::now();
    leader.Resign();
    BW_CHECK(!leader.MayOrder());
    BW_CHECK(WaitFor([&] { return other.Leads(); }));
    BW_CHECK(monotonic_clock::now() - begun < milliseconds(1'500));
    BW_CHECK(other.Epoch() > epoch);
  }
  BW_SECTION("take no order from a leader that the store has not confirmed for a lease's time")
  {
    leadership& leader = strong.Leads() ? strong : weak;
    store.SetDown(true);
    BW_CHECK(WaitFor([&] { return !leader.MayOrder(); }));
    BW_CHECK(leader.Leads());
    store.SetDown(false);
    BW_CHECK(WaitFor([&] { return leader.MayOrder(); }));
  }
  BW_SECTION("depose a leader whose lease has ended")
  {
    leadership& leader = strong.Leads() ? strong : weak;
    const std::int64_t epoch = leader.Epoch();
    store.Lapse(store.Find(std::string(leadership::kLeaderKey))->mLease);
    BW_CHECK(WaitFor([&] { return !leader.Leads() || leader.Epoch() > epoch; }));
    BW_CHECK(WaitFor([&] { return strong.Leads() || weak.Leads(); }));
    BW_CHECK((strong.Leads() ? strong : weak).Epoch() > epoch);
  }
  strong.Resign();
  weak.Resign();
}
