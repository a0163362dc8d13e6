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

struct compared_strategy
{
  std::string_view mName;
  std::unique_ptr<choice_strategy> (*mMakeStrategy)();
  bool mEjects;
};

constexpr std::array<compared_strategy, 5> kComparedStrategies{ {
  { "two-choice", MakeTwoChoice, true },
  { "two-choice, no ejection", MakeTwoChoice, false },
  { "round-robin", MakeRoundRobin, false },
  { "least-in-flight", MakeLeastInFlight, false },
  { "exponential-weighting", MakeExponentialWeighting, false },
} };

double ToMilliseconds(duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

/// Median over aResults of the number that aExtract returns for each result.
template<class Extract>
double Median(const std::vector<routing_result>& aResults, Extract aExtract)
{
  std::vector<double> numbers;
  for (const routing_result& each : aResults) {
    numbers.push_back(aExtract(each));
  }
  std::ranges::sort(numbers);
  return numbers[numbers.size() / 2];
}

std::vector<routing_result> RunSeeds(routing_scenario aScenario, const compared_strategy& aStrategy)
{
  std::vector<routing_result> results;
  aScenario.mEjects = aStrategy.mEjects;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    aScenario.mSeed = static_cast<std::uint64_t>(seed);
    results.push_back(RunRouting(aScenario, aStrategy.mMakeStrategy));
  }
  return results;
}

/// In milliseconds.
double P99Milliseconds(const routing_result& aResult)
{
  return ToMilliseconds(aResult.mP99);
}

void CompareFaults()
{
  fmt::print("load 0.5 of the slots, one slow (10x) and one fast-failing instance of 50, median of "
             "{} seeds\n",
             kSeeds);
  fmt::print("{:<26}{:>10}{:>14}{:>8}{:>10}{:>12}\n", "choice", "p99 none", "p99 faults", "ratio",
             "failed %", "us/arrival");
  for (const compared_strategy& each : kComparedStrategies) {
    routing_scenario scenario;
    const auto healthyRuns = RunSeeds(scenario, each);
    scenario.mSlowInstances = 1;
    scenario.mFailingInstances = 1;
    const auto faultyRuns = RunSeeds(scenario, each);
    const double healthyP99 = Median(healthyRuns, P99Milliseconds);
    const double faultyP99 = Median(faultyRuns, P99Milliseconds);
    const double failedPercent = Median(faultyRuns, [](const routing_result& aResult) {
      return 100.0 * static_cast<double>(aResult.mFailed) / static_cast<double>(aResult.mArrived);
    });
    const double decisionMicros = Median(healthyRuns, [](const routing_result& aResult) {
      return 1e3 * ToMilliseconds(aResult.mDecisionTime);
    });
    fmt::print("{:<26}{:>10.1f}{:>14.1f}{:>8.2f}{:>10.3f}{:>12.1f}\n", each.mName, healthyP99,
               faultyP99, faultyP99 / healthyP99, failedPercent, decisionMicros);
  }
}

void CompareOverload()
{
  fmt::print("\ngood answers a second by load, two-choice, median of {} seeds; peak is load 1\n",
             kSeeds);
  fmt::print("{:>6}{:>12}{:>10}{:>12}{:>12}{:>12}{:>14}\n", "load", "good/s", "of peak",
             "unknown %", "p50 ms", "p99 ms", "most running");
  double peakPerSecond = 0;
  for (const double load : { 0.5, 0.9, 1.0, 2.0, 10.0 }) {
    routing_scenario scenario;
    scenario.mLoad = load;
    scenario.mTime = seconds(5);
    const auto results = RunSeeds(scenario, kComparedStrategies.front());
    const double goodPerSecond =
      Median(results, [](const auto& aResult) { return aResult.mGoodPerSecond; });
    peakPerSecond = std::max(peakPerSecond, goodPerSecond);
    const double unknownPercent = Median(results, [](const auto& aResult) {
      return 100.0 * static_cast<double>(aResult.mUnknown) / static_cast<double>(aResult.mArrived);
    });
    const int mostRunning =
      std::ranges::max(results, {}, &routing_result::mMostRunning).mMostRunning;
    fmt::print(
      "{:>6}{:>12.0f}{:>10.3f}{:>12.4f}{:>12.1f}{:>12.1f}{:>14}\n", load, goodPerSecond,
      goodPerSecond / peakPerSecond, unknownPercent,
      Median(results, [](const routing_result& aResult) { return ToMilliseconds(aResult.mP50); }),
      Median(results, P99Milliseconds), mostRunning);
  }
}

} // namespace

int RunRoutingBenchmark(std::vector<std::string> aArguments)
{
  const std::vector<std::string> arguments = std::move(aArguments);
  if (arguments.size() > 1) {
    fmt::print(stderr, "the routing benchmark takes no arguments, but was given \"{}\"\n",
               arguments[1]);
    return 2;
  }
  CompareFaults();
  CompareOverload();
  return 0;
}

} // namespace briarwind::bench
