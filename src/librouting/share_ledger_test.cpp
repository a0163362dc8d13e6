#include "briarwind/share_ledger.h"

#include "briarwind/testing.h"

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <numeric>

using namespace briarwind;

namespace {

constexpr int kSlots = 8;
constexpr seconds kRelease{ 10 };
constexpr milliseconds kStep{ 100 };
constexpr instant kNow{ seconds(100) };
constexpr const char* kInstance = "i1";

/// One router of the simulation: holds its ledger and the slots that it uses.
struct simulated_router
{
  explicit simulated_router(const std::string& aName)
    : mName(aName)
    , mLedger(aName, kRelease)
  {
  }

  void SettleIfWithin()
  {
    if (mRunning <= mLedger.NewestShare(kInstance, kSlots)) {
      mLedger.Settle();
    }
  }

  std::string mName;
  share_ledger mLedger;
  int mRunning = 0;
  std::size_t mNextView = 0; ///< in the history of views
  bool mGone = false;
  bool mListed = true;
  instant mRemoved;
};

struct message
{
  std::string mFrom;
  std::string mTo;
  share_report mReport;
};

/// Routers that join, leave, die, lag behind and use all that they are allowed.
class share_simulation
{
public:
  explicit share_simulation(int aRouters)
  {
    for (int index = 0; index < aRouters; ++index) {
      Join();
    }
    Quiesce();
  }

  void Step(unsigned aEvent, unsigned aPick)
  {
    mNow += kStep;
    StopRemoved();
    static constexpr std::array kEvents = {
      &share_simulation::ReadView, &share_simulation::ReadView,   &share_simulation::Send,
      &share_simulation::Deliver,  &share_simulation::Exchange,   &share_simulation::Exchange,
      &share_simulation::Acquire,  &share_simulation::Acquire,    &share_simulation::Acquire,
      &share_simulation::Release,  &share_simulation::Membership, &share_simulation::Membership,
      &share_simulation::WaitLong, &share_simulation::SkipViews,  &share_simulation::ReadAll,
    };
    (this->*kEvents.at(aEvent % kEvents.size()))(aPick);
  }

  int Running() const
  {
    return std::accumulate(mRouters.begin(), mRouters.end(), 0, [](int aSum, const auto& aRouter) {
      return aSum + (aRouter->mGone ? 0 : aRouter->mRunning);
    });
  }

  /// Everybody reads the newest view and hears everybody, after the release time.
  void Quiesce()
  {
    mNow += 2 * kRelease;
    for (const auto& each : mRouters) {
      each->mRunning = 0;
      each->mNextView = mViews.size() - 1;
      ReadNext(*each);
    }
    mNow += 2 * kRelease;
    for (int round = 0; round < 3; ++round) {
      for (const auto& from : mRouters) {
        for (const auto& to : mRouters) {
          if (!from->mGone && !to->mGone) {
            to->mLedger.Hear(from->mName, from->mLedger.Report(), mNow);
            to->mLedger.Advance(mNow);
          }
        }
      }
    }
  }

  int Allowed() const
  {
    return std::accumulate(mRouters.begin(), mRouters.end(), 0, [](int aSum, const auto& aRouter) {
      return aSum + (aRouter->mGone ? 0 : aRouter->mLedger.Allowance(kInstance, kSlots));
    });
  }

  bool HasMembers() const { return !mViews.empty() && !mViews.back().mMembers.empty(); }

private:
  simulated_router& Pick(unsigned aPick) { return *mRouters.at(aPick % mRouters.size()); }

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
    if (!aRouter.mGone && aRouter.mNextView < mViews.size()) {
      aRouter.mLedger.Adopt(mViews.at(aRouter.mNextView++), mNow);
      aRouter.SettleIfWithin();
    }
  }

  void ReadView(unsigned aPick) { ReadNext(Pick(aPick)); }

  /// Everybody but one reads one view.
  void ReadAll(unsigned aPick)
  {
    for (const auto& each : mRouters) {
      if (each.get() != &Pick(aPick)) {
        ReadNext(*each);
      }
    }
  }

  void SkipViews(unsigned aPick)
  {
    simulated_router& router = Pick(aPick);
    router.mNextView = std::max(router.mNextView, mViews.size() - 1);
    ReadNext(router);
  }

  void Send(unsigned aPick)
  {
    simulated_router& from = Pick(aPick);
    if (!from.mGone) {
      mWire.push_back({ from.mName, Pick(aPick / 16).mName, from.mLedger.Report() });
    }
  }

  /// One router tells all others at once.
  void Exchange(unsigned aPick)
  {
    simulated_router& from = Pick(aPick);
    for (const auto& each : mRouters) {
      if (!from.mGone && !each->mGone) {
        each->mLedger.Hear(from.mName, from.mLedger.Report(), mNow);
      }
    }
  }

  void Deliver(unsigned aPick)
  {
    if (mWire.empty()) {
      return;
    }
    const auto at = mWire.begin() + static_cast<std::ptrdiff_t>(aPick % mWire.size());
    const auto to =
      std::ranges::find(mRouters, at->mTo, [](const auto& aRouter) { return aRouter->mName; });
    (*to)->mLedger.Hear(at->mFrom, at->mReport, mNow);
    mWire.erase(at);
  }

  void Acquire(unsigned aPick)
  {
    simulated_router& router = Pick(aPick);
    router.mLedger.Advance(mNow);
    const int allowed = router.mLedger.Allowance(kInstance, kSlots);
    router.mRunning = router.mGone ? 0 : std::max(router.mRunning, allowed);
  }

  void Release(unsigned aPick)
  {
    simulated_router& router = Pick(aPick);
    router.mRunning = std::max(0, router.mRunning - static_cast<int>(aPick / 16 % kSlots));
    router.SettleIfWithin();
  }

  void Membership(unsigned aPick)
  {
    simulated_router& router = Pick(aPick / 4);
    if (aPick % 4 < 2 && mRouters.size() < 12) {
      Join();
    } else if (aPick % 4 == 2) {
      // A death: its requests are gone, the list shows it at once or later.
      router.mGone = true;
      Remove(router);
    } else if (router.mListed) {
      // Taken off the list while alive: it reads that and shrinks, or has stopped by the bound.
      Remove(router);
    }
  }

  void Remove(simulated_router& aRouter)
  {
    aRouter.mListed = false;
    aRouter.mRemoved = mNow;
    Publish();
  }

  void WaitLong(unsigned /*aPick*/)
  {
    mNow += kRelease;
    StopRemoved();
  }

  /// Who was taken off the list uses nothing after the release time, whether it has read it or not.
  void StopRemoved()
  {
    for (const auto& each : mRouters) {
      each->mGone = each->mGone || (!each->mListed && each->mRemoved + kRelease <= mNow);
    }
  }

  instant mNow{ seconds(1000) };
  std::vector<std::unique_ptr<simulated_router>> mRouters;
  std::vector<member_view> mViews;
  std::deque<message> mWire;
};

rc::Gen<std::vector<std::pair<unsigned, unsigned>>> AnyEvents(std::size_t aCount)
{
  constexpr unsigned kMost = 1U << 16U;
  return rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
    aCount, rc::gen::pair(rc::gen::inRange(0U, kMost), rc::gen::inRange(0U, kMost)));
}

} // namespace

BW_STORY("shares of an instance's slots")
{
  member_view view{ 1, { "a", "b", "c" } };

  BW_SECTION("add up to the total in every view")
  {
    BW_CHECK(rc::check([] {
      const auto members = *rc::gen::inRange(1, 30);
      const auto total = *rc::gen::inRange(0, 100);
      member_view any{ 1, {} };
      for (int index = 0; index < members; ++index) {
        any.mMembers.push_back("m" + std::to_string(index));
      }
      int sum = 0;
      for (const std::string& each : any.mMembers) {
        sum += ShareOf(any, each, "instance", total);
      }
      RC_ASSERT(sum == total);
    }));
  }
  BW_SECTION("are nothing for somebody who is not a member")
  {
    BW_EQUAL(0, ShareOf(view, "x", "i", 8));
  }
  BW_SECTION("grow only after the others have shrunk")
  {
    const instant now{ seconds(100) };
    share_ledger ledger("a", kRelease);
    ledger.AdoptFixed(view);
    const int third = ledger.Allowance("i", 8);
    ledger.Adopt({ 2, { "a", "b" } }, now);
    BW_EQUAL(third, ledger.Allowance("i", 8));
    ledger.Adopt({ 3, { "a" } }, now);
    BW_EQUAL(third, ledger.Allowance("i", 8));
    ledger.Hear("c", { 1, IdOf({ 3, { "a" } }), 0, 0 }, now);

    BW_SECTION("when the one who left says so")
    {
      ledger.Settle();
      ledger.Hear("b", { 1, IdOf({ 3, { "a" } }), 0, 0 }, now);
      BW_EQUAL(8, ledger.Allowance("i", 8));
    }
    BW_SECTION("or when the release time has passed")
    {
      ledger.Settle();
      ledger.Advance(now + kRelease);
      BW_EQUAL(8, ledger.Allowance("i", 8));
    }
    BW_SECTION("and not while this router uses more than its own new share")
    {
      ledger.Advance(now + kRelease);
      BW_EQUAL(third, ledger.Allowance("i", 8));
    }
  }
}

BW_STORY("shares in a view")
{
  member_view view{ 1, { "a", "b", "c" } };

  BW_SECTION("do not count on somebody who is settled in another view")
  {
    const instant now{ seconds(100) };
    share_ledger newcomer("c", kRelease);
    newcomer.Adopt({ 6, { "a", "c" } }, now);
    newcomer.Settle();
    newcomer.Hear("a", { 1, IdOf({ 8, { "a", "b", "c" } }), 0, 0 }, now + 2 * kRelease);
    BW_EQUAL(0, newcomer.Allowance("i", 8));
    newcomer.Hear("a", { 2, IdOf({ 6, { "a", "c" } }), 0, 0 }, now + 2 * kRelease);
    BW_EQUAL(4, newcomer.Allowance("i", 8));
  }
  BW_SECTION("are nothing while the view is not confirmed")
  {
    share_ledger ledger("a", kRelease);
    ledger.AdoptFixed(view);
    ledger.SetFresh(false, kNow);
    BW_EQUAL(0, ledger.Allowance("i", 8));

    BW_SECTION("and still nothing when it is confirmed again, until the others have spoken")
    {
      ledger.SetFresh(true, kNow);
      ledger.Settle();
      BW_EQUAL(0, ledger.Allowance("i", 9));
      ledger.Hear("b", { 1, IdOf(view), IdOf(view), IdOf(view) }, kNow);
      BW_EQUAL(0, ledger.Allowance("i", 9));
      ledger.Hear("c", { 1, IdOf(view), IdOf(view), IdOf(view) }, kNow);
      BW_EQUAL(3, ledger.Allowance("i", 9));
    }
  }
  BW_SECTION("are confirmed without the store by half of the members")
  {
    share_ledger ledger("a", kRelease);
    ledger.AdoptFixed(view);
    BW_CHECK(!ledger.IsConfirmedByPeers(kNow));
    ledger.Hear("b", { 1, 0, 0, IdOf(view) }, kNow);
    BW_CHECK(ledger.IsConfirmedByPeers(kNow));
    BW_CHECK(!ledger.IsConfirmedByPeers(kNow + seconds(1)));
  }
}

BW_STORY("routers that join, leave, die and lag")
{
  BW_SECTION("never run more than the total")
  {
    BW_CHECK(rc::check([] {
      share_simulation simulation(*rc::gen::inRange(1, 4));
      const auto events = *AnyEvents(400);
      for (const auto& [event, pick] : events) {
        simulation.Step(event, pick);
        RC_ASSERT(simulation.Running() <= kSlots);
      }
    }));
  }
  BW_SECTION("use all of it again when things are quiet")
  {
    BW_CHECK(rc::check([] {
      share_simulation simulation(*rc::gen::inRange(1, 4));
      const auto events = *AnyEvents(100);
      for (const auto& [event, pick] : events) {
        simulation.Step(event, pick);
      }
      simulation.Quiesce();
      RC_ASSERT(!simulation.HasMembers() || simulation.Allowed() == kSlots);
    }));
  }
}
