#include "bench/policy_strategy.h"

namespace briarwind::bench {

namespace {

void ApplyBaseline(job_options& aOptions)
{
  aOptions.mGuarantees = guarantee_policy::kFirstFit;
  aOptions.mOrder = queue_order::kArrival;
  aOptions.mPacking = packing::kFirstFit;
  aOptions.mLearnRunTimes = false;
  aOptions.mDrainForGangs = false;
  aOptions.mGangEviction = false;
}

constexpr policy_strategy kStrategies[] = {
  { "cells", "scheduler defaults", [](job_options&) {} },
  { "first-fit", "arrival order, first workers that fit, and guaranteed jobs evict there",
    ApplyBaseline },
  { "witness", "defaults, but guaranteed shapes move to free capacity when claimed",
    [](job_options& aOptions) { aOptions.mGuarantees = guarantee_policy::kMovableCells; } },
  { "cells-arrival", "defaults, but in order of arrival",
    [](job_options& aOptions) { aOptions.mOrder = queue_order::kArrival; } },
  { "cells-attained", "defaults, but least attained service first",
    [](job_options& aOptions) { aOptions.mOrder = queue_order::kLeastAttained; } },
  { "cells-declared", "defaults, but declared run times are used uncorrected",
    [](job_options& aOptions) { aOptions.mLearnRunTimes = false; } },
  { "cells-no-evict", "defaults, but gangs drain workers and never evict",
    [](job_options& aOptions) { aOptions.mGangEviction = false; } },
  { "cells-neither", "defaults, but gangs neither drain workers nor evict",
    [](job_options& aOptions) {
      aOptions.mGangEviction = false;
      aOptions.mDrainForGangs = false;
    } },
  { "cells-no-drain", "defaults, but without draining reservations",
    [](job_options& aOptions) { aOptions.mDrainForGangs = false; } },
  { "cells-first-fit", "defaults, but gangs take the first workers that fit",
    [](job_options& aOptions) { aOptions.mPacking = packing::kFirstFit; } },
};

} // namespace

std::span<const policy_strategy> Strategies()
{
  return kStrategies;
}

} // namespace briarwind::bench
