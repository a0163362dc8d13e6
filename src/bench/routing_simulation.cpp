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

constexpr instant kSimulationStart{ seconds(1000) };
constexpr milliseconds kTickInterval{ 5 };
constexpr milliseconds kFailureLatency{ 1 };
constexpr double kServiceTimeSigma = 0.5; // of the log-normal distribution
constexpr const char* kServiceName = "tags";

struct event
{
  instant mDue;
  std::uint64_t mSequence; // keeps events of one instant in the order of their scheduling
  std::function<void()> mCallback;

  bool operator>(const event& aOther) const
  {
    return std::pair(mDue, mSequence) > std::pair(aOther.mDue, aOther.mSequence);
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
  simulation(const routing_scenario& aScenario, const choice_strategy_factory& aMakeStrategy)
    : mScenario(aScenario)
    , mRandom(aScenario.mSeed)
    , mServiceTimes(MeanOfLogarithm(aScenario.mServiceTime), kServiceTimeSigma)
  {
    const host_list hosts = MakeHosts();
    member_view members{ 1, {} };
    for (int index = 0; index < aScenario.mRouters; ++index) {
      members.mMembers.push_back("r" + std::to_string(index));
    }
    settings_view settings;
    settings.mRevision = 1;
    settings.mServices[kServiceName] = { kServiceName, aScenario.mSlots, 64 };
    for (const std::string& each : members.mMembers) {
      routing_options options{ .mSelf = each, .mDomain = "d1", .mRelease = seconds(6) };
      options.mEjects = aScenario.mEjects;
      options.mSeed = aScenario.mSeed + mRouters.size();
      mRouters.push_back(std::make_unique<routing_core>(options, aMakeStrategy()));
      mRouters.back()->Shares().AdoptFixed(members);
      mRouters.back()->SetSettings(settings, mNow);
      mRouters.back()->SetHosts(hosts, mNow);
    }
  }

  routing_result Run()
  {
    const instant end = kSimulationStart + mScenario.mTime;
    ScheduleArrival(end);
    ScheduleTick(end + mScenario.mDeadline + seconds(5));
    while (!mEvents.empty()) {
      const event current = mEvents.top();
      mEvents.pop();
      mNow = current.mDue;
      current.mCallback();
    }
    return Summarise();
  }

private:
  // Mean of the logarithm for a log-normal distribution with mean aMean.
  static double MeanOfLogarithm(duration aMean)
  {
    return std::log(std::chrono::duration<double>(aMean).count()) -
           kServiceTimeSigma * kServiceTimeSigma / 2;
  }

  host_list MakeHosts()
  {
    host_list hosts;
    for (int index = 0; index < mScenario.mInstances; ++index) {
      host target;
      target.mName = "i" + std::to_string(index);
      target.mKind = host_kind::kTarget;
      target.mService = kServiceName;
      target.mDomain = "d1";
      hosts.mHosts.push_back(target);
      simulated_instance& simulated = mInstances[target.mName];
      simulated.mSlow = index < mScenario.mSlowInstances;
      simulated.mFails =
        !simulated.mSlow && index < mScenario.mSlowInstances + mScenario.mFailingInstances;
    }
    return hosts;
  }

  void Schedule(instant aTime, std::function<void()> aCallback)
  {
    mEvents.push({ aTime, mNextSequence++, std::move(aCallback) });
  }

  void ScheduleArrival(instant aEnd)
  {
    const double perSecond = mScenario.mLoad * mScenario.mInstances * mScenario.mSlots /
                             std::chrono::duration<double>(mScenario.mServiceTime).count();
    const std::chrono::duration<double> interval{ std::exponential_distribution<>(perSecond)(
      mRandom) };
    const instant at = mNow + std::chrono::duration_cast<duration>(interval);
    if (at < aEnd) {
      Schedule(at, [this, aEnd] {
        Arrive();
        ScheduleArrival(aEnd);
      });
    }
  }

  void ScheduleTick(instant aEnd)
  {
    if (mNow < aEnd) {
      Schedule(mNow + kTickInterval, [this, aEnd] {
        for (std::size_t index = 0; index < mRouters.size(); ++index) {
          mRouters[index]->Tick(mNow);
          PerformActions(index);
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
    mOpenRequests[number] = { mNow, deadline };
    const auto decisionStart = monotonic_clock::now();
    mRouters[router]->Arrive({ number, kServiceName, "o", "", deadline, false }, mNow);
    mDecisionTimeSum += monotonic_clock::now() - decisionStart;
    PerformActions(router);
  }

  // Performs the actions that a router has decided on.
  void PerformActions(std::size_t aRouter)
  {
    for (const routing_action& each : mRouters[aRouter]->TakeActions()) {
      if (const auto* start = std::get_if<start_action>(&each)) {
        StartAttempt(aRouter, *start);
      } else if (const auto* conclusion = std::get_if<conclude_action>(&each)) {
        FinishRequest(*conclusion);
      }
    }
  }

  void StartAttempt(std::size_t aRouter, const start_action& aStart)
  {
    simulated_instance& instance = mInstances.at(aStart.mInstance);
    mResult.mMostRunning = std::max(mResult.mMostRunning, ++instance.mRunning);
    std::chrono::duration<double> serviceTime{ mServiceTimes(mRandom) };
    serviceTime *= instance.mSlow ? mScenario.mSlowFactor : 1;
    const duration runTime =
      instance.mFails ? kFailureLatency : std::chrono::duration_cast<duration>(serviceTime);
    const instant deadline = mOpenRequests.at(aStart.mRequest).mDeadline;
    if (mNow + runTime > deadline) {
      Schedule(deadline, [this, aRouter, aStart] {
        mRouters[aRouter]->OnAttemptEnded(aStart.mAttempt, reason::kDeadlineSent, mNow);
        PerformActions(aRouter);
      });
    }
    Schedule(mNow + runTime, [this, aRouter, aStart, &instance] {
      --instance.mRunning;
      const reason ended = instance.mFails ? reason::kInstanceError : reason::kAnswered;
      mRouters[aRouter]->OnAttemptEnded(aStart.mAttempt, ended, mNow);
      mRouters[aRouter]->OnAttemptReleased(aStart.mAttempt, mNow);
      PerformActions(aRouter);
    });
  }

  void FinishRequest(const conclude_action& aAction)
  {
    const auto openRequest = mOpenRequests.find(aAction.mRequest);
    switch (TraitsOf(aAction.mReason).mOutcome) {
      case outcome::kOk:
        ++mResult.mGood;
        // Answers after the last arrival are left out: they would overstate the rate under
        // overload.
        mGoodBeforeEnd += mNow < kSimulationStart + mScenario.mTime ? 1 : 0;
        mGoodLatencies.push_back(mNow - openRequest->second.mArrived);
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
    mOpenRequests.erase(openRequest);
  }

  routing_result Summarise()
  {
    std::ranges::sort(mGoodLatencies);
    if (!mGoodLatencies.empty()) {
      mResult.mP50 = mGoodLatencies[mGoodLatencies.size() / 2];
      mResult.mP99 = mGoodLatencies[mGoodLatencies.size() * 99 / 100];
    }
    const std::chrono::duration<double> arrivalSeconds = mScenario.mTime;
    mResult.mGoodPerSecond = static_cast<double>(mGoodBeforeEnd) / arrivalSeconds.count();
    mResult.mDecisionTime = mDecisionTimeSum / std::max<std::int64_t>(1, mResult.mArrived);
    return mResult;
  }

  routing_scenario mScenario;
  std::mt19937_64 mRandom;
  std::lognormal_distribution<> mServiceTimes;
  instant mNow = kSimulationStart;
  std::uint64_t mNextSequence = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> mEvents;
  std::vector<std::unique_ptr<routing_core>> mRouters;
  std::map<std::string, simulated_instance> mInstances;
  std::unordered_map<request_number, open_request> mOpenRequests;
  std::vector<duration> mGoodLatencies;
  duration mDecisionTimeSum{};
  std::int64_t mGoodBeforeEnd = 0;
  routing_result mResult;
};

} // namespace

routing_result RunRouting(const routing_scenario& aScenario,
                          const choice_strategy_factory& aMakeStrategy)
{
  return simulation(aScenario, aMakeStrategy).Run();
}

} // namespace briarwind::bench
