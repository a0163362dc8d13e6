#include "testing/fleet_simulation.h"
#include "testing/sample_jobs.h"

#include "briarwind/testing.h"

#include <fmt/format.h>

#include <algorithm>

using namespace briarwind;
using namespace briarwind::testing;

namespace {

work_job ImageJob(const std::string& aId, int aCount, const std::string& aImage,
                  int aAccelerators = 1)
{
  work_job job = Job(aId, "batch", { Step(aCount, aAccelerators) });
  job.mSteps[0].mImage = aImage;
  job.mSteps[0].mEstimate = milliseconds(60'000); // short runs would count as stalled when slowed
  return job;
}

int MixedWorkers(fleet_simulation& aFleet, const std::string& aLeft, const std::string& aRight)
{
  int mixed = 0;
  for (int i = 0; i < aFleet.WorkerCount(); ++i) {
    const auto has = [&](const std::string& aJob) {
      return std::ranges::any_of(aFleet.Worker(i).mRuns,
                                 [&](const auto& aRun) { return aRun.first.mTask.mJob == aJob; });
    };
    mixed += has(aLeft) && has(aRight) ? 1 : 0;
  }
  return mixed;
}

// Twelve workers with eight accelerators. Tasks of image "a" first run alone on four of them, then
// tasks of "b" fill these up, as best fit places them.
void RunTogether(fleet_simulation& aFleet, milliseconds aTime)
{
  aFleet.Run(milliseconds(200));
  aFleet.Submit(ImageJob("a", 4, "a", 5), milliseconds(60'000));
  aFleet.Run(milliseconds(8'000));
  aFleet.Submit(ImageJob("b", 12, "b"), milliseconds(60'000));
  aFleet.Run(aTime);
}

} // namespace

// Guards against two kinds of tasks that keep slowing each other down although other workers have
// room, and against separation for another reason or at the price of waiting. Each fleet has twelve
// workers, a third of them in use, unless a section says otherwise.
BW_STORY("tasks that slow each other down are kept apart where there is room")
{
  fleet_simulation fleet(12, 1);
  BW_SECTION("two kinds that slow each other down are learned and then placed apart")
  {
    fleet.SetInterference("a", "b", 2);
    RunTogether(fleet, milliseconds(20'000));
    BW_EQUAL(4, MixedWorkers(fleet, "a", "b"));
    BW_CHECK(fleet.Core().InterferingPairs() > 0);
    fleet.Submit(ImageJob("c", 4, "a", 5), milliseconds(60'000));
    fleet.Run(milliseconds(500));
    fleet.Submit(ImageJob("d", 12, "b"), milliseconds(60'000));
    fleet.Run(milliseconds(500));
    BW_EQUAL(4, fleet.LiveRuns("c"));
    BW_EQUAL(12, fleet.LiveRuns("d"));
    BW_EQUAL(0, MixedWorkers(fleet, "c", "b"));
    BW_EQUAL(0, MixedWorkers(fleet, "a", "d"));
    BW_EQUAL(0, MixedWorkers(fleet, "c", "d"));
    BW_EQUAL(1, fleet.Events(work_event_kind::kInterferenceApplied));
  }
  BW_SECTION("kinds that don't slow each other down are placed by best fit as before")
  {
    RunTogether(fleet, milliseconds(20'000));
    BW_EQUAL(std::size_t{ 0 }, fleet.Core().InterferingPairs());
    BW_EQUAL(4, MixedWorkers(fleet, "a", "b"));
  }
  BW_CHECK(fleet.mViolations.empty());
}

// Guards against evidence that is none or out of date, and against work that waits for separation.
BW_STORY("kinds are separated only for as long as they interfere and where there is room")
{
  fleet_simulation fleet(12, 1);
  BW_SECTION("a worker that is slow for all its runs teaches nothing")
  {
    fleet.Run(milliseconds(200));
    fleet.Submit(ImageJob("a", 4, "a", 5), milliseconds(60'000));
    fleet.Run(milliseconds(8'000));
    for (int i = 0; i < fleet.WorkerCount(); ++i) {
      if (!fleet.Worker(i).mRuns.empty()) {
        fleet.Worker(i).mSlowdown = 2; // by more the run would count as stalled
        break;
      }
    }
    fleet.Submit(ImageJob("b", 12, "b"), milliseconds(60'000));
    fleet.Run(milliseconds(20'000));
    BW_EQUAL(std::size_t{ 0 }, fleet.Core().InterferingPairs());
  }
  BW_SECTION("a pair that stops slowing each other down is forgotten")
  {
    fleet.SetInterference("a", "b", 2);
    RunTogether(fleet, milliseconds(20'000));
    BW_CHECK(fleet.Core().InterferingPairs() > 0);
    fleet.SetInterference("a", "b", 1);
    fleet.Run(milliseconds(30'000));
    BW_EQUAL(std::size_t{ 0 }, fleet.Core().InterferingPairs());
    BW_CHECK(fleet.Events(work_event_kind::kInterferenceForgotten) > 0);
  }
  BW_SECTION("on a fleet without other room a known pair is placed together at once")
  {
    fleet.SetInterference("a", "b", 2);
    RunTogether(fleet, milliseconds(20'000));
    BW_CHECK(fleet.Core().InterferingPairs() > 0);
    // The eight workers without "a" are filled, so that "d" has room beside "a" only.
    fleet.Cancel("b");
    fleet.Submit(Job("filler", "batch", { Step(8, 8) }), milliseconds(60'000));
    fleet.Run(milliseconds(500));
    fleet.Submit(ImageJob("d", 12, "b"), milliseconds(60'000));
    fleet.Run(milliseconds(500));
    BW_EQUAL(12, fleet.LiveRuns("d"));
    BW_EQUAL(4, MixedWorkers(fleet, "a", "d"));
    BW_EQUAL(0, fleet.Events(work_event_kind::kEvicted));
  }
  BW_CHECK(fleet.mViolations.empty());
}

// Guards against a switch that does not restore the placement of the former version.
BW_STORY("without the part, kinds that slow each other down are placed by best fit")
{
  work_options options;
  options.mParts.mInterference = false;
  fleet_simulation fleet(12, 1, options);
  fleet.SetInterference("a", "b", 2);
  RunTogether(fleet, milliseconds(20'000));
  BW_EQUAL(std::size_t{ 0 }, fleet.Core().InterferingPairs());
  BW_EQUAL(4, MixedWorkers(fleet, "a", "b"));
}
