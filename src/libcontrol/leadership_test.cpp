#include "leadership.h"
#include "testing/fake_record_store.h"

#include "briarwind/testing.h"

#include <vector>

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
  auto& gains = *new std::vector<std::int64_t>;
  auto& reclaims = *new std::vector<std::int64_t>;
  auto& losses = *new int(0);
  const auto make = [&](const std::string& aName, double aShare) -> leadership& {
    return *new leadership(runtime, store, counters, aName, aName + ":1", aShare,
                           { [&gains](std::int64_t aEpoch) { gains.push_back(aEpoch); },
                             [&losses] { ++losses; },
                             [&reclaims](std::int64_t aEpoch) { reclaims.push_back(aEpoch); } });
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
  BW_SECTION("and a store that has ended the leader's lease in an outage")
  {
    leadership& leader = strong.Leads() ? strong : weak;
    leadership& other = strong.Leads() ? weak : strong;
    const std::int64_t epoch = leader.Epoch();
    // The leader's view has shown its own claim by now.
    BW_CHECK(WaitFor([&] { return !leader.LeaderAddress().empty(); }));
    SleepFor(milliseconds(50));
    const stored_value* key = store.Find(std::string(leadership::kLeaderKey));
    BW_SECTION("let the leader go on under a higher epoch when nobody has led since")
    {
      store.SetDown(true);
      BW_CHECK(WaitFor([&] { return !leader.MayOrder(); }));
      store.Lapse(key->mLease);
      store.SetDown(false);
      BW_CHECK(WaitFor([&] { return leader.MayOrder(); }));
      BW_CHECK(leader.Epoch() > epoch);
      BW_CHECK(reclaims == std::vector{ leader.Epoch() });
      BW_EQUAL(0, losses);
      BW_CHECK(!other.Leads());
      BW_EQUAL(leader.Epoch(), store.Find(std::string(leadership::kLeaderKey))->mModified);
      SleepFor(milliseconds(1'500)); // longer than a lease: the new one is renewed
      BW_CHECK(leader.MayOrder());
      BW_CHECK(!other.Leads());
    }
    BW_SECTION("depose it when another has led in between, though it leads no more")
    {
      store.SetDown(true);
      BW_CHECK(WaitFor([&] { return !leader.MayOrder(); }));
      store.Lapse(key->mLease);
      store.Put(std::string(leadership::kTermKey), "another");
      store.SetDown(false);
      BW_CHECK(WaitFor([&] { return losses > 0; }));
      BW_CHECK(reclaims.empty());
      BW_CHECK(WaitFor([&] { return strong.Leads() || weak.Leads(); }));
      BW_CHECK((strong.Leads() ? strong : weak).Epoch() > epoch);
      BW_EQUAL(std::size_t{ 2 }, gains.size());
    }
    BW_SECTION("take no order before the key is claimed again")
    {
      store.Lapse(key->mLease);
      store.Put(std::string(leadership::kTermKey), "another");
      BW_CHECK(WaitFor([&] { return losses > 0; }));
      BW_CHECK(!leader.MayOrder() || leader.Epoch() > epoch);
    }
  }
  strong.Resign();
  weak.Resign();
}
