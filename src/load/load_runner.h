#pragma once

#include "load_plan.h"
#include "load_report.h"

#include "briarwind/fiber_runtime.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace briarwind {

/// The input of RunLoad.
struct load_run
{
  std::vector<endpoint> mTargets; ///< used in round-robin order; not empty
  std::vector<load_kind> mKinds;
  std::vector<planned_request> mPlan;
  std::size_t mMaxInFlight = 1'000; ///< requests above the limit count as `unreached`
  std::uint64_t mFirstId = 1; ///< number in the id of the first request; the next ones count up
};

/// Sends each request at its planned time without waiting for earlier answers (an open loop), then
/// waits for all answers. Suspends the calling fiber.
load_report RunLoad(fiber_runtime& aRuntime, const load_run& aRun);

} // namespace briarwind
