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

// Guards against two leaders at a time, and against terms that end without need. The store and the
// hosts can disagree about the lease: it expires in the store during an outage, while the leader
// has only missed renewals.
BW_STORY("two hosts that compete for leadership")
{
  fiber_runtime runtime;
  metrics counters;
  // Never deleted: fibers that use these objects keep running after the story has ended.
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
  BW_CHECK(WaitFor([&] { return strong.IsLeader() || weak.IsLeader(); }));

  BW_SECTION("are never both leaders, and both know the leader's address")
  {
    BW_CHECK(strong.IsLeader() != weak.IsLeader());
    leadership& leader = strong.IsLeader() ? strong : weak;
    leadership& other = strong.IsLeader() ? weak : strong;
    BW_CHECK(leader.MayIssueOrders());
    BW_CHECK(!other.MayIssueOrders());
    BW_CHECK(WaitFor([&] { return !other.LeaderAddress().empty(); }));
    BW_EQUAL(leader.LeaderAddress(), other.LeaderAddress());
    BW_CHECK(WaitFor([&] { return leader.Peers().size() == 2; }));
  }
  BW_SECTION("hand leadership over at once when the leader resigns, under a higher epoch")
  {
    leadership& leader = strong.IsLeader() ? strong : weak;
    leadership& other = strong.IsLeader() ? weak : strong;
    const std::int64_t epoch = leader.Epoch();
    const instant begun = monotonic_clock::now();
    leader.Resign();
    BW_CHECK(!leader.MayIssueOrders());
    BW_CHECK(WaitFor([&] { return other.IsLeader(); }));
    BW_CHECK(monotonic_clock::now() - begun < milliseconds(1'500));
    BW_CHECK(other.Epoch() > epoch);
  }
  BW_SECTION("send no orders while the lease has not been confirmed for its duration")
  {
    leadership& leader = strong.IsLeader() ? strong : weak;
    store.SetDown(true);
    BW_CHECK(WaitFor([&] { return !leader.MayIssueOrders(); }));
    BW_CHECK(leader.IsLeader());
    store.SetDown(false);
    BW_CHECK(WaitFor([&] { return leader.MayIssueOrders(); }));
  }
  BW_SECTION("survive an outage in which the store ends the leader's lease")
  {
    leadership& leader = strong.IsLeader() ? strong : weak;
    leadership& other = strong.IsLeader() ? weak : strong;
    const std::int64_t epoch = leader.Epoch();
    // Waits until the leader's watch has reported its own claim.
    BW_CHECK(WaitFor([&] { return !leader.LeaderAddress().empty(); }));
    SleepFor(milliseconds(50));
    const stored_value* key = store.Find(std::string(leadership::kLeaderKey));
    BW_SECTION("the leader continues under a higher epoch when no other host has led since")
    {
      store.SetDown(true);
      BW_CHECK(WaitFor([&] { return !leader.MayIssueOrders(); }));
      store.ExpireLease(key->mLease);
      store.SetDown(false);
      BW_CHECK(WaitFor([&] { return leader.MayIssueOrders(); }));
      BW_CHECK(leader.Epoch() > epoch);
      BW_CHECK(reclaims == std::vector{ leader.Epoch() });
      BW_EQUAL(0, losses);
      BW_CHECK(!other.IsLeader());
      BW_EQUAL(leader.Epoch(), store.Find(std::string(leadership::kLeaderKey))->mModified);
      SleepFor(milliseconds(1'500)); // longer than a lease, so that the new one must be renewed
      BW_CHECK(leader.MayIssueOrders());
      BW_CHECK(!other.IsLeader());
    }
    BW_SECTION(
      "the leader steps down when another host has led in between, even if that term is over")
    {
      store.SetDown(true);
      BW_CHECK(WaitFor([&] { return !leader.MayIssueOrders(); }));
      store.ExpireLease(key->mLease);
      store.Put(std::string(leadership::kTermKey), "another");
      store.SetDown(false);
      BW_CHECK(WaitFor([&] { return losses > 0; }));
      BW_CHECK(reclaims.empty());
      BW_CHECK(WaitFor([&] { return strong.IsLeader() || weak.IsLeader(); }));
      BW_CHECK((strong.IsLeader() ? strong : weak).Epoch() > epoch);
      BW_EQUAL(std::size_t{ 2 }, gains.size());
    }
    BW_SECTION("the leader sends no orders before the leader key is claimed again")
    {
      store.ExpireLease(key->mLease);
      store.Put(std::string(leadership::kTermKey), "another");
      BW_CHECK(WaitFor([&] { return losses > 0; }));
      BW_CHECK(!leader.MayIssueOrders() || leader.Epoch() > epoch);
    }
  }
  strong.Resign();
  weak.Resign();
}
