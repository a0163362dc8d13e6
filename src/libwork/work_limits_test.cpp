#include "testing/fleet_simulation.h"
#include "testing/sample_jobs.h"

#include "briarwind/testing.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <optional>
#include <variant>

using namespace briarwind;
using namespace briarwind::testing;

namespace {

work_settings LimitedSettings(const std::map<std::string, organisation_policy>& aPolicies)
{
  work_settings settings;
  settings.mVersion = 1;
  settings.mQueues["urgent"] = { "pool", 0, 3, 1.5, milliseconds(250) };
  settings.mQueues["batch"] = { "pool", 1, 3, 3, milliseconds(1'000) };
  settings.mOrganisations = aPolicies;
  return settings;
}

organisation_policy Limit(int aAccelerators, double aWeight = 1)
{
  return { aWeight, { aAccelerators, 0, 0 } };
}

work_job JobOf(const std::string& aOrganisation, work_job aJob)
{
  aJob.mOrganisation = aOrganisation;
  return aJob;
}

// One leader and workers `w` and `v`, whose reports the test writes.
struct core_fixture
{
  work_core mCore;
  instant mNow = instant() + std::chrono::hours(1);
  store_revision mRevision = 10;
  std::map<std::string, std::string> mRecords;

  void Begin(std::int64_t aEpoch, const std::optional<work_settings>& aSettings)
  {
    mCore.BeginTerm(aEpoch, mNow);
    if (aSettings) {
      mCore.SetSettings(*aSettings, mNow);
    }
  }

  void List(const std::vector<std::string>& aWorkers)
  {
    std::vector<registered_worker> workers;
    std::ranges::transform(aWorkers, std::back_inserter(workers), Worker);
    mCore.SetWorkers(workers, mNow);
  }

  void Report(const std::string& aWorker, const std::vector<run_id>& aRunning,
              const std::vector<listed_end>& aEnds = {})
  {
    worker_report report;
    report.mIncarnation = 1;
    report.mEnds = aEnds;
    for (const run_id& each : aRunning) {
      report.mRunning.push_back({ each, {}, 10 });
    }
    mCore.OnReport(aWorker, report, mNow, mNow);
  }

  void Add(const work_job& aJob)
  {
    mCore.AddJob({ aJob, false, mRecords[aJob.mId], mRevision }, mNow, wall_time());
  }

  // Decides and stores; returns the start orders, and counts the writes in mWrites.
  std::vector<start_run> Decide()
  {
    mNow += milliseconds(10);
    mCore.Decide(mNow, wall_time());
    for (progress_write& each : mCore.TakeWrites(16)) {
      ++mWrites;
      mRecords[each.mJob] = std::move(each.mValue);
      mCore.OnWritten(each.mJob, ++mRevision, mNow);
    }
    std::vector<start_run> starts;
    for (const work_action& each : mCore.TakeActions()) {
      if (const auto* start = std::get_if<start_run>(&each)) {
        starts.push_back(*start);
      }
    }
    return starts;
  }

  int AcceleratorsInUse() const
  {
    const auto uses = mCore.OrganisationUse();
    return uses.empty() ? 0 : uses.front().mInUse.mAccelerators;
  }

  int mWrites = 0;
};

} // namespace

// Guards against starts above an organisation's limit, and against an organisation that takes the
// share of others, on six workers with 48 accelerators.
BW_STORY("organisations with limits and weights share a fleet")
{
  fleet_simulation fleet(6, 1);
  fleet.Run(milliseconds(200));

  BW_SECTION("one organisation at ten times its limit leaves room for others, and all its jobs end")
  {
    fleet.SetSettings(LimitedSettings({ { "o1", Limit(16) } }));
    for (int i = 0; i < 40; ++i) {
      fleet.Submit(JobOf("o1", Job(fmt::format("a{:02}", i), "batch", { Step(4, 1) })));
    }
    fleet.Run(milliseconds(500));
    int live = 0;
    for (int i = 0; i < 40; ++i) {
      live += fleet.LiveRuns(fmt::format("a{:02}", i));
    }
    BW_EQUAL(16, live);
    fleet.Submit(JobOf("o2", Job("b", "batch", { Step(32, 1) })));
    fleet.Run(milliseconds(300));
    BW_EQUAL(32, fleet.LiveRuns("b"));
    fleet.Run(milliseconds(20'000));
    BW_CHECK(fleet.AllFinished());
  }
  BW_SECTION("organisations with weights 1, 2 and 3 share full workers in this proportion")
  {
    fleet.SetSettings(
      LimitedSettings({ { "o1", Limit(0, 1) }, { "o2", Limit(0, 2) }, { "o3", Limit(0, 3) } }));
    // Runs of different lengths, so that capacity becomes free a little at a time.
    for (int i = 0; i < 90; ++i) {
      fleet.Submit(JobOf(fmt::format("o{}", 1 + i % 3),
                         Job(fmt::format("a{:02}", i), "batch", { Step(4, 1) })),
                   milliseconds(1'500 + 70 * (i % 11)));
    }
    fleet.Run(milliseconds(1'000));
    // Averaged, since a job's four tasks end together.
    constexpr int kSamples = 40;
    std::array<int, 3> live{};
    for (int sample = 0; sample < kSamples; ++sample) {
      fleet.Run(milliseconds(100));
      for (int i = 0; i < 90; ++i) {
        live.at(static_cast<std::size_t>(i % 3)) += fleet.LiveRuns(fmt::format("a{:02}", i));
      }
    }
    BW_CHECK(std::abs(live[0] - 8 * kSamples) <= 2 * kSamples);
    BW_CHECK(std::abs(live[1] - 16 * kSamples) <= 2 * kSamples);
    BW_CHECK(std::abs(live[2] - 24 * kSamples) <= 2 * kSamples);
  }
  BW_CHECK(fleet.mViolations.empty());
}

// Guards against starts above a limit that was lowered, or that a former leader had ordered, on six
// workers with 48 accelerators.
BW_STORY("limits hold while settings and leaders change")
{
  fleet_simulation fleet(6, 1);
  fleet.Run(milliseconds(200));

  BW_SECTION("a limit that is lowered far below use stops nothing and starts nothing until then")
  {
    fleet.SetSettings(LimitedSettings({ { "o1", Limit(40) } }));
    fleet.Submit(JobOf("o1", Job("long", "batch", { Step(40, 1) })), milliseconds(20'000));
    fleet.Run(milliseconds(500));
    BW_EQUAL(40, fleet.LiveRuns("long"));
    fleet.SetSettings(LimitedSettings({ { "o1", Limit(4) } }));
    fleet.Submit(JobOf("o1", Job("next", "batch", { Step(8, 1) })));
    fleet.Run(milliseconds(15'000));
    BW_EQUAL(40, fleet.LiveRuns("long"));
    BW_EQUAL(0, fleet.Starts("next"));
    fleet.Run(milliseconds(6'000));
    BW_EQUAL(4, fleet.LiveRuns("next"));
    fleet.Run(milliseconds(5'000));
    BW_CHECK(fleet.AllFinished());
  }
  BW_SECTION("a leader that is lost between order and answer leaves its starts counted")
  {
    fleet.SetSettings(LimitedSettings({ { "o1", Limit(16) } }));
    fleet.mFaults.mDelayedOrder = 1;
    fleet.Submit(JobOf("o1", Job("a", "batch", { Step(16, 1) })), milliseconds(5'000));
    fleet.Run(milliseconds(50));
    fleet.mFaults = {};
    fleet.Cancel("a");
    fleet.ChangeLeader();
    fleet.Submit(JobOf("o1", Job("b", "batch", { Step(16, 1) })), milliseconds(5'000));
    fleet.Run(milliseconds(40'000));
    BW_EQUAL(16, fleet.Starts("b"));
    BW_CHECK(fleet.AllFinished());
  }
  BW_CHECK(fleet.mViolations.empty());
}

// Guards against runs that the leader does not count: no record named them, or their worker was
// dropped from memory while its leases had not expired.
BW_STORY("runs without a task count against the limit of their organisation")
{
  const work_settings settings = LimitedSettings({ { "o1", Limit(4) } });
  core_fixture fixture;
  BW_SECTION("orphans count on a worker that left the registry until its leases have expired")
  {
    fixture.Begin(5, settings);
    fixture.Add(Job("a", "batch", { Step(1, 4) }));
    fixture.List({ "w", "v" });
    fixture.Report("w", { run_id{ { "a", 0, 0, 0 }, 1 } });
    fixture.Report("v", {});
    BW_EQUAL(4, fixture.AcceleratorsInUse());
    fixture.List({ "v" });
    fixture.mCore.OnPollFailed("w", fixture.mNow);
    BW_CHECK(fixture.Decide().empty());
    fixture.mNow += milliseconds(11'000);
    BW_EQUAL(std::size_t{ 1 }, fixture.Decide().size());
  }
  BW_SECTION("members of a gang that is done count at the next leader until their ends are listed")
  {
    work_step gang = Step(2, 2);
    gang.mGang = true;
    work_step second = Step(2, 2);
    second.mAfter = { 0 };
    const work_job job = Job("a", "batch", { gang, second });
    fixture.Begin(5, settings);
    fixture.List({ "w" });
    fixture.Report("w", {});
    fixture.Add(job);
    const std::vector<start_run> starts = fixture.Decide();
    BW_EQUAL(std::size_t{ 2 }, starts.size());
    for (const start_run& each : starts) {
      fixture.mCore.OnStarted(each, start_outcome::kStarted, fixture.mNow, fixture.mNow);
    }
    fixture.mNow += milliseconds(500);
    fixture.Report("w", { starts[1].mRun }, { { 1, starts[0].mRun, run_end::kDone, {} } });
    BW_EQUAL(std::size_t{ 1 }, fixture.Decide().size());
    // The next leader has reached worker `v` but not `w`.
    fixture.Begin(7, settings);
    fixture.Add(job);
    fixture.List({ "w", "v" });
    fixture.Report("v", {});
    BW_EQUAL(4, fixture.AcceleratorsInUse());
    BW_CHECK(fixture.Decide().empty());
  }
  BW_SECTION("runs of a job that is cancelled before a leader has read any settings are stored")
  {
    const work_job job = Job("a", "batch", { Step(1, 4) });
    fixture.mRecords["a"] =
      R"({"state":"running","epoch":3,"change":2,"next":1,"done":[],"tasks":[[0,0,0,1,0,"w",""]]})";
    fixture.Begin(5, std::nullopt);
    fixture.Add(job);
    fixture.mCore.CancelJob("a", fixture.mNow);
    fixture.Decide();
    fixture.Begin(7, settings);
    fixture.Add(job);
    BW_EQUAL(4, fixture.AcceleratorsInUse());
  }
}

// Guards against records that are written again and again: a task was placed since it needs nothing
// of the exceeded resource, and dropped before its order since its organisation is above its limit.
BW_STORY("an organisation is above its limit for one resource")
{
  core_fixture fixture;
  fixture.Begin(5, LimitedSettings({ { "o1", Limit(8) } }));
  fixture.List({ "w", "v" });
  fixture.Report("w", {});
  fixture.Report("v", {});
  fixture.Add(Job("a", "batch", { Step(8, 1) }));
  BW_EQUAL(std::size_t{ 8 }, fixture.Decide().size());
  fixture.mCore.SetSettings(LimitedSettings({ { "o1", Limit(4) } }), fixture.mNow);
  fixture.Add(Job("b", "batch", { Step(1, 0) }));
  fixture.mWrites = 0;
  BW_SECTION("a task that needs other resources is neither started nor recorded")
  {
    for (int i = 0; i < 10; ++i) {
      BW_CHECK(fixture.Decide().empty());
    }
    BW_EQUAL(0, fixture.mWrites);
  }
}

// Guards against an organisation that is held back for the sake of a gang which cannot start, on
// four workers with 32 accelerators. One run of the organisation is live.
BW_STORY("a gang waits for its organisation's limit beside other work of the organisation")
{
  constexpr milliseconds kHour{ 3'600'000 };
  constexpr milliseconds kMinute{ 60'000 };
  fleet_simulation fleet(4, 1);
  fleet.SetSettings(LimitedSettings({ { "o1", Limit(32, 100) } }));
  fleet.Run(milliseconds(200));
  const auto occupy = [&](int aAccelerators, milliseconds aTime, bool aLongRunning) {
    work_job job = Job("first", "batch", { Step(1, aAccelerators) });
    job.mSteps[0].mEstimate = aTime;
    job.mSteps[0].mLongRunning = aLongRunning;
    fleet.Submit(job, aTime);
    fleet.Run(milliseconds(200));
  };
  work_job gang = Gang("gang", "batch", 4, 7);
  gang.mSteps[0].mEstimate = kMinute;
  const auto startedBehind = [&](milliseconds aEstimate) {
    fleet.Submit(gang, kMinute);
    fleet.Run(milliseconds(2'500));
    work_job behind = Job("z", "batch", { Step(2, 2) });
    behind.mSteps[0].mEstimate = aEstimate;
    fleet.Submit(behind, aEstimate);
    fleet.Run(milliseconds(500));
    return fleet.Starts("z");
  };

  BW_SECTION("the other work starts if the limit was lowered below what the gang needs")
  {
    occupy(8, kHour, false);
    fleet.SetSettings(LimitedSettings({ { "o1", Limit(16, 100) } }));
    BW_EQUAL(2, startedBehind(kHour));
  }
  BW_SECTION("it starts if long-running tasks use what the gang needs")
  {
    occupy(8, kHour, true);
    BW_EQUAL(2, startedBehind(kHour));
  }
  BW_SECTION("it starts if no set of workers can hold the gang")
  {
    occupy(8, milliseconds(20'000), false);
    gang = Gang("gang", "batch", 5, 5);
    gang.mSteps[0].mPerWorkerLimit = 1;
    gang.mSteps[0].mEstimate = kMinute;
    BW_EQUAL(2, startedBehind(kHour));
  }
  BW_SECTION("it starts if the gang can't start for longer than its objective allows")
  {
    occupy(8, kHour, false);
    BW_EQUAL(2, startedBehind(kHour));
  }
  BW_SECTION("it starts if it ends before the gang can start")
  {
    occupy(8, milliseconds(20'000), false);
    BW_EQUAL(2, startedBehind(milliseconds(2'000)));
  }
  BW_SECTION("it waits if it would delay a gang that can start soon")
  {
    occupy(8, milliseconds(20'000), false);
    BW_EQUAL(0, startedBehind(kMinute));
    fleet.Run(milliseconds(18'000));
    BW_EQUAL(4, fleet.LiveRuns("gang"));
  }
  BW_CHECK(fleet.mViolations.empty());
}
