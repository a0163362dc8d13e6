#include "briarwind/share_ledger.h"

#include "briarwind/testing.h"

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <numeric>

using namespace briarwind;

// Guards against routers that together use more than the slots of an instance. The danger arises
// when routers see different versions of the member list: one grows its share before another, which
// has lost reports, lags behind or has crashed, has shrunk. The opposite fault, slots that stay
// unused for ever, is checked too.

namespace {

constexpr int kSlots = 8;
constexpr seconds kRelease{ 10 };
constexpr milliseconds kStep{ 100 };
constexpr instant kNow{ seconds(100) };
constexpr const char* kInstance = "i1";

/// A router of the simulation, with its ledger and the number of slots that it uses.
struct simulated_router
{
  explicit simulated_router(const std::string& aName)
    : mName(aName)
    , mLedger(aName, kRelease)
  {
  }

  void SettleIfWithinShare()
  {
    if (mUsedSlots <= mLedger.NewestShare(kInstance, kSlots)) {
      mLedger.Settle();
    }
  }

  std::string mName;
  share_ledger mLedger;
  int mUsedSlots = 0;
  std::size_t mNextView = 0; ///< index of the view that it reads next
  bool mStopped = false;     ///< stopped; uses nothing and sends nothing
  bool mListed = true;
  instant mRemoved;
};

struct message
{
  std::string mFrom;
  std::string mTo;
  share_report mReport;
};

/// Routers that join, leave, crash, lag behind, exchange reports in any order and use their whole
/// allowance.
class share_simulation
{
public:
  explicit share_simulation(int aRouters)
  {
    for (int index = 0; index < aRouters; ++index) {
      Join();
    }
    Converge();
  }

  void Step(unsigned aEvent, unsigned aPick)
  {
    mNow += kStep;
    StopRemoved();
    static constexpr std::array kEvents = {
      &share_simulation::ReadView,
      &share_simulation::ReadView,
      &share_simulation::Send,
      &share_simulation::Deliver,
      &share_simulation::Broadcast,
      &share_simulation::Broadcast,
      &share_simulation::Acquire,
      &share_simulation::Acquire,
      &share_simulation::Acquire,
      &share_simulation::Release,
      &share_simulation::ChangeMembership,
      &share_simulation::ChangeMembership,
      &share_simulation::WaitReleaseTime,
      &share_simulation::SkipViews,
      &share_simulation::ReadViewExceptOne,
    };
    (this->*kEvents.at(aEvent % kEvents.size()))(aPick);
  }

  int UsedSlots() const
  {
    return std::accumulate(mRouters.begin(), mRouters.end(), 0, [](int aSum, const auto& aRouter) {
      return aSum + (aRouter->mStopped ? 0 : aRouter->mUsedSlots);
    });
  }

  /// All routers free their slots, read the newest view and exchange reports, after the release
  /// time.
  void Converge()
  {
    mNow += 2 * kRelease;
    for (const auto& each : mRouters) {
      each->mUsedSlots = 0;
      each->mNextView = mViews.size() - 1;
      ReadNext(*each);
    }
    mNow += 2 * kRelease;
    for (int round = 0; round < 3; ++round) {
      for (const auto& from : mRouters) {
        for (const auto& to : mRouters) {
          if (!from->mStopped && !to->mStopped) {
            to->mLedger.OnPeerReport(from->mName, from->mLedger.Report(), mNow);
            to->mLedger.Advance(mNow);
          }
        }
      }
    }
  }

  int TotalAllowance() const
  {
    return std::accumulate(mRouters.begin(), mRouters.end(), 0, [](int aSum, const auto& aRouter) {
      return aSum + (aRouter->mStopped ? 0 : aRouter->mLedger.Allowance(kInstance, kSlots));
    });
  }

  bool HasMembers() const { return !mViews.empty() && !mViews.back().mMembers.empty(); }

private:
  simulated_router& RouterAt(unsigned aPick) { return *mRouters.at(aPick % mRouters.size()); }

  void Publish()
  {
    member_view view{ static_cast<std::int64_t>(mViews.size()) + 1, {} };
    for (const auto& each : mRouters) {
      if (each->mListed) {
        view.mMembers.push_back(each->mName);
      }
    }
    mViews.push_back(view);
  }

  void Join()
  {
    mRouters.push_back(std::make_unique<simulated_router>("r" + std::to_string(mRouters.size())));
    Publish();
    mRouters.back()->mNextView = mViews.size() - 1;
  }

  void ReadNext(simulated_router& aRouter)
  {
    if (!aRouter.mStopped && aRouter.mNextView < mViews.size()) {
      aRouter.mLedger.Adopt(mViews.at(aRouter.mNextView++), mNow);
      aRouter.SettleIfWithinShare();
    }
  }

  void ReadView(unsigned aPick) { ReadNext(RouterAt(aPick)); }

  /// All routers but one read their next view.
  void ReadViewExceptOne(unsigned aPick)
  {
    for (const auto& each : mRouters) {
      if (each.get() != &RouterAt(aPick)) {
        ReadNext(*each);
      }
    }
  }

  void SkipViews(unsigned aPick)
  {
    simulated_router& router = RouterAt(aPick);
    router.mNextView = std::max(router.mNextView, mViews.size() - 1);
    ReadNext(router);
  }

  void Send(unsigned aPick)
  {
    simulated_router& from = RouterAt(aPick);
    if (!from.mStopped) {
      mMessages.push_back({ from.mName, RouterAt(aPick / 16).mName, from.mLedger.Report() });
    }
  }

  /// One router sends its report, which reaches all routers at once.
  void Broadcast(unsigned aPick)
  {
    simulated_router& from = RouterAt(aPick);
    for (const auto& each : mRouters) {
      if (!from.mStopped && !each->mStopped) {
        each->mLedger.OnPeerReport(from.mName, from.mLedger.Report(), mNow);
      }
    }
  }

  void Deliver(unsigned aPick)
  {
    if (mMessages.empty()) {
      return;
    }
    const auto at = mMessages.begin() + static_cast<std::ptrdiff_t>(aPick % mMessages.size());
    const auto to =
      std::ranges::find(mRouters, at->mTo, [](const auto& aRouter) { return aRouter->mName; });
    (*to)->mLedger.OnPeerReport(at->mFrom, at->mReport, mNow);
    mMessages.erase(at);
  }

  void Acquire(unsigned aPick)
  {
    simulated_router& router = RouterAt(aPick);
    router.mLedger.Advance(mNow);
    const int allowance = router.mLedger.Allowance(kInstance, kSlots);
    router.mUsedSlots = router.mStopped ? 0 : std::max(router.mUsedSlots, allowance);
  }

  void Release(unsigned aPick)
  {
    simulated_router& router = RouterAt(aPick);
    router.mUsedSlots = std::max(0, router.mUsedSlots - static_cast<int>(aPick / 16 % kSlots));
    router.SettleIfWithinShare();
  }

  void ChangeMembership(unsigned aPick)
  {
    simulated_router& router = RouterAt(aPick / 4);
    if (aPick % 4 < 2 && mRouters.size() < 12) {
      Join();
    } else if (aPick % 4 == 2) {
      // A crash: the requests of the router end with it. Other routers read the new list later.
      router.mStopped = true;
      Remove(router);
    } else if (router.mListed) {
      // Removed from the list while running: the router reads the new list and shrinks, or stops
      // when the release time has passed.
      Remove(router);
    }
  }

  void Remove(simulated_router& aRouter)
  {
    aRouter.mListed = false;
    aRouter.mRemoved = mNow;
    Publish();
  }

  void WaitReleaseTime(unsigned /*aPick*/)
  {
    mNow += kRelease;
    StopRemoved();
  }

  /// Stops the routers that were removed from the list at least the release time ago, whether they
  /// have read the new list or not.
  void StopRemoved()
  {
    for (const auto& each : mRouters) {
      each->mStopped = each->mStopped || (!each->mListed && each->mRemoved + kRelease <= mNow);
    }
  }

  instant mNow{ seconds(1000) };
  std::vector<std::unique_ptr<simulated_router>> mRouters;
  std::vector<member_view> mViews;
  std::deque<message> mMessages;
};

rc::Gen<std::vector<std::pair<unsigned, unsigned>>> RandomEvents(std::size_t aCount)
{
  constexpr unsigned kEventRange = 1U << 16U;
  return rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
    aCount, rc::gen::pair(rc::gen::inRange(0U, kEventRange), rc::gen::inRange(0U, kEventRange)));
}

} // namespace

BW_STORY("the shares of an instance's slots follow the list of members")
{
  member_view view{ 1, { "a", "b", "c" } };

  BW_SECTION("the shares of all members add up to the total in every view")
  {
    BW_CHECK(rc::check([] {
      const auto members = *rc::gen::inRange(1, 30);
      const auto total = *rc::gen::inRange(0, 100);
      member_view randomView{ 1, {} };
      for (int index = 0; index < members; ++index) {
        randomView.mMembers.push_back("m" + std::to_string(index));
      }
      int sum = 0;
      for (const std::string& each : randomView.mMembers) {
        sum += ShareOf(randomView, each, "instance", total);
      }
      RC_ASSERT(sum == total);
    }));
  }
  BW_SECTION("a router that is not a member has no share")
  {
    BW_EQUAL(0, ShareOf(view, "x", "i", 8));
  }
  BW_SECTION("an allowance grows only after the other routers have shrunk")
  {
    const instant now{ seconds(100) };
    share_ledger ledger("a", kRelease);
    ledger.AdoptFixed(view);
    const int third = ledger.Allowance("i", 8);
    ledger.Adopt({ 2, { "a", "b" } }, now);
    BW_EQUAL(third, ledger.Allowance("i", 8));
    ledger.Adopt({ 3, { "a" } }, now);
    BW_EQUAL(third, ledger.Allowance("i", 8));
    ledger.OnPeerReport("c", { 1, ViewIdOf({ 3, { "a" } }), 0, 0 }, now);

    BW_SECTION("the allowance grows when the removed router reports that it has settled")
    {
      ledger.Settle();
      ledger.OnPeerReport("b", { 1, ViewIdOf({ 3, { "a" } }), 0, 0 }, now);
      BW_EQUAL(8, ledger.Allowance("i", 8));
    }
    BW_SECTION("the allowance grows when the release time has passed")
    {
      ledger.Settle();
      ledger.Advance(now + kRelease);
      BW_EQUAL(8, ledger.Allowance("i", 8));
    }
    BW_SECTION("the allowance does not grow before this router itself has settled")
    {
      ledger.Advance(now + kRelease);
      BW_EQUAL(third, ledger.Allowance("i", 8));
    }
  }
}

BW_STORY("an allowance needs a confirmed view in which the other members have settled")
{
  member_view view{ 1, { "a", "b", "c" } };

  BW_SECTION("a router that has settled in another view does not count")
  {
    const instant now{ seconds(100) };
    share_ledger newcomer("c", kRelease);
    newcomer.Adopt({ 6, { "a", "c" } }, now);
    newcomer.Settle();
    newcomer.OnPeerReport("a", { 1, ViewIdOf({ 8, { "a", "b", "c" } }), 0, 0 }, now + 2 * kRelease);
    BW_EQUAL(0, newcomer.Allowance("i", 8));
    newcomer.OnPeerReport("a", { 2, ViewIdOf({ 6, { "a", "c" } }), 0, 0 }, now + 2 * kRelease);
    BW_EQUAL(4, newcomer.Allowance("i", 8));
  }
  BW_SECTION("the allowance is 0 while the view is not confirmed")
  {
    share_ledger ledger("a", kRelease);
    ledger.AdoptFixed(view);
    ledger.SetFresh(false, kNow);
    BW_EQUAL(0, ledger.Allowance("i", 8));

    BW_SECTION(
      "after the view is confirmed again the allowance is 0 until all others have reported")
    {
      ledger.SetFresh(true, kNow);
      ledger.Settle();
      BW_EQUAL(0, ledger.Allowance("i", 9));
      ledger.OnPeerReport("b", { 1, ViewIdOf(view), ViewIdOf(view), ViewIdOf(view) }, kNow);
      BW_EQUAL(0, ledger.Allowance("i", 9));
      ledger.OnPeerReport("c", { 1, ViewIdOf(view), ViewIdOf(view), ViewIdOf(view) }, kNow);
      BW_EQUAL(3, ledger.Allowance("i", 9));
    }
  }
  BW_SECTION("half of the members confirm a view without the store")
  {
    share_ledger ledger("a", kRelease);
    ledger.AdoptFixed(view);
    BW_CHECK(!ledger.IsConfirmedByPeers(kNow));
    ledger.OnPeerReport("b", { 1, 0, 0, ViewIdOf(view) }, kNow);
    BW_CHECK(ledger.IsConfirmedByPeers(kNow));
    BW_CHECK(!ledger.IsConfirmedByPeers(kNow + seconds(1)));
  }
}

BW_STORY("routers that join, leave, crash and lag share the slots safely")
{
  BW_SECTION("the routers never use more slots than the total")
  {
    BW_CHECK(rc::check([] {
      share_simulation simulation(*rc::gen::inRange(1, 4));
      const auto events = *RandomEvents(400);
      for (const auto& [event, pick] : events) {
        simulation.Step(event, pick);
        RC_ASSERT(simulation.UsedSlots() <= kSlots);
      }
    }));
  }
  BW_SECTION("the allowances add up to the total again when membership is stable")
  {
    BW_CHECK(rc::check([] {
      share_simulation simulation(*rc::gen::inRange(1, 4));
      const auto events = *RandomEvents(100);
      for (const auto& [event, pick] : events) {
        simulation.Step(event, pick);
      }
      simulation.Converge();
      RC_ASSERT(!simulation.HasMembers() || simulation.TotalAllowance() == kSlots);
    }));
  }
}
