#include "testing/fleet_simulation.h"
#include "testing/sample_jobs.h"

#include "briarwind/testing.h"

#include <fmt/format.h>

using namespace briarwind;
using namespace briarwind::testing;

namespace {

constexpr milliseconds kMinute{ 60'000 };
constexpr milliseconds kHour{ 3'600'000 };

work_job WithEstimate(work_job aJob, milliseconds aEstimate)
{
  aJob.mSteps[0].mEstimate = aEstimate;
  return aJob;
}

// Occupies aTasks workers with aAccelerators each, for a long time.
void Occupy(fleet_simulation& aFleet, const std::string& aLabel, int aTasks, int aAccelerators)
{
  work_job job = WithEstimate(Job("busy", "batch", { Step(aTasks, aAccelerators) }), kHour);
  job.mSteps[0].mRequiredLabel = aLabel;
  job.mSteps[0].mPerWorkerLimit = 1;
  aFleet.Submit(job, kHour);
  aFleet.Run(milliseconds(300));
}

} // namespace

// Guards against waits as long as a step's run time for a better place that cannot come, beside
// idle workers. Racks of four workers; half of the accelerators are in use.
BW_STORY("a step prefers a rack that can never hold it")
{
  fleet_simulation fleet(8, 1);
  work_settings settings = BatchSettings();
  settings.mVersion = 1;

  BW_SECTION("a task does not wait for the rack of its data in a withdrawn failure domain")
  {
    settings.mWithdrawnDomains = { "d3" };
    for (int i = 0; i < 4; ++i) {
      fleet.Worker(i).mInfo.mDomain = "d3";
    }
    fleet.SetSettings(settings);
    fleet.Run(milliseconds(200));
    Occupy(fleet, "r1", 4, 4);
    work_job job = WithEstimate(Job("a", "batch", { Step(1, 1) }), kHour);
    job.mSteps[0].mDataRack = "r0";
    fleet.Submit(job);
    fleet.Run(milliseconds(2'500));
    BW_EQUAL(1, fleet.Starts("a"));
  }
  BW_SECTION("a gang does not wait for one rack if each has too few workers for it")
  {
    fleet.SetSettings(settings);
    fleet.Run(milliseconds(200));
    Occupy(fleet, "", 8, 4);
    work_job gang = WithEstimate(Gang("a", "batch", 5, 2), kHour);
    gang.mSteps[0].mRackLocal = true;
    gang.mSteps[0].mPerWorkerLimit = 1;
    fleet.Submit(gang);
    fleet.Run(milliseconds(2'500));
    BW_EQUAL(5, fleet.Starts("a"));
  }
  BW_SECTION("a task waits for the rack of its data while that rack can hold it")
  {
    fleet.SetSettings(settings);
    fleet.Run(milliseconds(200));
    Occupy(fleet, "r0", 4, 8);
    work_job job = WithEstimate(Job("a", "batch", { Step(1, 1) }), kMinute);
    job.mSteps[0].mDataRack = "r0";
    fleet.Submit(job);
    fleet.Run(milliseconds(2'500));
    BW_EQUAL(0, fleet.Starts("a"));
  }
}

// Guards against workers without accelerators that count as busy, so that a task waits as long as
// its run time for the rack of its data beside idle workers. One rack of three is full.
BW_STORY("a task waits for the rack of its data on workers without accelerators")
{
  fleet_simulation fleet(12, 1);
  work_settings settings = BatchSettings();
  settings.mVersion = 1;
  for (int i = 0; i < fleet.WorkerCount(); ++i) {
    fleet.Worker(i).mInfo.mCapacity = { 0, 64'000, 262'144 };
  }
  fleet.SetSettings(settings);
  fleet.Run(milliseconds(200));
  const auto fill = [&](const std::string& aLabel) {
    work_job job = WithEstimate(Job("full" + aLabel, "batch", { Step(4, 0) }), kHour);
    job.mSteps[0].mRequiredLabel = aLabel;
    job.mSteps[0].mDemand = { 0, 64'000, 1'000 };
    fleet.Submit(job, kHour);
    fleet.Run(milliseconds(300));
  };
  work_job near = WithEstimate(Job("near", "batch", { Step(1, 0) }), kMinute);
  near.mSteps[0].mDataRack = "r0";

  BW_SECTION("it starts elsewhere after a short wait while most of the workers are idle")
  {
    fill("r0");
    fleet.Submit(near);
    fleet.Run(milliseconds(2'500));
    BW_EQUAL(1, fleet.Starts("near"));
  }
  BW_SECTION("it goes on waiting while most of the workers are in use")
  {
    fill("r0");
    fill("r1");
    fleet.Submit(near);
    fleet.Run(milliseconds(2'500));
    BW_EQUAL(0, fleet.Starts("near"));
  }
}

// Guards against a gang that waits for tickets it does not ask for: the advisor was asked for
// enough room, but not for enough workers. 40 workers, of which 30 are named in one request.
BW_STORY("a gang may have one task per worker, and few of the first workers are approved")
{
  fleet_simulation fleet(40, 1);
  work_settings settings = BatchSettings();
  settings.mVersion = 1;
  settings.mQueues["batch"].mAsksAdvice = true;
  fleet.SetSettings(settings);
  for (const int each : { 0, 1, 2, 3, 32, 33, 34, 35, 36, 37 }) {
    fleet.mApprovedWorkers.insert(fmt::format("w{:02}", each));
  }
  fleet.Run(milliseconds(200));
  BW_SECTION("the advisor is asked for the other workers, too")
  {
    work_job gang = Gang("gang", "batch", 8, 1);
    gang.mSteps[0].mPerWorkerLimit = 1;
    fleet.Submit(gang);
    fleet.Run(milliseconds(1'000));
    BW_EQUAL(8, fleet.Starts("gang"));
  }
}
