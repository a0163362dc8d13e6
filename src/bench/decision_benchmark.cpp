#include "bench/benchmark.h"

#include "briarwind/work_core.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace briarwind::bench {

namespace {

constexpr int kOrganisations = 40;
constexpr int kWorkers = 1'200;
constexpr int kRunningTasks = 32'000;
constexpr int kTasksPerJob = 40;
constexpr int kPasses = 20;
constexpr int kUsageExit = 2;

work_job MakeJob(const std::string& aId, int aNumber, const work_step& aStep)
{
  work_job job;
  job.mId = aId;
  job.mQueue = "batch";
  job.mOrganisation = fmt::format("o{}", aNumber % kOrganisations);
  job.mSteps = { aStep };
  job.mAccepted = wall_time(milliseconds(aNumber));
  return job;
}

// A fleet whose workers are full of single-core tasks, and the jobs that wait for it.
class full_fleet
{
public:
  explicit full_fleet(bool aHasLimits)
  {
    mCore.BeginTerm(1, mNow);
    work_settings settings;
    settings.mVersion = 1;
    settings.mQueues["batch"] = { "pool", 1, 3, 3, milliseconds(1'000) };
    for (int i = 0; aHasLimits && i < kOrganisations; ++i) {
      settings.mOrganisations[fmt::format("o{}", i)] = { 1.0 + i % 4, { 100, 3'000'000, 0 } };
    }
    mCore.SetSettings(settings, mNow);
    std::vector<registered_worker> workers;
    for (int i = 0; i < kWorkers; ++i) {
      registered_worker info;
      info.mId = fmt::format("w{:04}", i);
      info.mService = "pool";
      info.mAddress = "127.0.0.1:1";
      info.mRack = fmt::format("r{}", i / 40);
      info.mCapacity = { i % 2, 27'000, 64'000 };
      info.mIncarnation = 1;
      workers.push_back(info);
    }
    mCore.SetWorkers(workers, mNow);
    Report();
    work_step step;
    step.mCount = kTasksPerJob;
    step.mDemand = { 0, 1'000, 500 };
    step.mEstimate = milliseconds(600'000);
    for (int i = 0; i < kRunningTasks / kTasksPerJob; ++i) {
      mCore.AddJob({ MakeJob(fmt::format("run{:05}", i), i, step), false, {}, 0 }, mNow, kWall);
    }
    Decide();
    StartAll();
  }

  void Wait(int aJobs)
  {
    work_step step;
    step.mDemand = { 1, 4'000, 8'000 };
    step.mEstimate = milliseconds(60'000);
    for (; mWaiting < aJobs; ++mWaiting) {
      mCore.AddJob({ MakeJob(fmt::format("wait{:05}", mWaiting), mWaiting, step), false, {}, 0 },
                   mNow, kWall);
    }
    Decide();
    StartAll();
  }

  // Returns the time that one pass with a due placement takes.
  double Decide()
  {
    mNow += milliseconds(260);
    const auto begun = std::chrono::steady_clock::now();
    mCore.Decide(mNow, kWall);
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begun)
      .count();
  }

  work_counts Counts() const { return mCore.Counts(); }

private:
  void StartAll()
  {
    for (auto writes = mCore.TakeWrites(100'000); !writes.empty();
         writes = mCore.TakeWrites(100'000)) {
      for (const progress_write& each : writes) {
        mCore.OnWritten(each.mJob, ++mRevision, mNow);
      }
    }
    for (const work_action& each : mCore.TakeActions()) {
      if (const auto* start = std::get_if<start_run>(&each)) {
        mCore.GrantLease(start->mWorker, mNow);
        mCore.OnStarted(*start, start_outcome::kStarted, mNow, mNow);
      }
    }
  }

  void Report()
  {
    worker_report idle;
    idle.mIncarnation = 1;
    for (const std::string& each : mCore.Workers()) {
      mCore.OnReport(each, idle, mNow, mNow);
    }
  }

  static constexpr wall_time kWall{ std::chrono::hours(1) };
  work_core mCore;
  instant mNow = instant() + std::chrono::hours(1);
  store_revision mRevision = 1;
  int mWaiting = 0;
};

} // namespace

int RunDecisionBenchmark(std::vector<std::string> aArguments)
{
  std::vector<int> sizes{ 100, 1'000, 5'000, 20'000 };
  if (aArguments.size() > 1) {
    int only = 0;
    const std::string& text = aArguments[1];
    const auto read = std::from_chars(text.data(), text.data() + text.size(), only);
    if (aArguments.size() > 2 || read.ptr != text.data() + text.size() || only < 1) {
      fmt::print(stderr, "usage: briarwind-bench decision [WAITING-JOBS]\n");
      return kUsageExit;
    }
    sizes = { only };
  }
  fmt::print("{:<10} {:>8} {:>8} {:>10} {:>10}\n", "limits", "waiting", "running", "p50 ms",
             "max ms");
  for (const bool hasLimits : { false, true }) {
    full_fleet fleet(hasLimits);
    for (const int waiting : sizes) {
      fleet.Wait(waiting);
      std::vector<double> times(kPasses);
      std::ranges::generate(times, [&] { return fleet.Decide(); });
      std::ranges::sort(times);
      const work_counts counts = fleet.Counts();
      fmt::print("{:<10} {:>8} {:>8} {:>10.2f} {:>10.2f}\n", hasLimits ? "yes" : "no",
                 counts.mWaitingTasks, counts.mLiveRuns, times[kPasses / 2], times.back());
      std::fflush(stdout);
    }
  }
  return 0;
}

} // namespace briarwind::bench
