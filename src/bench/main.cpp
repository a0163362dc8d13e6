#include "bench/benchmark.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>

namespace {

constexpr briarwind::bench::benchmark kBenchmarks[] = {
  { "policy", "job scheduling policies against baselines", briarwind::bench::RunPolicyBenchmark },
  { "freshness", "rules for starting tasks during store outages and network partitions",
    briarwind::bench::RunFreshnessBenchmark },
  { "routing", "instance selection under faults and overload",
    briarwind::bench::RunRoutingBenchmark },
  { "decision", "time of a decision pass of the step core on a full fleet",
    briarwind::bench::RunDecisionBenchmark },
};

constexpr int kUsageExit = 2;

int PrintUsage()
{
  fmt::print(stderr, "usage: briarwind-bench BENCHMARK [--help]\n");
  for (const auto& each : kBenchmarks) {
    fmt::print(stderr, "  {:<10} {}\n", each.mName, each.mDescription);
  }
  return kUsageExit;
}

} // namespace

int main(int argc, char** argv)
{
  std::vector<std::string> arguments(argv, argv + argc);
  if (arguments.size() < 2) {
    return PrintUsage();
  }
  const auto found =
    std::ranges::find(kBenchmarks, arguments[1], &briarwind::bench::benchmark::mName);
  if (found == std::end(kBenchmarks)) {
    return PrintUsage();
  }
  arguments.erase(arguments.begin() + 1);
  return found->mRun(std::move(arguments));
}
