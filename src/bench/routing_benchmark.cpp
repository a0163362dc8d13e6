#include "bench/benchmark.h"
#include "bench/routing_simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace briarwind::bench {

namespace {

constexpr int kSeeds = 5;

struct contender
{
  std::string_view mName;
  std::unique_ptr<choice_strategy> (*mMake)();
  bool mEjects;
};

constexpr std::array<contender, 5> kContenders{ {
  { "two-choice", MakeTwoChoice, true },
  { "two-choice, no ejection", MakeTwoChoice, false },
  { "round-robin", MakeRoundRobin, false },
  { "least-in-flight", MakeLeastInFlight, false },
  { "exponential-weighting", MakeExponentialWeighting, false },
} };

double Milliseconds(duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

/// Median over the seeds of one number of the results.
template<class Number>
double Median(const std::vector<routing_result>& aResults, Number aNumber)
{
  std::vector<double> numbers;
  for (const routing_result& each : aResults) {
    numbers.push_back(aNumber(each));
  }
  std::ranges::sort(numbers);
  return numbers[numbers.size() / 2];
}

std::vector<routing_result> RunSeeds(routing_scenario aScenario, const contender& aContender)
{
  std::vector<routing_result> results;
  aScenario.mEjects = aContender.mEjects;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    aScenario.mSeed = static_cast<std::uint64_t>(seed);
    results.push_back(RunRouting(aScenario, aContender.mMake));
  }
  return results;
}

double P99(const routing_result& aResult)
{
  return Milliseconds(aResult.mP99);
}

void CompareFaults()
{
  fmt::print("load 0.5 of the slots, one slow (10x) and one fast-failing instance of 50, median of "
             "{} seeds\n",
             kSeeds);
  fmt::print("{:<26}{:>10}{:>14}{:>8}{:>10}{:>12}\n", "choice", "p99 none", "p99 faults", "ratio",
             "failed %", "us/arrival");
  for (const contender& each : kContenders) {
    routing_scenario scenario;
    const auto without = RunSeeds(scenario, each);
    scenario.mSlowInstances = 1;
    scenario.mFailingInstances = 1;
    const auto with = RunSeeds(scenario, each);
    const double before = Median(without, P99);
    const double after = Median(with, P99);
    const double failed = Median(with, [](const routing_result& aResult) {
      return 100.0 * static_cast<double>(aResult.mFailed) / static_cast<double>(aResult.mArrived);
    });
    const double decision = Median(without, [](const routing_result& aResult) {
      return 1e3 * Milliseconds(aResult.mDecisionTime);
    });
    fmt::print("{:<26}{:>10.1f}{:>14.1f}{:>8.2f}{:>10.3f}{:>12.1f}\n", each.mName, before, after,
               after / before, failed, decision);
  }
}

void CompareOverload()
{
  fmt::print("\ngood answers a second by load, two-choice, median of {} seeds; peak is load 1\n",
             kSeeds);
  fmt::print("{:>6}{:>12}{:>10}{:>12}{:>12}{:>12}{:>14}\n", "load", "good/s", "of peak",
             "unknown %", "p50 ms", "p99 ms", "most running");
  double peak = 0;
  for (const double load : { 0.5, 0.9, 1.0, 2.0, 10.0 }) {
    routing_scenario scenario;
    scenario.mLoad = load;
    scenario.mTime = seconds(5);
    const auto results = RunSeeds(scenario, kContenders.front());
    const double good = Median(results, [](const auto& aResult) { return aResult.mGoodPerSecond; });
    peak = std::max(peak, good);
    const double unknown = Median(results, [](const auto& aResult) {
      return 100.0 * static_cast<double>(aResult.mUnknown) / static_cast<double>(aResult.mArrived);
    });
    const int most = std::ranges::max(results, {}, &routing_result::mMostRunning).mMostRunning;
    fmt::print(
      "{:>6}{:>12.0f}{:>10.3f}{:>12.4f}{:>12.1f}{:>12.1f}{:>14}\n", load, good, good / peak,
      unknown,
      Median(results, [](const routing_result& aResult) { return Milliseconds(aResult.mP50); }),
      Median(results, P99), most);
  }
}

} // namespace

int RunRoutingBenchmark(std::vector<std::string> aArguments)
{
  const std::vector<std::string> arguments = std::move(aArguments);
  if (arguments.size() > 1) {
    fmt::print(stderr, "the routing benchmark takes no arguments\n");
    return 2;
  }
  CompareFaults();
  CompareOverload();
  return 0;
}

} // namespace briarwind::bench
