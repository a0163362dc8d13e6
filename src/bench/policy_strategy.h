#pragma once

#include "briarwind/job_options.h"

#include <span>
#include <string_view>

namespace briarwind::bench {

/// A set of scheduler options under comparison, given as a change to the default options.
struct policy_strategy
{
  std::string_view mName;
  std::string_view mDescription;
  void (*mApply)(job_options& aOptions);
};

/// All strategies. The first is the default of the scheduler, the second the baseline.
std::span<const policy_strategy> Strategies();

} // namespace briarwind::bench
