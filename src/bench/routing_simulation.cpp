#include "bench/routing_simulation.h"

#include "briarwind/routing_core.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace briarwind::bench {

namespace {

constexpr instant kBegin{ seconds(1000) };
constexpr milliseconds kTick{ 5 };
constexpr milliseconds kFailureTime{ 1 };
constexpr double kSpread = 0.5; // sigma of the log-normal service time
constexpr const char* kService = "tags";

struct event
{
  instant mAt;
  std::uint64_t mOrder;
  std::function<void()> mWhat;

  bool operator>(const event& aOther) const
  {
    return std::pair(mAt, mOrder) > std::pair(aOther.mAt, aOther.mOrder);
  }
};

struct simulated_instance
{
  bool mSlow = false;
  bool mFails = false;
  int mRunning = 0;
};

struct open_request
{
  instant mArrived;
  instant mDeadline;
};

class simulation
{
public:
  simulation(const routing_scenario& aScenario, const choice_maker& aChoice)
    : mScenario(aScenario)
    , mRandom(aScenario.mSeed)
    , mServiceTimes(MeanLog(aScenario.mServiceTime), kSpread)
  {
    const host_list hosts = MakeHosts();
    member_view members{ 1, {} };
    for (int index = 0; index < aScenario.mRouters; ++index) {
      members.mMembers.push_back("r" + std::to_string(index));
    }
    settings_view settings;
    settings.mRevision = 1;
    settings.mServices[kService] = { kService, aScenario.mSlots, 64 };
    for (const std::string& each : members.mMembers) {
      routing_options options{ .mSelf = each, .mDomain = "d1", .mRelease = seconds(6) };
      options.mEjects = aScenario.mEjects;
      options.mSeed = aScenario.mSeed + mRouters.size();
      mRouters.push_back(std::make_unique<routing_core>(options, aChoice()));
      mRouters.back()->Shares().AdoptFixed(members);
      mRouters.back()->SetSettings(settings, mNow);
      mRouters.back()->SetHosts(hosts, mNow);
    }
  }

  routing_result Run()
  {
    const instant end = kBegin + mScenario.mTime;
    ScheduleArrival(end);
    ScheduleTick(end + mScenario.mDeadline + seconds(5));
    while (!mEvents.empty()) {
      const event next = mEvents.top();
      mEvents.pop();
      mNow = next.mAt;
      next.mWhat();
    }
    return Summary();
  }

private:
  static double MeanLog(duration aMean)
  {
    return std::log(std::chrono::duration<double>(aMean).count()) - kSpread * kSpread / 2;
  }

  host_list MakeHosts()
  {
    host_list hosts;
    for (int index = 0; index < mScenario.mInstances; ++index) {
      host target;
      target.mName = "i" + std::to_string(index);
      target.mKind = host_kind::kTarget;
      target.mService = kService;
      target.mDomain = "d1";
      hosts.mHosts.push_back(target);
      simulated_instance& own = mInstances[target.mName];
      own.mSlow = index < mScenario.mSlowInstances;
      own.mFails = !own.mSlow && index < mScenario.mSlowInstances + mScenario.mFailingInstances;
    }
    return hosts;
  }

  void At(instant aAt, std::function<void()> aWhat)
  {
    mEvents.push({ aAt, mOrder++, std::move(aWhat) });
  }

  void ScheduleArrival(instant aEnd)
  {
    const double perSecond = mScenario.mLoad * mScenario.mInstances * mScenario.mSlots /
                             std::chrono::duration<double>(mScenario.mServiceTime).count();
    const std::chrono::duration<double> gap{ std::exponential_distribution<>(perSecond)(mRandom) };
    const instant at = mNow + std::chrono::duration_cast<duration>(gap);
    if (at < aEnd) {
      At(at, [this, aEnd] {
        Arrive();
        ScheduleArrival(aEnd);
      });
    }
  }

  void ScheduleTick(instant aEnd)
  {
    if (mNow < aEnd) {
      At(mNow + kTick, [this, aEnd] {
        for (std::size_t index = 0; index < mRouters.size(); ++index) {
          mRouters[index]->Tick(mNow);
          Carry(index);
        }
        ScheduleTick(aEnd);
      });
    }
  }

  void Arrive()
  {
    const std::size_t router = mRandom() % mRouters.size();
    const request_number number = ++mResult.mArrived;
    const instant deadline = mNow + mScenario.mDeadline;
    mOpen[number] = { mNow, deadline };
    const auto begun = monotonic_clock::now();
    mRouters[router]->Arrive({ number, kService, "o", "", deadline, false }, mNow);
    mDecisions += monotonic_clock::now() - begun;
    Carry(router);
  }

  void Carry(std::size_t aRouter)
  {
    for (const routing_action& each : mRouters[aRouter]->TakeActions()) {
      if (const auto* start = std::get_if<start_action>(&each)) {
        Start(aRouter, *start);
      } else if (const auto* conclusion = std::get_if<conclude_action>(&each)) {
        Conclude(*conclusion);
      }
    }
  }

  void Start(std::size_t aRouter, const start_action& aStart)
  {
    simulated_instance& instance = mInstances.at(aStart.mInstance);
    mResult.mMostRunning = std::max(mResult.mMostRunning, ++instance.mRunning);
    std::chrono::duration<double> time{ mServiceTimes(mRandom) };
    time *= instance.mSlow ? mScenario.mSlowFactor : 1;
    const duration took =
      instance.mFails ? kFailureTime : std::chrono::duration_cast<duration>(time);
    const instant deadline = mOpen.at(aStart.mRequest).mDeadline;
    if (mNow + took > deadline) {
      At(deadline, [this, aRouter, aStart] {
        mRouters[aRouter]->Ended(aStart.mAttempt, reason::kDeadlineSent, mNow);
        Carry(aRouter);
      });
    }
    At(mNow + took, [this, aRouter, aStart, &instance] {
      --instance.mRunning;
      const reason ended = instance.mFails ? reason::kInstanceError : reason::kAnswered;
      mRouters[aRouter]->Ended(aStart.mAttempt, ended, mNow);
      mRouters[aRouter]->Released(aStart.mAttempt, mNow);
      Carry(aRouter);
    });
  }

  void Conclude(const conclude_action& aAction)
  {
    const auto found = mOpen.find(aAction.mRequest);
    switch (TraitsOf(aAction.mReason).mOutcome) {
      case outcome::kOk:
        ++mResult.mGood;
        // What is answered after the last arrival would make an overload look better than it is.
        mGoodInTime += mNow < kBegin + mScenario.mTime ? 1 : 0;
        mTimes.push_back(mNow - found->second.mArrived);
        break;
      case outcome::kNotRun:
        ++mResult.mNotRun;
        break;
      case outcome::kUnknown:
        ++mResult.mUnknown;
        break;
      case outcome::kFailed:
        ++mResult.mFailed;
        break;
    }
    mOpen.erase(found);
  }

  routing_result Summary()
  {
    std::ranges::sort(mTimes);
    if (!mTimes.empty()) {
      mResult.mP50 = mTimes[mTimes.size() / 2];
      mResult.mP99 = mTimes[mTimes.size() * 99 / 100];
    }
    const std::chrono::duration<double> time = mScenario.mTime;
    mResult.mGoodPerSecond = static_cast<double>(mGoodInTime) / time.count();
    mResult.mDecisionTime = mDecisions / std::max<std::int64_t>(1, mResult.mArrived);
    return mResult;
  }

  routing_scenario mScenario;
  std::mt19937_64 mRandom;
  std::lognormal_distribution<> mServiceTimes;
  instant mNow = kBegin;
  std::uint64_t mOrder = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> mEvents;
  std::vector<std::unique_ptr<routing_core>> mRouters;
  std::map<std::string, simulated_instance> mInstances;
  std::unordered_map<request_number, open_request> mOpen;
  std::vector<duration> mTimes;
  duration mDecisions{};
  std::int64_t mGoodInTime = 0;
  routing_result mResult;
};

} // namespace

routing_result RunRouting(const routing_scenario& aScenario, const choice_maker& aChoice)
{
  return simulation(aScenario, aChoice).Run();
}

} // namespace briarwind::bench
