#include "briarwind/routing_core.h"

#include "briarwind/testing.h"

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <set>

using namespace briarwind;

// Guards against requests that get no answer, two answers or an answer of not run after they may
// have run, against instances with more requests than slots, and against overload by retries or by
// one organisation.

namespace {

constexpr instant kStart{ seconds(1000) };
constexpr milliseconds kTimeToDeadline{ 1000 };

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

/// A single router with a virtual clock. Collects the actions of its core.
struct fixture
{
  explicit fixture(int aInstances, int aSlots = 1, std::size_t aQueued = 2000)
    : mCore({ .mSelf = "r", .mDomain = "d1", .mRelease = seconds(10), .mQueueCapacity = aQueued },
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
              bool aRepeatable = false, milliseconds aTimeToDeadline = kTimeToDeadline,
              const std::string& aTeam = "")
  {
    mCore.Arrive({ aNumber, "tags", aOrganisation, aTeam, mNow + aTimeToDeadline, aRepeatable },
                 mNow);
    CollectActions();
  }

  void End(const start_action& aStart, reason aReason)
  {
    mCore.OnAttemptEnded(aStart.mAttempt, aReason, mNow);
    mCore.OnAttemptReleased(aStart.mAttempt, mNow);
    CollectActions();
  }

  void Advance(duration aTime)
  {
    mNow += aTime;
    mCore.Tick(mNow);
    CollectActions();
  }

  void CollectActions()
  {
    for (const routing_action& each : mCore.TakeActions()) {
      if (const auto* start = std::get_if<start_action>(&each)) {
        mStarts.push_back(*start);
      } else if (const auto* conclusion = std::get_if<conclude_action>(&each)) {
        mReasons[conclusion->mRequest].push_back(conclusion->mReason);
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

  bool EndedOnlyAs(request_number aNumber, reason aReason)
  {
    return mReasons[aNumber] == std::vector<reason>{ aReason };
  }

  instant mNow = kStart;
  settings_view mSettings;
  host_list mHosts;
  routing_core mCore;
  std::deque<start_action> mStarts;
  std::map<request_number, std::vector<reason>> mReasons;
  int mEjections = 0;
};

} // namespace

BW_STORY("a request is answered, refused or retried")
{
  fixture fixture(3);

  BW_SECTION("a request for an unknown service is refused")
  {
    fixture.mCore.Arrive({ 1, "other", "o", "", fixture.mNow + kTimeToDeadline, false },
                         fixture.mNow);
    fixture.CollectActions();
    BW_CHECK(fixture.EndedOnlyAs(1, reason::kUnknownService));
  }
  BW_SECTION("a request starts at once and ends with its answer")
  {
    fixture.Arrive(1);
    fixture.End(fixture.NextStart(), reason::kAnswered);
    BW_CHECK(fixture.EndedOnlyAs(1, reason::kAnswered));
  }
  BW_SECTION("a request that an instance refused is retried on another instance")
  {
    fixture.Arrive(1);
    const start_action first = fixture.NextStart();
    fixture.End(first, reason::kInstanceRefused);
    const start_action second = fixture.NextStart();
    BW_CHECK(first.mInstance != second.mInstance);
    BW_CHECK(fixture.mReasons[1].empty());

    BW_SECTION("a request has at most three attempts")
    {
      fixture.End(second, reason::kConnectFailed);
      fixture.End(fixture.NextStart(), reason::kConnectFailed);
      BW_CHECK(fixture.mStarts.empty());
      BW_CHECK(fixture.EndedOnlyAs(1, reason::kConnectFailed));
    }
  }
  BW_SECTION("a retry after a failed connection does not use the retry budget")
  {
    for (request_number number = 1; number <= 40; ++number) {
      fixture.Arrive(number);
      fixture.End(fixture.NextStart(), reason::kConnectFailed);
      fixture.End(fixture.NextStart(), reason::kAnswered);
      BW_CHECK(fixture.EndedOnlyAs(number, reason::kAnswered));
    }
  }
  BW_SECTION("retries after refusals end when the retry budget is used up")
  {
    for (request_number number = 1; number <= 30; ++number) {
      fixture.Arrive(number);
      while (!fixture.mStarts.empty()) {
        fixture.End(fixture.NextStart(), reason::kInstanceRefused);
      }
    }
    fixture.Arrive(50);
    fixture.End(fixture.NextStart(), reason::kInstanceRefused);
    BW_CHECK(fixture.EndedOnlyAs(50, reason::kInstanceRefused));
  }
  BW_SECTION("a request that may have run is retried only when it is repeatable")
  {
    fixture.Arrive(1);
    fixture.End(fixture.NextStart(), reason::kConnectionLost);
    BW_CHECK(fixture.EndedOnlyAs(1, reason::kConnectionLost));
    fixture.Arrive(2, "o", true);
    fixture.End(fixture.NextStart(), reason::kConnectionLost);
    BW_CHECK(fixture.mReasons[2].empty());

    BW_SECTION("its outcome stays unknown when later attempts did not run")
    {
      fixture.End(fixture.NextStart(), reason::kInstanceRefused);
      fixture.End(fixture.NextStart(), reason::kInstanceRefused);
      BW_CHECK(fixture.EndedOnlyAs(2, reason::kConnectionLost));
    }
    BW_SECTION("a repeatable request whose deadline passes in the queue is answered as not run")
    {
      for (request_number number = 10; number < 13; ++number) {
        fixture.Arrive(number, "o", false, seconds(60));
      }
      fixture.Arrive(3, "o", true);
      fixture.Advance(kTimeToDeadline);
      BW_CHECK(fixture.EndedOnlyAs(3, reason::kDeadlineQueued));
    }
  }
}

BW_STORY("a request past its deadline or without a caller is concluded correctly")
{
  fixture fixture(3);

  BW_SECTION("an attempt past its deadline occupies its slot until the instance is done")
  {
    fixture.Arrive(1);
    const start_action start = fixture.NextStart();
    fixture.Advance(kTimeToDeadline);
    fixture.mCore.OnAttemptEnded(start.mAttempt, reason::kDeadlineSent, fixture.mNow);
    fixture.CollectActions();
    BW_CHECK(fixture.EndedOnlyAs(1, reason::kDeadlineSent));
    BW_EQUAL(std::size_t{ 1 }, fixture.mCore.Running());
    fixture.mCore.OnAttemptEnded(start.mAttempt, reason::kAnswered, fixture.mNow);
    fixture.mCore.OnAttemptReleased(start.mAttempt, fixture.mNow);
    fixture.CollectActions();
    BW_CHECK(fixture.EndedOnlyAs(1, reason::kDeadlineSent));
    BW_EQUAL(std::size_t{ 0 }, fixture.mCore.Running());
  }
  BW_SECTION("a request whose deadline passes in the queue is refused as not run")
  {
    for (request_number number = 1; number <= 4; ++number) {
      fixture.Arrive(number);
    }
    fixture.Advance(kTimeToDeadline);
    BW_CHECK(fixture.EndedOnlyAs(4, reason::kDeadlineQueued));
  }
  BW_SECTION("a queued request whose caller has gone is not started")
  {
    for (request_number number = 1; number <= 4; ++number) {
      fixture.Arrive(number);
    }
    fixture.mCore.Abandon(4, fixture.mNow);
    fixture.End(fixture.NextStart(), reason::kAnswered);
    BW_EQUAL(std::size_t{ 2 }, fixture.mStarts.size());
    BW_CHECK(fixture.mReasons[4].empty());
  }
}

BW_STORY("an overloaded service sheds load of the organisation that causes it")
{
  fixture fixture(2);
  for (request_number number = 1; number <= 2; ++number) {
    fixture.Arrive(number);
  }
  fixture.Advance(milliseconds(100));
  fixture.End(fixture.NextStart(), reason::kAnswered);
  for (request_number number = 10; number < 40; ++number) {
    fixture.Arrive(number, "flood");
  }

  BW_SECTION("requests that would miss their deadline are refused on arrival")
  {
    BW_CHECK(fixture.EndedOnlyAs(39, reason::kShed));
    BW_CHECK(fixture.mReasons[12].empty());
  }
  BW_SECTION("requests of other organisations are still accepted and served")
  {
    fixture.Arrive(50, "quiet");
    BW_CHECK(fixture.mReasons[50].empty());
    fixture.End(fixture.NextStart(), reason::kAnswered);
    fixture.End(fixture.NextStart(), reason::kAnswered);
    BW_CHECK(std::ranges::any_of(fixture.mStarts,
                                 [](const start_action& aStart) { return aStart.mRequest == 50; }));
  }
}

BW_STORY("limits of organisations and teams are enforced")
{
  fixture fixture(9);
  fixture.mSettings.mOrganisations["o"].mRequests.mRequestsInFlight = 2;
  fixture.mSettings.mOrganisations["p"].mRequests.mRequestsPerSecond = 3;
  fixture.mSettings.mTeams["t"].mRequests.mRequestsInFlight = 1;
  fixture.mCore.SetSettings(fixture.mSettings, fixture.mNow);

  BW_SECTION("the limit of requests in flight of an organisation is enforced")
  {
    for (request_number number = 1; number <= 3; ++number) {
      fixture.Arrive(number);
    }
    BW_CHECK(fixture.EndedOnlyAs(3, reason::kOrganisationInFlight));
    fixture.End(fixture.NextStart(), reason::kAnswered);
    fixture.Arrive(4);
    BW_CHECK(fixture.mReasons[4].empty());
  }
  BW_SECTION("the limit of requests per second of an organisation is enforced")
  {
    for (request_number number = 1; number <= 4; ++number) {
      fixture.Arrive(number, "p");
    }
    BW_CHECK(fixture.mReasons[3].empty());
    BW_CHECK(fixture.EndedOnlyAs(4, reason::kOrganisationRate));
    fixture.Advance(milliseconds(400));
    fixture.Arrive(5, "p");
    BW_CHECK(fixture.mReasons[5].empty());
  }
  BW_SECTION("the limit of requests in flight of a team is enforced")
  {
    fixture.Arrive(1, "q", false, kTimeToDeadline, "t");
    fixture.Arrive(2, "q", false, kTimeToDeadline, "t");
    BW_CHECK(fixture.EndedOnlyAs(2, reason::kTeamInFlight));
  }
}

BW_STORY("failing and slow instances get few requests")
{
  fixture fixture(10);

  BW_SECTION("an instance that fails fast does not attract requests")
  {
    std::map<std::string, int> attempts;
    request_number number = 1;
    for (int round = 0; round < 400; ++round) {
      fixture.Arrive(number++);
      const start_action start = fixture.NextStart();
      ++attempts[start.mInstance];
      fixture.Advance(start.mInstance == "i3" ? microseconds(100) : microseconds(10'000));
      fixture.End(start, start.mInstance == "i3" ? reason::kInstanceError : reason::kAnswered);
    }
    BW_CHECK(attempts["i3"] < 20);
  }
  BW_SECTION("at most a fifth of the instances is ejected")
  {
    request_number number = 1;
    for (int round = 0; round < 200; ++round) {
      fixture.Arrive(number++);
      fixture.End(fixture.NextStart(), reason::kInstanceError);
    }
    BW_EQUAL(2, fixture.mEjections);
  }
  BW_SECTION("a slow instance gets few requests")
  {
    std::map<std::string, int> attempts;
    request_number number = 1;
    for (int round = 0; round < 400; ++round) {
      fixture.Arrive(number++);
      const start_action start = fixture.NextStart();
      ++attempts[start.mInstance];
      fixture.Advance(start.mInstance == "i3" ? milliseconds(100) : milliseconds(10));
      fixture.End(start, reason::kAnswered);
    }
    BW_CHECK(attempts["i3"] < 20);
  }
}

BW_STORY("leaving instances and other failure domains are avoided")
{
  fixture fixture(10);

  BW_SECTION("a leaving instance gets no new requests")
  {
    for (std::size_t index = 1; index < 10; ++index) {
      fixture.mHosts.mHosts[index].mLeaving = true;
    }
    BW_SECTION("the host list marks instances as leaving")
    {
      fixture.mCore.SetHosts(fixture.mHosts, fixture.mNow);
    }
    BW_SECTION("the settings mark instances as leaving")
    {
      for (std::size_t index = 1; index < 10; ++index) {
        fixture.mSettings.mTargets["i" + std::to_string(index)].mLeaving = true;
      }
      fixture.mCore.SetSettings(fixture.mSettings, fixture.mNow);
    }
    BW_SECTION("another router reports instances as leaving until its report expires")
    {
      fixture.mCore.OnPeerLeavingTargets({ "i1", "i2", "i3", "i4", "i5", "i6", "i7", "i8", "i9" },
                                         fixture.mNow);
      BW_EQUAL(1, fixture.mCore.Slots("tags"));
      BW_CHECK(fixture.mCore.LeavingTargets().empty());
      fixture.Advance(seconds(6));
      BW_EQUAL(10, fixture.mCore.Slots("tags"));
      fixture.mCore.SetHosts(fixture.mHosts, fixture.mNow);
    }
    fixture.Arrive(1);
    fixture.Arrive(2);
    BW_EQUAL(std::string("i0"), fixture.NextStart().mInstance);
    BW_CHECK(fixture.mStarts.empty());
  }
  BW_SECTION(
    "instances of the local failure domain are chosen first, remote ones when those are busy")
  {
    for (std::size_t index = 5; index < 10; ++index) {
      fixture.mHosts.mHosts[index].mDomain = "d2";
    }
    fixture.mCore.SetHosts(fixture.mHosts, fixture.mNow);
    std::set<std::string> first;
    for (request_number number = 1; number <= 5; ++number) {
      fixture.Arrive(number);
      first.insert(fixture.NextStart().mInstance);
    }
    BW_CHECK((first == std::set<std::string>{ "i0", "i1", "i2", "i3", "i4" }));
    fixture.Arrive(6);
    BW_CHECK(fixture.NextStart().mInstance >= "i5");
  }
}

BW_STORY("the guarantees hold for any sequence of events")
{
  BW_SECTION("each request ends once with a true outcome and no instance exceeds its slots")
  {
    BW_CHECK(rc::check([] {
      fixture fixture(4, 2, 8);
      std::map<std::string, int> slotsInUse;
      std::map<request_number, bool> mayHaveRun;
      std::deque<start_action> inFlight;
      const auto events = *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 1 << 16));
      request_number number = 0;
      const auto trackStarts = [&] {
        for (; !fixture.mStarts.empty(); fixture.mStarts.pop_front()) {
          inFlight.push_back(fixture.mStarts.front());
          RC_ASSERT(++slotsInUse[inFlight.back().mInstance] <= 2);
          RC_ASSERT(fixture.mReasons[inFlight.back().mRequest].empty());
        }
      };
      for (const int event : events) {
        const int detail = event / 8;
        if (event % 8 < 3) {
          fixture.Arrive(++number, detail % 2 == 0 ? "a" : "b", detail % 3 == 0,
                         milliseconds(10 + detail % 200));
        } else if (event % 8 < 6 && !inFlight.empty()) {
          static constexpr std::array kReasons{
            reason::kAnswered,      reason::kAnswered,       reason::kInstanceRefused,
            reason::kConnectFailed, reason::kConnectionLost, reason::kInstanceError,
            reason::kDeadlineSent,
          };
          const start_action start = inFlight.front();
          inFlight.pop_front();
          const reason ended = kReasons.at(static_cast<std::size_t>(detail) % kReasons.size());
          mayHaveRun[start.mRequest] |= TraitsOf(ended).mOutcome != outcome::kNotRun;
          --slotsInUse[start.mInstance];
          fixture.End(start, ended);
        } else {
          fixture.Advance(milliseconds(detail % 50));
        }
        trackStarts();
      }
      while (!inFlight.empty()) {
        const start_action start = inFlight.front();
        inFlight.pop_front();
        mayHaveRun[start.mRequest] = true;
        --slotsInUse[start.mInstance];
        fixture.End(start, reason::kAnswered);
        trackStarts();
      }
      fixture.Advance(seconds(10));
      for (request_number each = 1; each <= number; ++each) {
        RC_ASSERT(fixture.mReasons[each].size() == 1U);
        const bool notRun = TraitsOf(fixture.mReasons[each].front()).mOutcome == outcome::kNotRun;
        RC_ASSERT(!(notRun && mayHaveRun[each]));
      }
    }));
  }
}
