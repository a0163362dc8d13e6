#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind::bench {

/// One named benchmark of briarwind-bench.
struct benchmark
{
  std::string_view mName;
  std::string_view mMeaning;
  /// Gets the program's name and the arguments after the benchmark's. Returns the exit code.
  int (*mRun)(std::vector<std::string> aArguments);
};

/// Jobs under a policy against its baselines, on a virtual clock.
int RunPolicyBenchmark(std::vector<std::string> aArguments);

/// Rules for starting tasks against each other in outages and cuts, on a virtual clock.
int RunFreshnessBenchmark(std::vector<std::string> aArguments);
/// Choice of instances under faults and overload, on a virtual clock.
int RunRoutingBenchmark(std::vector<std::string> aArguments);

} // namespace briarwind::bench
