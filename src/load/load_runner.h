#pragma once

#include "load_plan.h"
#include "load_report.h"

#include "briarwind/fiber_runtime.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace briarwind {

struct load_run
{
  std::vector<endpoint> mTargets; ///< taken in turn
  std::vector<load_kind> mKinds;
  std::vector<planned_request> mPlan;
  std::size_t mMostOpen = 1'000; ///< requests open at once; more are counted as `unreached`
  std::uint64_t mFirstId = 1;
};

/// Sends each request at its planned time, whether earlier ones were answered or not, and waits for
/// all answers. Suspends the calling fiber.
load_report RunLoad(fiber_runtime& aRuntime, const load_run& aRun);

} // namespace briarwind
