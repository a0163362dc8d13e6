#include "bench/benchmark.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>

namespace {

constexpr briarwind::bench::benchmark kBenchmarks[] = {
  { "policy", "jobs under a policy against its baselines", briarwind::bench::RunPolicyBenchmark },
  { "freshness", "rules for starting tasks in outages and cuts",
    briarwind::bench::RunFreshnessBenchmark },
  { "routing", "requests to instances under faults and overload",
    briarwind::bench::RunRoutingBenchmark },
};

constexpr int kUsageExit = 2;

int Usage()
{
  fmt::print(stderr, "usage: briarwind-bench BENCHMARK [--help]\n");
  for (const auto& each : kBenchmarks) {
    fmt::print(stderr, "  {:<10} {}\n", each.mName, each.mMeaning);
  }
  return kUsageExit;
}

} // namespace

int main(int argc, char** argv)
{
  std::vector<std::string> arguments(argv, argv + argc);
  if (arguments.size() < 2) {
    return Usage();
  }
  const auto found =
    std::ranges::find(kBenchmarks, arguments[1], &briarwind::bench::benchmark::mName);
  if (found == std::end(kBenchmarks)) {
    return Usage();
  }
  arguments.erase(arguments.begin() + 1);
  return found->mRun(std::move(arguments));
}
