#include "testing/fleet_simulation.h"
#include "testing/sample_jobs.h"

#include "briarwind/testing.h"

#include <fmt/format.h>

using namespace briarwind;
using namespace briarwind::testing;

namespace {

constexpr milliseconds kMinute{ 60'000 };
constexpr milliseconds kHour{ 3'600'000 };

// Queues of priority 1 and 2, which may not preempt.
work_settings TwoQueues()
{
  work_settings settings = BatchSettings();
  settings.mVersion = 1;
  settings.mQueues["low"] = { "pool", 2, 3, 3, milliseconds(3'000) };
  return settings;
}

work_job WithEstimate(work_job aJob, milliseconds aEstimate)
{
  aJob.mSteps[0].mEstimate = aEstimate;
  return aJob;
}

// Submits the gang, waits until it may have a reservation, and returns how many tasks of a short
// job of lower priority are started then.
int StartedBehind(fleet_simulation& aFleet, const work_job& aGang)
{
  aFleet.Submit(aGang, kMinute);
  aFleet.Run(milliseconds(1'500));
  aFleet.Submit(Job("short", "low", { Step(2, 1) }));
  aFleet.Run(milliseconds(500));
  return aFleet.Starts("short");
}

} // namespace

// Guards against idle racks that are reserved for a gang which they can never hold. Four workers of
// eight accelerators form one rack.
BW_STORY("a gang that can never fit waits beside single tasks of lower priority")
{
  fleet_simulation fleet(4, 1);
  fleet.SetSettings(TwoQueues());
  fleet.Run(milliseconds(200));

  BW_SECTION("since each worker may run one of its tasks, and there are too few workers")
  {
    work_job gang = WithEstimate(Gang("gang", "batch", 5, 4), kHour);
    gang.mSteps[0].mPerWorkerLimit = 1;
    BW_EQUAL(2, StartedBehind(fleet, gang));
  }
  BW_CHECK(fleet.mViolations.empty());
}
