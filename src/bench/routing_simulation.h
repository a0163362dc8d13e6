#pragma once

#include "briarwind/instance_choice.h"
#include "briarwind/time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace briarwind::bench {

/// One run of routers and instances on a virtual clock.
struct routing_scenario
{
  int mRouters = 8;
  int mInstances = 50;
  int mSlots = 8;
  double mLoad = 0.5; ///< arrivals over what all slots can carry
  duration mTime = seconds(10);
  duration mServiceTime = milliseconds(50); ///< mean; log-normal
  milliseconds mDeadline{ 1'000 };
  int mSlowInstances = 0;
  double mSlowFactor = 10;
  int mFailingInstances = 0; ///< fail at once
  bool mEjects = true;
  std::uint64_t mSeed = 1;
};

struct routing_result
{
  std::int64_t mArrived = 0;
  std::int64_t mGood = 0;
  std::int64_t mNotRun = 0;
  std::int64_t mUnknown = 0;
  std::int64_t mFailed = 0;
  double mGoodPerSecond = 0; ///< of virtual time
  duration mP50{};           ///< of good answers, from arrival
  duration mP99{};
  int mMostRunning = 0;     ///< on any instance at any time
  duration mDecisionTime{}; ///< processor time of the core for one arrival, on the real clock
};

using choice_maker = std::function<std::unique_ptr<choice_strategy>()>;

routing_result RunRouting(const routing_scenario& aScenario, const choice_maker& aChoice);

} // namespace briarwind::bench
