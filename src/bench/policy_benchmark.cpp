#include "bench/benchmark.h"
#include "bench/policy_run.h"
#include "bench/policy_strategy.h"
#include "bench/policy_workload.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <functional>
#include <numeric>

namespace briarwind::bench {

namespace json = boost::json;

namespace {

using samples = std::vector<double>;

double Mean(const samples& aSamples)
{
  return aSamples.empty() ? 0
                          : std::accumulate(aSamples.begin(), aSamples.end(), 0.0) /
                              static_cast<double>(aSamples.size());
}

double Quantile(samples aSamples, double aQuantile)
{
  if (aSamples.empty()) {
    return 0;
  }
  const auto index =
    static_cast<std::ptrdiff_t>(aQuantile * static_cast<double>(aSamples.size() - 1));
  std::ranges::nth_element(aSamples, aSamples.begin() + index);
  return aSamples[static_cast<std::size_t>(index)];
}

samples JoinClasses(const std::array<samples, kJobClasses>& aByClass)
{
  samples all;
  for (const samples& each : aByClass) {
    all.insert(all.end(), each.begin(), each.end());
  }
  return all;
}

/// A figure of the report: its name and how it follows from a run.
struct reported_figure
{
  std::string mName;
  std::function<double(const policy_figures&)> mExtract;
};

/// Adds the mean, median and 99th percentile of the samples that aExtract returns.
void AddTimeFigures(std::vector<reported_figure>& aFigures, const std::string& aName,
                    const std::function<samples(const policy_figures&)>& aExtract)
{
  aFigures.push_back(
    { aName + ".mean", [=](const policy_figures& aRun) { return Mean(aExtract(aRun)); } });
  aFigures.push_back(
    { aName + ".p50", [=](const policy_figures& aRun) { return Quantile(aExtract(aRun), 0.5); } });
  aFigures.push_back(
    { aName + ".p99", [=](const policy_figures& aRun) { return Quantile(aExtract(aRun), 0.99); } });
}

std::vector<reported_figure> ReportedFigures()
{
  std::vector<reported_figure> figures;
  AddTimeFigures(figures, "completion.all",
                 [](const policy_figures& aRun) { return JoinClasses(aRun.mCompletion); });
  for (int i = 0; i < kJobClasses; ++i) {
    const std::string name(ToString(static_cast<job_class>(i)));
    const auto index = static_cast<std::size_t>(i);
    AddTimeFigures(figures, "completion." + name,
                   [index](const policy_figures& aRun) { return aRun.mCompletion[index]; });
    AddTimeFigures(figures, "wait." + name,
                   [index](const policy_figures& aRun) { return aRun.mWait[index]; });
  }
  AddTimeFigures(figures, "reclaim", [](const policy_figures& aRun) { return aRun.mReclaim; });
  AddTimeFigures(figures, "urgentStart",
                 [](const policy_figures& aRun) { return aRun.mUrgentStart; });
  AddTimeFigures(figures, "decisionMicros",
                 [](const policy_figures& aRun) { return aRun.mDecisionMicros; });
  const std::pair<const char*, double policy_figures::*> kRealFigures[] = {
    { "fragmentation", &policy_figures::mFragmentation },
    { "withdrawalWork", &policy_figures::mWithdrawalWork },
    { "runWork", &policy_figures::mRunWork },
    { "coreMegabytes", &policy_figures::mCoreMegabytes },
  };
  for (const auto& [name, member] : kRealFigures) {
    figures.push_back({ name, [member](const policy_figures& aRun) { return aRun.*member; } });
  }
  const std::pair<const char*, int policy_figures::*> kCountFigures[] = {
    { "finished", &policy_figures::mFinished },
    { "failed", &policy_figures::mFailed },
    { "cancelled", &policy_figures::mCancelled },
    { "unfinished", &policy_figures::mUnfinished },
    { "evictions", &policy_figures::mEvictions },
    { "tasksInMiddle", &policy_figures::mTasksInMiddle },
    { "jobsInMiddle", &policy_figures::mJobsInMiddle },
  };
  for (const auto& [name, member] : kCountFigures) {
    figures.push_back(
      { name, [member](const policy_figures& aRun) { return double(aRun.*member); } });
  }
  figures.push_back({ "events", [](const policy_figures& aRun) { return double(aRun.mEvents); } });
  return figures;
}

/// For each figure: mean, least, greatest and standard deviation over the runs.
json::object Summarise(const std::vector<policy_figures>& aRuns)
{
  json::object summary;
  for (const reported_figure& figure : ReportedFigures()) {
    samples values;
    std::ranges::transform(aRuns, std::back_inserter(values), figure.mExtract);
    const auto [least, most] = std::ranges::minmax(values);
    double squares = 0;
    for (const double each : values) {
      squares += (each - Mean(values)) * (each - Mean(values));
    }
    const double deviation = std::sqrt(squares / static_cast<double>(values.size()));
    summary[figure.mName] = json::object{
      { "mean", Mean(values) }, { "min", least }, { "max", most }, { "sd", deviation }
    };
  }
  return summary;
}

double MeanOf(const json::object& aSummary, std::string_view aName)
{
  return aSummary.at(aName).at("mean").as_double();
}

void PrintRow(std::string_view aName, const json::object& aSummary)
{
  fmt::print("{:<16} {:>9.0f} {:>9.0f} {:>10.0f} {:>10.0f} {:>8.3f} {:>8.3f} {:>8.3f} {:>9.2f} "
             "{:>9.2f} {:>8.0f} {:>8.1f}\n",
             aName, MeanOf(aSummary, "completion.all.mean"), MeanOf(aSummary, "completion.all.p99"),
             MeanOf(aSummary, "wait.largest.mean"), MeanOf(aSummary, "wait.largest.p99"),
             MeanOf(aSummary, "fragmentation"), MeanOf(aSummary, "withdrawalWork"),
             MeanOf(aSummary, "runWork"), MeanOf(aSummary, "reclaim.p99"),
             MeanOf(aSummary, "urgentStart.p99"), MeanOf(aSummary, "decisionMicros.p99"),
             MeanOf(aSummary, "coreMegabytes"));
}

struct policy_request
{
  cluster_size mSize;
  workload_parameters mParameters;
  int mFirstSeed = 1;
  int mSeeds = 10;
  std::vector<policy_strategy> mStrategies;
  job_options mOptions; ///< each strategy changes a copy
};

/// Runs each strategy on each seed and prints a row for each. Returns the report.
json::object RunStrategies(const policy_request& aRequest)
{
  fmt::print("{}: {} seeds from {}, {} hours, load {}\n", aRequest.mSize.mName, aRequest.mSeeds,
             aRequest.mFirstSeed, aRequest.mParameters.mHours.count(), aRequest.mParameters.mLoad);
  fmt::print("{:<16} {:>9} {:>9} {:>10} {:>10} {:>8} {:>8} {:>8} {:>9} {:>9} {:>8} {:>8}\n",
             "strategy", "compl s", "p99 s", "largest s", "its p99 s", "fragm", "out work",
             "run work", "reclaim99", "urgent99", "dec99us", "core MB");
  json::object strategies;
  for (const policy_strategy& strategy : aRequest.mStrategies) {
    std::vector<policy_figures> runs;
    const int end = aRequest.mFirstSeed + aRequest.mSeeds;
    for (int seed = aRequest.mFirstSeed; seed < end; ++seed) {
      const workload load =
        GenerateWorkload(aRequest.mSize, aRequest.mParameters, static_cast<std::uint64_t>(seed));
      job_options options = aRequest.mOptions;
      strategy.mApply(options);
      runs.push_back(RunPolicy(load, options, aRequest.mParameters));
    }
    json::object summary = Summarise(runs);
    PrintRow(strategy.mName, summary);
    std::fflush(stdout);
    strategies[strategy.mName] = std::move(summary);
  }
  return { { "benchmark", "policy" },
           { "size", aRequest.mSize.mName },
           { "workers", aRequest.mSize.mAcceleratorWorkers + aRequest.mSize.mPlainWorkers },
           { "seeds", aRequest.mSeeds },
           { "firstSeed", aRequest.mFirstSeed },
           { "hours", aRequest.mParameters.mHours.count() },
           { "load", aRequest.mParameters.mLoad },
           { "strategies", std::move(strategies) } };
}

/// The strategies with one of the names, or all when there are no names. Ignores unknown names.
std::vector<policy_strategy> SelectStrategies(const std::vector<std::string>& aNames)
{
  std::vector<policy_strategy> chosen;
  for (const policy_strategy& each : Strategies()) {
    if (aNames.empty() || std::ranges::find(aNames, each.mName) != aNames.end()) {
      chosen.push_back(each);
    }
  }
  return chosen;
}

constexpr int kUsageExit = 2;

} // namespace

int RunPolicyBenchmark(std::vector<std::string> aArguments)
{
  TCLAP::CmdLine line("Compares job scheduling policies with baselines, on a virtual clock", ' ',
                      "1");
  TCLAP::ValueArg<std::string> size("", "size",
                                    "cluster size: ferraresi, vedacao, middle or target", false,
                                    "ferraresi", "name", line);
  TCLAP::ValueArg<int> firstSeed("", "first-seed", "seed of the first run", false, 1, "number",
                                 line);
  TCLAP::ValueArg<int> seeds("", "seeds", "number of seeds, one run of each strategy for each seed",
                             false, 10, "count", line);
  TCLAP::ValueArg<int> hours("", "hours", "hours for which jobs arrive, at least 8", false, 24,
                             "hours", line);
  TCLAP::ValueArg<double> load("", "load", "offered load as a share of the accelerators", false,
                               0.95, "share", line);
  TCLAP::MultiArg<std::string> strategies(
    "", "strategy", "strategy to run, may be repeated; default: all", false, "name", line);
  TCLAP::ValueArg<std::string> out("", "out", "file to write the figures to, as JSON", false, "",
                                   "file", line);
  const job_options shipped;
  TCLAP::ValueArg<int> gangPatience(
    "", "gang-patience", "minutes that a large gang waits before it may evict", false,
    static_cast<int>(shipped.mGangEvictionAfter.count()), "minutes", line);
  TCLAP::ValueArg<int> drainPatience(
    "", "drain-patience", "minutes that a job waits before workers are drained for it", false,
    static_cast<int>(shipped.mDrainAfter.count()), "minutes", line);
  TCLAP::ValueArg<int> gangSize("", "gang-size",
                                "accelerators from which on a gang counts as large", false,
                                shipped.mLargeGangSize, "count", line);
  TCLAP::ValueArg<double> estimateWeight("", "estimate-weight",
                                         "weight of estimated run times in the queue order", false,
                                         shipped.mEstimateWeight, "factor", line);
  line.parse(aArguments);
  const std::optional<cluster_size> found = FindClusterSize(size.getValue());
  const std::vector<policy_strategy> chosen = SelectStrategies(strategies.getValue());
  if (!found || chosen.empty() || seeds.getValue() < 1 || hours.getValue() < 8) {
    fmt::print(stderr,
               "invalid arguments: size \"{}\", {} seeds, {} hours, {} strategies found; expected "
               "a known size, at least 1 seed, 8 hours and 1 known strategy\n",
               size.getValue(), seeds.getValue(), hours.getValue(), chosen.size());
    return kUsageExit;
  }
  policy_request request;
  request.mSize = *found;
  request.mParameters.mHours = std::chrono::hours(hours.getValue());
  request.mParameters.mLoad = load.getValue();
  request.mFirstSeed = firstSeed.getValue();
  request.mSeeds = seeds.getValue();
  request.mStrategies = chosen;
  request.mOptions = OptionsWithoutRenewals();
  request.mOptions.mGangEvictionAfter = minutes(gangPatience.getValue());
  request.mOptions.mDrainAfter = minutes(drainPatience.getValue());
  request.mOptions.mLargeGangSize = gangSize.getValue();
  request.mOptions.mEstimateWeight = estimateWeight.getValue();
  const json::object report = RunStrategies(request);
  if (!out.getValue().empty()) {
    std::ofstream(out.getValue()) << json::serialize(report) << '\n';
  }
  return 0;
}

} // namespace briarwind::bench
