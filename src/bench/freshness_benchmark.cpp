#include "bench/benchmark.h"
#include "bench/freshness_simulation.h"

#include <fmt/format.h>

#include <array>

namespace briarwind::bench {

namespace {

struct named_scenario
{
  std::string_view mName;
  freshness_scenario mScenario;
};

constexpr milliseconds kScenarioLength{ 60'000 };

constexpr std::array kScenarios{
  named_scenario{ "store away for 60 s", { 8, kScenarioLength, 0, false, false, kScenarioLength } },
  named_scenario{ "withdrawal, one member cut from the store", { 8, milliseconds(0), 1, false } },
  named_scenario{ "withdrawal, one member cut from all", { 8, milliseconds(0), 1, true } },
  named_scenario{ "withdrawal, three members cut from all", { 8, milliseconds(0), 3, true } },
};

constexpr std::array kStartRules{ start_rule::kStoreOnly, start_rule::kAlways, start_rule::kLease,
                                  start_rule::kFreshness };

void RunAndPrint(const named_scenario& aScenario, start_rule aRule)
{
  const freshness_figures figures = RunFreshness(aRule, aScenario.mScenario);
  const double lostPercent =
    100.0 * figures.mStartsBlocked / (figures.mStarts + figures.mStartsBlocked);
  fmt::print("{:<62} {:<11} {:>7.1f} % {:>8} ms\n", aScenario.mName, ToString(aRule), lostPercent,
             figures.mLastLateStart.count());
}

} // namespace

// benchmark::mRun takes its arguments by value.
// NOLINTNEXTLINE(performance-unnecessary-value-param)
int RunFreshnessBenchmark(std::vector<std::string> /*aArguments*/)
{
  fmt::print("{:<62} {:<11} {:>9} {:>11}\n", "scenario (8 members, 60 s)", "rule", "lost",
             "last late");
  for (const named_scenario& each : kScenarios) {
    for (const start_rule rule : kStartRules) {
      RunAndPrint(each, rule);
    }
  }
  return 0;
}

} // namespace briarwind::bench
