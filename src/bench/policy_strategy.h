#pragma once

#include "briarwind/job_options.h"

#include <span>
#include <string_view>

namespace briarwind::bench {

/// One way to decide that is compared: changes the options that the scheduler ships with.
struct policy_strategy
{
  std::string_view mName;
  std::string_view mMeaning;
  void (*mApply)(job_options& aOptions);
};

/// The first is the shipped default, the second the baseline.
std::span<const policy_strategy> Strategies();

} // namespace briarwind::bench
