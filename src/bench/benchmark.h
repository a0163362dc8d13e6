#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind::bench {

/// A benchmark that briarwind-bench runs by name.
struct benchmark
{
  std::string_view mName;
  std::string_view mDescription;
  /// Runs the benchmark. aArguments holds the program's name, then the arguments that follow the
  /// benchmark's name. Returns the exit code of the process.
  int (*mRun)(std::vector<std::string> aArguments);
};

/// Compares job scheduling policies with baselines, on a virtual clock. Takes the command-line
/// flags that `briarwind-bench policy --help` prints.
int RunPolicyBenchmark(std::vector<std::string> aArguments);

/// Compares rules for starting tasks during store outages and network partitions, on a virtual
/// clock. Ignores its arguments.
int RunFreshnessBenchmark(std::vector<std::string> aArguments);

/// Compares instance selection strategies under faults and overload, on a virtual clock. Returns 2
/// when it is given an argument.
int RunRoutingBenchmark(std::vector<std::string> aArguments);

/// Measures the time of a decision pass of work_core with 40 organisations and 32,000 running
/// tasks, for growing numbers of waiting jobs or for the one given as an argument.
int RunDecisionBenchmark(std::vector<std::string> aArguments);

} // namespace briarwind::bench
