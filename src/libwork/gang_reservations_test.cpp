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

// One task that occupies a whole worker for aTime, and says so.
work_job Single(const std::string& aId, milliseconds aTime)
{
  return WithEstimate(Job(aId, "low", { Step(1, 8) }), aTime);
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
  BW_SECTION("since a long-running task occupies a worker that it needs")
  {
    work_job service = Single("service", kMinute);
    service.mSteps[0].mLongRunning = true;
    fleet.Submit(service, kHour);
    fleet.Run(milliseconds(200));
    BW_EQUAL(2, StartedBehind(fleet, WithEstimate(Gang("gang", "batch", 4, 8), kHour)));
  }
  BW_CHECK(fleet.mViolations.empty());
}

// Guards against idle racks that are reserved for a gang which cannot start there for a long time.
// Four workers of eight accelerators form one rack, of which one is occupied.
BW_STORY("a gang waits for the run that occupies the last worker it needs")
{
  fleet_simulation fleet(4, 1);
  fleet.SetSettings(TwoQueues());
  fleet.Run(milliseconds(200));
  const work_job gang = WithEstimate(Gang("gang", "batch", 4, 8), kMinute);

  BW_SECTION("nothing is reserved if that run takes longer than the gang's objective allows")
  {
    fleet.Submit(Single("single", kHour), kHour);
    fleet.Run(milliseconds(200));
    BW_EQUAL(2, StartedBehind(fleet, gang));
    BW_EQUAL(0, fleet.Events(work_event_kind::kRackReserved));
  }
  BW_SECTION("a reserved rack is used by work that ends before the gang can start")
  {
    fleet.Submit(Single("single", milliseconds(20'000)), milliseconds(20'000));
    fleet.Run(milliseconds(200));
    BW_EQUAL(2, StartedBehind(fleet, gang));
    BW_EQUAL(1, fleet.Events(work_event_kind::kRackReserved));
  }
  BW_SECTION("and not by work that would delay the gang")
  {
    fleet.Submit(Single("single", milliseconds(20'000)), milliseconds(20'000));
    fleet.Run(milliseconds(200));
    fleet.Submit(gang, kMinute);
    fleet.Run(milliseconds(1'500));
    fleet.Submit(Single("long", kMinute), kMinute);
    work_job unknown = WithEstimate(Job("unknown", "low", { Step(1, 1) }), milliseconds(0));
    fleet.Submit(unknown, kMinute);
    fleet.Run(milliseconds(19'500));
    BW_EQUAL(0, fleet.Starts("long") + fleet.Starts("unknown"));
    BW_EQUAL(4, fleet.LiveRuns("gang"));
  }
  BW_CHECK(fleet.mViolations.empty());
}

// Guards against idle workers that are reserved together with their rack, although the gang cannot
// use them. Two of the four workers of the rack have the label that the gang requires.
BW_STORY("a gang waits for workers with a label that others on their rack lack")
{
  fleet_simulation fleet(4, 1);
  fleet.SetSettings(TwoQueues());
  fleet.Worker(0).mInfo.mLabels.emplace_back("large");
  fleet.Worker(1).mInfo.mLabels.emplace_back("large");
  fleet.Run(milliseconds(200));
  work_job single = Single("single", milliseconds(20'000));
  single.mSteps[0].mRequiredLabel = "large";
  fleet.Submit(single, milliseconds(20'000));
  fleet.Run(milliseconds(200));
  work_job gang = WithEstimate(Gang("gang", "batch", 2, 8), kMinute);
  gang.mSteps[0].mRequiredLabel = "large";
  fleet.Submit(gang, kMinute);
  fleet.Run(milliseconds(1'500));
  BW_SECTION("the others run work that would delay the gang on its own workers")
  {
    fleet.Submit(WithEstimate(Job("long", "low", { Step(2, 8) }), kMinute), kMinute);
    fleet.Submit(WithEstimate(Job("more", "low", { Step(1, 8) }), kMinute), kMinute);
    fleet.Run(milliseconds(500));
    BW_EQUAL(2, fleet.Starts("long"));
    BW_EQUAL(0, fleet.Starts("more"));
  }
}

// Guards against an idle rack that is reserved for a gang which waits for room on another rack,
// where its data are. The gang fits on the idle rack, but takes three times as long there.
BW_STORY("a gang waits for the rack of its data while another rack is idle")
{
  fleet_simulation fleet(8, 1);
  fleet.SetSettings(TwoQueues());
  fleet.Run(milliseconds(200));
  work_job singles = WithEstimate(Job("singles", "low", { Step(4, 8) }), kMinute);
  singles.mSteps[0].mRequiredLabel = "r0";
  fleet.Submit(singles, kMinute);
  fleet.Run(milliseconds(200));
  work_job gang = WithEstimate(Gang("gang", "batch", 4, 8), kHour);
  gang.mSteps[0].mDataRack = "r0";
  fleet.Submit(gang, kMinute);
  fleet.Run(milliseconds(1'500));
  BW_SECTION("the idle rack runs other work")
  {
    fleet.Submit(WithEstimate(Job("long", "low", { Step(2, 1) }), kHour), kMinute);
    fleet.Run(milliseconds(500));
    BW_EQUAL(2, fleet.Starts("long"));
  }
}
