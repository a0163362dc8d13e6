#include "load_runner.h"

#include "briarwind/options.h"

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

namespace briarwind {

namespace {

struct load_options
{
  std::vector<endpoint> mTargets;
  std::int64_t mRate = 50;
  std::int64_t mCount = 500;
  milliseconds mDuration{ 10'000 };
  std::int64_t mMaxInFlight = 1'000;
  std::int64_t mSeed = 1;
  std::int64_t mFirstId = 1;
  std::string mMix;
  std::string mJson;
  std::string mSvg;
  bool mAnyAddress = false;
};

void AddOptions(option_set& aSet, load_options& aOptions)
{
  constexpr std::int64_t kMaxRequests = 1'000'000; // also the highest seed
  constexpr std::int64_t kMaxRate = 100'000;       // per second; also the most requests in flight
  aSet.Add("targets", aOptions.mTargets,
           "addresses of routers or instances, used in round-robin order");
  aSet.Add("rate", aOptions.mRate, 1, kMaxRate, "mean rate in requests per second");
  aSet.Add("count", aOptions.mCount, 1, kMaxRequests, "maximum number of requests");
  aSet.Add("time", aOptions.mDuration, milliseconds(1), minutes(10),
           "time during which requests start");
  aSet.Add("open", aOptions.mMaxInFlight, 1, kMaxRate, "maximum number of requests in flight");
  aSet.Add("seed", aOptions.mSeed, 0, kMaxRequests, "seed of the random arrivals");
  aSet.Add("first-id", aOptions.mFirstId, 0, kMaxRequests * kMaxRequests,
           "number in the id of the first request");
  aSet.Add("mix", aOptions.mMix, "JSON file with the kinds of requests; empty: one default kind");
  aSet.Add("json", aOptions.mJson, "file for the report; empty: standard output");
  aSet.Add("svg", aOptions.mSvg, "file for the SVG plot; empty: no plot");
  aSet.Add("any-address", aOptions.mAnyAddress, "allow targets that are not on loopback");
  aSet.AddCheck([&aOptions](findings& aFindings) {
    if (aOptions.mTargets.empty()) {
      aFindings.push_back({ severity::kError, "--targets", "", "expected at least one ip:port" });
    }
    for (const endpoint& each : aOptions.mTargets) {
      const bool local = boost::asio::ip::make_address(each.mAddress).is_loopback();
      if (!local && !aOptions.mAnyAddress) {
        aFindings.push_back({ severity::kError, "--targets", ToString(each),
                              "expected a loopback address; --any-address allows others" });
      }
    }
  });
}

std::string ReadFile(const std::string& aName)
{
  const std::ifstream file(aName);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Does nothing when no file is named.
void WriteFile(const std::string& aName, const std::string& aText)
{
  if (!aName.empty()) {
    std::ofstream(aName) << aText;
  }
}

// Returns the exit status: 0, 1 when an answer was foreign or damaged, 2 when the mix is invalid.
int Run(const load_options& aOptions)
{
  std::vector<load_kind> kinds{ load_kind{} };
  if (!aOptions.mMix.empty()) {
    auto mix = ToIoResult([&] { return ParseMix(ReadFile(aOptions.mMix)); });
    if (!mix) {
      fmt::print(stderr, "cannot read the request mix from \"{}\": {}\n", aOptions.mMix,
                 mix.error().mWhat);
      return 2;
    }
    kinds = std::move(mix).value();
  }
  load_run run;
  run.mTargets = aOptions.mTargets;
  run.mKinds = kinds;
  run.mPlan = PlanArrivals(kinds, static_cast<double>(aOptions.mRate), aOptions.mDuration,
                           static_cast<std::size_t>(aOptions.mCount),
                           static_cast<std::uint64_t>(aOptions.mSeed));
  run.mMaxInFlight = static_cast<std::size_t>(aOptions.mMaxInFlight);
  run.mFirstId = static_cast<std::uint64_t>(aOptions.mFirstId);
  fiber_runtime runtime;
  const instant begin = monotonic_clock::now();
  const load_report report = RunLoad(runtime, run);
  const std::string json = report.ToJson(monotonic_clock::now() - begin);
  if (aOptions.mJson.empty()) {
    fmt::print("{}", json);
  }
  WriteFile(aOptions.mJson, json);
  WriteFile(aOptions.mSvg, report.ToSvg());
  return report.CountWrongAnswers() == 0 ? 0 : 1;
}

} // namespace

} // namespace briarwind

int main(int aCount, char** aArguments)
{
  briarwind::load_options options;
  briarwind::option_set flags(
    "briarwind-load", "Sends requests at planned times and reports their outcomes and latencies.");
  briarwind::AddOptions(flags, options);
  flags.ParseOrExit(aCount, aArguments);
  briarwind::fiber_runtime::Exit(briarwind::Run(options));
}
