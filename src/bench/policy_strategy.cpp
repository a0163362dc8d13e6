#include "bench/policy_strategy.h"

namespace briarwind::bench {

namespace {

void Baseline(job_options& aOptions)
{
  aOptions.mGuarantees = guarantee_policy::kFirstFit;
  aOptions.mOrder = queue_order::kArrival;
  aOptions.mPacking = packing::kFirstFit;
  aOptions.mLearnRunTimes = false;
  aOptions.mDrainForGangs = false;
  aOptions.mGangsEvict = false;
}

constexpr policy_strategy kStrategies[] = {
  { "cells", "as shipped", [](job_options&) {} },
  { "first-fit", "arrival order, first workers that fit, claims evict there", Baseline },
  { "witness", "guaranteed shapes move to free room when claimed",
    [](job_options& aOptions) { aOptions.mGuarantees = guarantee_policy::kWitness; } },
  { "cells-arrival", "as shipped, but in order of arrival",
    [](job_options& aOptions) { aOptions.mOrder = queue_order::kArrival; } },
  { "cells-attained", "as shipped, but least attained service first",
    [](job_options& aOptions) { aOptions.mOrder = queue_order::kLeastAttained; } },
  { "cells-declared", "as shipped, but declared run times are believed",
    [](job_options& aOptions) { aOptions.mLearnRunTimes = false; } },
  { "cells-no-evict", "as shipped, but gangs only drain, they do not evict",
    [](job_options& aOptions) { aOptions.mGangsEvict = false; } },
  { "cells-neither", "as shipped, but gangs neither drain nor evict",
    [](job_options& aOptions) {
      aOptions.mGangsEvict = false;
      aOptions.mDrainForGangs = false;
    } },
  { "cells-no-drain", "as shipped, without draining reservations",
    [](job_options& aOptions) { aOptions.mDrainForGangs = false; } },
  { "cells-first-fit", "as shipped, but the first workers that fit",
    [](job_options& aOptions) { aOptions.mPacking = packing::kFirstFit; } },
};

} // namespace

std::span<const policy_strategy> Strategies()
{
  return kStrategies;
}

} // namespace briarwind::bench
