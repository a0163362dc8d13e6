#pragma once

#include "briarwind/instance_choice.h"
#include "briarwind/time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace briarwind::bench {

/// One run of routers and target instances on a virtual clock.
struct routing_scenario
{
  int mRouters = 8;
  int mInstances = 50;
  int mSlots = 8;               ///< requests that one instance runs at once
  double mLoad = 0.5;           ///< arrival rate as a share of the rate that all slots can serve
  duration mTime = seconds(10); ///< for which requests arrive
  duration mServiceTime = milliseconds(50); ///< mean; log-normal
  milliseconds mDeadline{ 1'000 };          ///< of each request, from its arrival
  int mSlowInstances = 0;
  double mSlowFactor = 10;   ///< service time of a slow instance over that of the others
  int mFailingInstances = 0; ///< instances that fail each request after 1 ms
  bool mEjects = true;       ///< whether routers eject instances that fail
  std::uint64_t mSeed = 1;
};

/// What one run measured. The counts are of requests.
struct routing_result
{
  std::int64_t mArrived = 0;
  std::int64_t mGood = 0;
  std::int64_t mNotRun = 0;
  std::int64_t mUnknown = 0;
  std::int64_t mFailed = 0;
  double mGoodPerSecond = 0; ///< of virtual time; only answers before the arrivals end
  duration mP50{};           ///< latency of good answers, from arrival
  duration mP99{};
  int mMostRunning = 0;     ///< most requests that one instance ran at once
  duration mDecisionTime{}; ///< mean real time that the core spends on one arrival
};

/// Creates one strategy object for each router.
using choice_strategy_factory = std::function<std::unique_ptr<choice_strategy>()>;

routing_result RunRouting(const routing_scenario& aScenario,
                          const choice_strategy_factory& aMakeStrategy);

} // namespace briarwind::bench
