#include "briarwind/routing_core.h"

#include "briarwind/testing.h"

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <set>

using namespace briarwind;

namespace {

constexpr instant kBegin{ seconds(1000) };
constexpr milliseconds kWait{ 1000 };

host Target(const std::string& aName, const std::string& aDomain = "d1", bool aLeaving = false)
{
  host target;
  target.mName = aName;
  target.mKind = host_kind::kTarget;
  target.mAddress = { "127.0.0.1", 1 };
  target.mDomain = aDomain;
  target.mService = "tags";
  target.mLeaving = aLeaving;
  return target;
}

/// One router alone, with a clock and the record of what it decided.
struct bench
{
  explicit bench(int aInstances, int aSlots = 1, std::size_t aQueued = 2000)
    : mCore({ .mSelf = "r", .mDomain = "d1", .mRelease = seconds(10), .mQueued = aQueued },
            MakeTwoChoice())
  {
    mCore.Shares().AdoptFixed({ 1, { "r" } });
    mSettings.mRevision = 1;
    mSettings.mServices["tags"] = { "tags", aSlots, 64 };
    mCore.SetSettings(mSettings, mNow);
    for (int index = 0; index < aInstances; ++index) {
      mHosts.mHosts.push_back(Target("i" + std::to_string(index)));
    }
    mCore.SetHosts(mHosts, mNow);
  }

  void Arrive(request_number aNumber, const std::string& aOrganisation = "o",
              bool aRepeatable = false, milliseconds aWait = kWait, const std::string& aTeam = "")
  {
    mCore.Arrive({ aNumber, "tags", aOrganisation, aTeam, mNow + aWait, aRepeatable }, mNow);
    Take();
  }

  void End(const start_action& aStart, reason aReason)
  {
    mCore.Ended(aStart.mAttempt, aReason, mNow);
    mCore.Released(aStart.mAttempt, mNow);
    Take();
  }

  void Pass(duration aTime)
  {
    mNow += aTime;
    mCore.Tick(mNow);
    Take();
  }

  void Take()
  {
    for (const routing_action& each : mCore.TakeActions()) {
      if (const auto* start = std::get_if<start_action>(&each)) {
        mStarts.push_back(*start);
      } else if (const auto* conclusion = std::get_if<conclude_action>(&each)) {
        mEnds[conclusion->mRequest].push_back(conclusion->mReason);
      } else if (std::holds_alternative<eject_action>(each)) {
        ++mEjections;
      }
    }
  }

  start_action NextStart()
  {
    BW_CHECK(!mStarts.empty());
    const start_action start = mStarts.front();
    mStarts.pop_front();
    return start;
  }

  bool EndedAs(request_number aNumber, reason aReason)
  {
    return mEnds[aNumber] == std::vector<reason>{ aReason };
  }

  instant mNow = kBegin;
  settings_view mSettings;
  host_list mHosts;
  routing_core mCore;
  std::deque<start_action> mStarts;
  std::map<request_number, std::vector<reason>> mEnds;
  int mEjections = 0;
};

} // namespace

BW_STORY("a request")
{
  bench bench(3);

  BW_SECTION("for a service that nobody knows is refused")
  {
    bench.mCore.Arrive({ 1, "other", "o", "", bench.mNow + kWait, false }, bench.mNow);
    bench.Take();
    BW_CHECK(bench.EndedAs(1, reason::kUnknownService));
  }
  BW_SECTION("starts at once and ends with its answer")
  {
    bench.Arrive(1);
    bench.End(bench.NextStart(), reason::kAnswered);
    BW_CHECK(bench.EndedAs(1, reason::kAnswered));
  }
  BW_SECTION("that an instance did not run is tried on another one")
  {
    bench.Arrive(1);
    const start_action first = bench.NextStart();
    bench.End(first, reason::kInstanceRefused);
    const start_action second = bench.NextStart();
    BW_CHECK(first.mInstance != second.mInstance);
    BW_CHECK(bench.mEnds[1].empty());

    BW_SECTION("and no more than three times in all")
    {
      bench.End(second, reason::kConnectFailed);
      bench.End(bench.NextStart(), reason::kConnectFailed);
      BW_CHECK(bench.mStarts.empty());
      BW_CHECK(bench.EndedAs(1, reason::kConnectFailed));
    }
  }
  BW_SECTION("that reached nobody is tried again without using the retry budget")
  {
    for (request_number number = 1; number <= 40; ++number) {
      bench.Arrive(number);
      bench.End(bench.NextStart(), reason::kConnectFailed);
      bench.End(bench.NextStart(), reason::kAnswered);
      BW_CHECK(bench.EndedAs(number, reason::kAnswered));
    }
  }
  BW_SECTION("that instances refuse is tried again within the retry budget")
  {
    for (request_number number = 1; number <= 30; ++number) {
      bench.Arrive(number);
      while (!bench.mStarts.empty()) {
        bench.End(bench.NextStart(), reason::kInstanceRefused);
      }
    }
    bench.Arrive(50);
    bench.End(bench.NextStart(), reason::kInstanceRefused);
    BW_CHECK(bench.EndedAs(50, reason::kInstanceRefused));
  }
  BW_SECTION("of unknown fate is tried again only when it is repeatable")
  {
    bench.Arrive(1);
    bench.End(bench.NextStart(), reason::kConnectionLost);
    BW_CHECK(bench.EndedAs(1, reason::kConnectionLost));
    bench.Arrive(2, "o", true);
    bench.End(bench.NextStart(), reason::kConnectionLost);
    BW_CHECK(bench.mEnds[2].empty());

    BW_SECTION("and stays unknown when the second try did not run")
    {
      bench.End(bench.NextStart(), reason::kInstanceRefused);
      bench.End(bench.NextStart(), reason::kInstanceRefused);
      BW_CHECK(bench.EndedAs(2, reason::kConnectionLost));
    }
    BW_SECTION("and stays unknown when it is too late for a second try")
    {
      for (request_number number = 10; number < 13; ++number) {
        bench.Arrive(number, "o", false, seconds(60));
      }
      bench.Arrive(3, "o", true);
      bench.Pass(kWait);
      BW_CHECK(bench.EndedAs(3, reason::kDeadlineQueued));
    }
  }
}

BW_STORY("a request that waits")
{
  bench bench(3);

  BW_SECTION("past its deadline keeps its slot until the instance is done")
  {
    bench.Arrive(1);
    const start_action start = bench.NextStart();
    bench.Pass(kWait);
    bench.mCore.Ended(start.mAttempt, reason::kDeadlineSent, bench.mNow);
    bench.Take();
    BW_CHECK(bench.EndedAs(1, reason::kDeadlineSent));
    BW_EQUAL(std::size_t{ 1 }, bench.mCore.Running());
    bench.mCore.Ended(start.mAttempt, reason::kAnswered, bench.mNow);
    bench.mCore.Released(start.mAttempt, bench.mNow);
    bench.Take();
    BW_CHECK(bench.EndedAs(1, reason::kDeadlineSent));
    BW_EQUAL(std::size_t{ 0 }, bench.mCore.Running());
  }
  BW_SECTION("that waits too long is refused as not run")
  {
    for (request_number number = 1; number <= 4; ++number) {
      bench.Arrive(number);
    }
    bench.Pass(kWait);
    BW_CHECK(bench.EndedAs(4, reason::kDeadlineQueued));
  }
  BW_SECTION("whose caller has gone starts no more")
  {
    for (request_number number = 1; number <= 4; ++number) {
      bench.Arrive(number);
    }
    bench.mCore.Abandon(4, bench.mNow);
    bench.End(bench.NextStart(), reason::kAnswered);
    BW_EQUAL(std::size_t{ 2 }, bench.mStarts.size());
    BW_CHECK(bench.mEnds[4].empty());
  }
}

BW_STORY("an overloaded service")
{
  bench bench(2);
  for (request_number number = 1; number <= 2; ++number) {
    bench.Arrive(number);
  }
  bench.Pass(milliseconds(100));
  bench.End(bench.NextStart(), reason::kAnswered);
  for (request_number number = 10; number < 40; ++number) {
    bench.Arrive(number, "flood");
  }

  BW_SECTION("sheds early what would be late")
  {
    BW_CHECK(bench.EndedAs(39, reason::kShed));
    BW_CHECK(bench.mEnds[12].empty());
  }
  BW_SECTION("still takes the requests of the others")
  {
    bench.Arrive(50, "quiet");
    BW_CHECK(bench.mEnds[50].empty());
    bench.End(bench.NextStart(), reason::kAnswered);
    bench.End(bench.NextStart(), reason::kAnswered);
    BW_CHECK(std::ranges::any_of(bench.mStarts,
                                 [](const start_action& aStart) { return aStart.mRequest == 50; }));
  }
}

BW_STORY("limits of organisations and teams")
{
  bench bench(9);
  bench.mSettings.mOrganisations["o"].mRequests.mRequestsInFlight = 2;
  bench.mSettings.mOrganisations["p"].mRequests.mRequestsPerSecond = 3;
  bench.mSettings.mTeams["t"].mRequests.mRequestsInFlight = 1;
  bench.mCore.SetSettings(bench.mSettings, bench.mNow);

  BW_SECTION("bound the requests in flight")
  {
    for (request_number number = 1; number <= 3; ++number) {
      bench.Arrive(number);
    }
    BW_CHECK(bench.EndedAs(3, reason::kOrganisationInFlight));
    bench.End(bench.NextStart(), reason::kAnswered);
    bench.Arrive(4);
    BW_CHECK(bench.mEnds[4].empty());
  }
  BW_SECTION("bound the requests a second")
  {
    for (request_number number = 1; number <= 4; ++number) {
      bench.Arrive(number, "p");
    }
    BW_CHECK(bench.mEnds[3].empty());
    BW_CHECK(bench.EndedAs(4, reason::kOrganisationRate));
    bench.Pass(milliseconds(400));
    bench.Arrive(5, "p");
    BW_CHECK(bench.mEnds[5].empty());
  }
  BW_SECTION("hold for a team inside its organisation")
  {
    bench.Arrive(1, "q", false, kWait, "t");
    bench.Arrive(2, "q", false, kWait, "t");
    BW_CHECK(bench.EndedAs(2, reason::kTeamInFlight));
  }
}

BW_STORY("instances")
{
  bench bench(10);

  BW_SECTION("that fail fast do not attract the requests")
  {
    std::map<std::string, int> served;
    request_number number = 1;
    for (int round = 0; round < 400; ++round) {
      bench.Arrive(number++);
      const start_action start = bench.NextStart();
      ++served[start.mInstance];
      bench.Pass(start.mInstance == "i3" ? microseconds(100) : microseconds(10'000));
      bench.End(start, start.mInstance == "i3" ? reason::kInstanceError : reason::kAnswered);
    }
    BW_CHECK(served["i3"] < 20);
  }
  BW_SECTION("are ejected up to a fifth of them only")
  {
    request_number number = 1;
    for (int round = 0; round < 200; ++round) {
      bench.Arrive(number++);
      bench.End(bench.NextStart(), reason::kInstanceError);
    }
    BW_EQUAL(2, bench.mEjections);
  }
  BW_SECTION("that are slow get few requests")
  {
    std::map<std::string, int> served;
    request_number number = 1;
    for (int round = 0; round < 400; ++round) {
      bench.Arrive(number++);
      const start_action start = bench.NextStart();
      ++served[start.mInstance];
      bench.Pass(start.mInstance == "i3" ? milliseconds(100) : milliseconds(10));
      bench.End(start, reason::kAnswered);
    }
    BW_CHECK(served["i3"] < 20);
  }
}

BW_STORY("instances that come, go or are far")
{
  bench bench(10);

  BW_SECTION("that are leaving get no new requests")
  {
    for (std::size_t index = 1; index < 10; ++index) {
      bench.mHosts.mHosts[index].mLeaving = true;
    }
    BW_SECTION("by the host list")
    {
      bench.mCore.SetHosts(bench.mHosts, bench.mNow);
    }
    BW_SECTION("by the settings")
    {
      for (std::size_t index = 1; index < 10; ++index) {
        bench.mSettings.mTargets["i" + std::to_string(index)].mLeaving = true;
      }
      bench.mCore.SetSettings(bench.mSettings, bench.mNow);
    }
    BW_SECTION("by what another router says, until it says so no more")
    {
      bench.mCore.HearLeaving({ "i1", "i2", "i3", "i4", "i5", "i6", "i7", "i8", "i9" }, bench.mNow);
      BW_EQUAL(1, bench.mCore.Slots("tags"));
      BW_CHECK(bench.mCore.LeavingTargets().empty());
      bench.Pass(seconds(6));
      BW_EQUAL(10, bench.mCore.Slots("tags"));
      bench.mCore.SetHosts(bench.mHosts, bench.mNow);
    }
    bench.Arrive(1);
    bench.Arrive(2);
    BW_EQUAL(std::string("i0"), bench.NextStart().mInstance);
    BW_CHECK(bench.mStarts.empty());
  }
  BW_SECTION("of the own failure domain go first, others when those are busy")
  {
    for (std::size_t index = 5; index < 10; ++index) {
      bench.mHosts.mHosts[index].mDomain = "d2";
    }
    bench.mCore.SetHosts(bench.mHosts, bench.mNow);
    std::set<std::string> first;
    for (request_number number = 1; number <= 5; ++number) {
      bench.Arrive(number);
      first.insert(bench.NextStart().mInstance);
    }
    BW_CHECK((first == std::set<std::string>{ "i0", "i1", "i2", "i3", "i4" }));
    bench.Arrive(6);
    BW_CHECK(bench.NextStart().mInstance >= "i5");
  }
}

BW_STORY("whatever happens")
{
  BW_SECTION("each request ends once, truly, and no instance runs more than its slots")
  {
    BW_CHECK(rc::check([] {
      bench bench(4, 2, 8);
      std::map<std::string, int> running;
      std::map<request_number, bool> mayHaveRun;
      std::deque<start_action> open;
      const auto events = *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 1 << 16));
      request_number number = 0;
      const auto settle = [&] {
        for (; !bench.mStarts.empty(); bench.mStarts.pop_front()) {
          open.push_back(bench.mStarts.front());
          RC_ASSERT(++running[open.back().mInstance] <= 2);
          RC_ASSERT(bench.mEnds[open.back().mRequest].empty());
        }
      };
      for (const int event : events) {
        const int detail = event / 8;
        if (event % 8 < 3) {
          bench.Arrive(++number, detail % 2 == 0 ? "a" : "b", detail % 3 == 0,
                       milliseconds(10 + detail % 200));
        } else if (event % 8 < 6 && !open.empty()) {
          static constexpr std::array kReasons{
            reason::kAnswered,      reason::kAnswered,       reason::kInstanceRefused,
            reason::kConnectFailed, reason::kConnectionLost, reason::kInstanceError,
            reason::kDeadlineSent,
          };
          const start_action start = open.front();
          open.pop_front();
          const reason ended = kReasons.at(static_cast<std::size_t>(detail) % kReasons.size());
          mayHaveRun[start.mRequest] |= TraitsOf(ended).mOutcome != outcome::kNotRun;
          --running[start.mInstance];
          bench.End(start, ended);
        } else {
          bench.Pass(milliseconds(detail % 50));
        }
        settle();
      }
      while (!open.empty()) {
        const start_action start = open.front();
        open.pop_front();
        mayHaveRun[start.mRequest] = true;
        --running[start.mInstance];
        bench.End(start, reason::kAnswered);
        settle();
      }
      bench.Pass(seconds(10));
      for (request_number each = 1; each <= number; ++each) {
        RC_ASSERT(bench.mEnds[each].size() == 1U);
        const bool notRun = TraitsOf(bench.mEnds[each].front()).mOutcome == outcome::kNotRun;
        RC_ASSERT(!(notRun && mayHaveRun[each]));
      }
    }));
  }
}
