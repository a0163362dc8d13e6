#include "testing/fleet_simulation.h"
#include "testing/sample_jobs.h"

#include "briarwind/testing.h"

#include <fmt/format.h>

using namespace briarwind;
using namespace briarwind::testing;

namespace {

constexpr milliseconds kLong{ 60'000 };

// A queue that may preempt, and two that may not.
work_settings ThreeQueues()
{
  work_settings settings = BatchSettings();
  settings.mQueues["urgent"] = { "pool", 0, 3, 1.5, milliseconds(250) };
  settings.mQueues["low"] = { "pool", 2, 3, 3, milliseconds(3'000) };
  return settings;
}

work_job OneTask(const std::string& aId, const std::string& aQueue, const task_demand& aDemand)
{
  work_job job = Job(aId, aQueue, { Step(1, 1) });
  job.mSteps[0].mDemand = aDemand;
  return job;
}

work_options Without(bool work_parts::* aPart)
{
  work_options options;
  options.mParts.*aPart = false;
  return options;
}

} // namespace

// Guards against making all work late in turn. Load: more work than room, so that some of it has
// missed its objective before it can start.
BW_STORY("work that is late competes with work that can still be in time")
{
  const auto startedFirst = [](const work_options& aOptions) {
    fleet_simulation fleet(1, 1, aOptions);
    fleet.SetSettings(ThreeQueues());
    fleet.Run(milliseconds(200));
    fleet.Submit(Job("blocker", "batch", { Step(1, 8) }), milliseconds(3'000));
    fleet.Run(milliseconds(200));
    work_job late = Job("late", "batch", { Step(1, 8) });
    late.mSteps[0].mEstimate = milliseconds(100); // objective: 1.3 s after its submission
    fleet.Submit(late, kLong);
    fleet.Run(milliseconds(2'300));
    fleet.Submit(Job("fresh", "batch", { Step(1, 8) }), kLong);
    fleet.Run(milliseconds(1'000));
    return fleet.LiveRuns("fresh") == 1 ? "fresh" : "late";
  };
  BW_SECTION("the work that can be in time starts first")
  {
    BW_EQUAL(std::string("fresh"), std::string(startedFirst({})));
  }
  BW_SECTION("without the part the older work does")
  {
    BW_EQUAL(std::string("late"), std::string(startedFirst(Without(&work_parts::mLateLast))));
  }
}

// Guards against small tasks that take the memory which a large task needs. Load: tasks that need
// little of one resource beside tasks that need half a worker's memory.
BW_STORY("small tasks are placed beside large ones")
{
  const auto largeStarts = [](const work_options& aOptions) {
    fleet_simulation fleet(2, 1, aOptions);
    fleet.SetSettings(ThreeQueues());
    fleet.Run(milliseconds(200));
    fleet.Submit(OneTask("memory", "batch", { 1, 100'000, 140'000 }), kLong);
    fleet.Run(milliseconds(100));
    fleet.Submit(OneTask("accelerators", "batch", { 4, 40'000, 1'000 }), kLong);
    fleet.Run(milliseconds(100));
    work_job small = Job("small", "batch", { Step(2, 1) });
    small.mSteps[0].mDemand = { 1, 1'000, 62'000 };
    fleet.Submit(small, kLong);
    fleet.Run(milliseconds(100));
    fleet.Submit(OneTask("large", "batch", { 1, 60'000, 140'000 }), kLong);
    fleet.Run(milliseconds(300));
    return fleet.LiveRuns("large");
  };
  BW_SECTION("they fill the worker with the least room over all resources")
  {
    BW_EQUAL(1, largeStarts({}));
  }
  BW_SECTION("by free accelerators alone, the large task finds no room")
  {
    BW_EQUAL(0, largeStarts(Without(&work_parts::mShapeFit)));
  }
}

// Guards against stopping work in time while work that is late already could be stopped. Load:
// urgent work on a full fleet.
BW_STORY("urgent work has to stop other work")
{
  const auto stopped = [](const work_options& aOptions) {
    fleet_simulation fleet(2, 1, aOptions);
    fleet.SetSettings(ThreeQueues());
    fleet.Run(milliseconds(200));
    work_job late = Job("late", "batch", { Step(1, 8) });
    late.mSteps[0].mEstimate = milliseconds(100);
    fleet.Submit(late, kLong);
    fleet.Run(milliseconds(1'500));
    fleet.Submit(Job("fresh", "batch", { Step(1, 8) }), kLong);
    fleet.Run(milliseconds(1'500));
    fleet.Submit(Job("urgent", "urgent", { Step(1, 8) }), kLong);
    fleet.Run(milliseconds(600));
    return fleet.LiveRuns("late") == 0 ? "late" : "fresh";
  };
  BW_SECTION("the run of the late job is stopped, although it has run longer")
  {
    BW_EQUAL(std::string("late"), std::string(stopped({})));
  }
  BW_SECTION("without the part the youngest run is")
  {
    BW_EQUAL(std::string("fresh"), std::string(stopped(Without(&work_parts::mSpareInTime))));
  }
}

// Guards against gangs that wait while work of lower priority takes each worker that comes free.
// Load: two racks full of single tasks of low priority that end one after the other, and more of
// them waiting.
BW_STORY("a gang waits for a rack while single tasks keep coming")
{
  const auto gangRuns = [](const work_options& aOptions) {
    fleet_simulation fleet(8, 1, aOptions);
    fleet.SetSettings(ThreeQueues());
    fleet.Run(milliseconds(200));
    for (int i = 0; i < 8; ++i) {
      fleet.Submit(Job(fmt::format("single{}", i), "low", { Step(1, 8) }), milliseconds(1'200));
      fleet.Run(milliseconds(150));
    }
    fleet.Submit(Job("more", "low", { Step(60, 8) }), milliseconds(1'200));
    work_job gang = Gang("gang", "batch", 4, 8);
    gang.mSteps[0].mRackLocal = true;
    fleet.Submit(gang, kLong);
    fleet.Run(milliseconds(3'500));
    return fleet.LiveRuns("gang");
  };
  BW_SECTION("the gang starts once the rack that is held for it is empty")
  {
    BW_EQUAL(4, gangRuns({}));
  }
  BW_SECTION("without the part it is still waiting")
  {
    BW_EQUAL(0, gangRuns(Without(&work_parts::mReservations)));
  }
}
