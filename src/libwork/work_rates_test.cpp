#include "testing/fleet_simulation.h"
#include "testing/sample_jobs.h"

#include "briarwind/testing.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

using namespace briarwind;
using namespace briarwind::testing;

namespace {

// Runs jobs one after the other, each with two tasks on every worker, for 13 s.
void RunSpreadJobs(fleet_simulation& aFleet, const std::string& aPrefix)
{
  for (int i = 0; i < 6; ++i) {
    work_step spread = Step(2 * aFleet.WorkerCount(), 1);
    spread.mPerWorkerLimit = 2;
    aFleet.Submit(Job(fmt::format("{}{}", aPrefix, i), "batch", { spread }), milliseconds(1'400));
    aFleet.Run(milliseconds(2'000));
  }
  aFleet.Run(milliseconds(1'000));
}

// Makes the first four of twelve workers 1.25 times slower and runs jobs whose tasks differ by 30%.
void SlowDownThird(fleet_simulation& aFleet)
{
  aFleet.mTaskSpread = 0.3;
  aFleet.Run(milliseconds(200));
  for (int i = 0; i < 4; ++i) {
    aFleet.Worker(i).mSlowdown = 1.25;
  }
  RunSpreadJobs(aFleet, "a");
}

// Which workers are in the slow class.
std::vector<bool> Slow(const fleet_simulation& aFleet)
{
  std::vector<bool> slow;
  for (int i = 0; i < aFleet.WorkerCount(); ++i) {
    slow.push_back(aFleet.Events(work_event_kind::kWorkerSlow, i) >
                   aFleet.Events(work_event_kind::kWorkerNotSlow, i));
  }
  return slow;
}

std::vector<bool> FirstOf(int aCount, int aAll)
{
  std::vector<bool> marked(static_cast<std::size_t>(aAll), false);
  std::fill_n(marked.begin(), aCount, true);
  return marked;
}

int StartsOnFirst(fleet_simulation& aFleet, int aCount)
{
  int starts = 0;
  for (int i = 0; i < aCount; ++i) {
    starts += aFleet.Worker(i).mStarted;
  }
  return starts;
}

// A queue whose jobs have no more than their expected run time, so that their objective is near.
work_settings SettingsWithTightQueue()
{
  work_settings settings = BatchSettings();
  settings.mQueues["tight"] = { "pool", 1, 3, 1, milliseconds(100) };
  return settings;
}

} // namespace

// Load: jobs of 24 tasks that differ by 30%, on twelve workers of which a third takes 1.25 times as
// long; then a gang or a step on the idle fleet. Guards against judging workers by the differences
// between tasks, and against a gang that a slow member delays although other workers are free. The
// slow workers have the lowest ids, so they would come first.
BW_STORY("a third of the workers is 1.25 times slower")
{
  fleet_simulation fleet(12, 1);
  fleet.SetSettings(SettingsWithTightQueue());
  SlowDownThird(fleet);
  BW_CHECK(FirstOf(4, 12) == Slow(fleet));
  const int startsOnSlow = StartsOnFirst(fleet, 4);

  BW_SECTION("a gang that fits on the others uses none of them")
  {
    fleet.Submit(Gang("gang", "batch", 8, 8));
    fleet.Run(milliseconds(300));
    BW_EQUAL(8, fleet.LiveRuns("gang"));
    BW_EQUAL(startsOnSlow, StartsOnFirst(fleet, 4));
  }
  BW_SECTION("a gang that needs one of them does not wait")
  {
    fleet.Submit(Gang("gang", "batch", 9, 8));
    fleet.Run(milliseconds(300));
    BW_EQUAL(9, fleet.LiveRuns("gang"));
  }
  BW_SECTION("a gang of one rack takes a rack without them, or theirs if no other is free")
  {
    for (const char* name : { "first", "second", "third" }) {
      work_job gang = Gang(name, "batch", 4, 8);
      gang.mSteps[0].mRackLocal = true;
      fleet.Submit(gang, milliseconds(4'000));
      fleet.Run(milliseconds(300));
      BW_EQUAL(4, fleet.LiveRuns(name));
      const int onSlow = std::string(name) == "third" ? 4 : 0;
      BW_EQUAL(startsOnSlow + onSlow, StartsOnFirst(fleet, 4));
    }
  }
  BW_SECTION("a step that may miss its objective uses them last")
  {
    fleet.Submit(Job("near", "tight", { Step(9, 8) }));
    fleet.Run(milliseconds(300));
    BW_EQUAL(9, fleet.LiveRuns("near"));
    BW_EQUAL(startsOnSlow + 1, StartsOnFirst(fleet, 4));
  }
  BW_SECTION("other steps are packed as if all workers were alike")
  {
    fleet.Submit(Job("far", "batch", { Step(16, 1) }));
    fleet.Run(milliseconds(300));
    BW_EQUAL(startsOnSlow + 16, StartsOnFirst(fleet, 4));
  }
  BW_CHECK(fleet.mViolations.empty());
}

// Load: as above, then a job of 96 long tasks that a new leader finds running. Guards against a
// leader that judges no worker before runs that it started itself have ended.
BW_STORY("a new leader judges slow workers from the runs that it finds")
{
  fleet_simulation fleet(12, 1);
  SlowDownThird(fleet);
  work_step spread = Step(96, 1);
  spread.mPerWorkerLimit = 8;
  fleet.Submit(Job("long", "batch", { spread }), milliseconds(10'000));
  fleet.Run(milliseconds(1'000));
  const int before = fleet.Events(work_event_kind::kWorkerSlow, 0);
  fleet.ChangeLeader();
  fleet.Run(milliseconds(5'000));
  BW_EQUAL(96, fleet.Starts("long"));
  BW_EQUAL(96, fleet.LiveRuns("long"));
  BW_EQUAL(before + 1, fleet.Events(work_event_kind::kWorkerSlow, 0));
  BW_CHECK(FirstOf(4, 12) == Slow(fleet));
  BW_CHECK(fleet.mViolations.empty());
}

// Load: as above, without the part. Shows that the checks above depend on it.
BW_STORY("a third of the workers is 1.25 times slower and rates are switched off")
{
  work_options options;
  options.mParts.mWorkerRates = false;
  fleet_simulation fleet(12, 1, options);
  SlowDownThird(fleet);
  BW_CHECK(FirstOf(0, 12) == Slow(fleet));
  const int startsOnSlow = StartsOnFirst(fleet, 4);
  fleet.Submit(Gang("gang", "batch", 8, 8));
  fleet.Run(milliseconds(300));
  BW_EQUAL(startsOnSlow + 4, StartsOnFirst(fleet, 4));
}

// Load: jobs of 16 tasks on eight workers, one of which, or all of which, take twice as long.
// Guards against missing a worker that was slow from its first run on, which a comparison with its
// own best pace can't show, against holding it against a worker that has recovered, and against
// calling workers slow when there is none faster.
BW_STORY("a worker is slow for all tasks")
{
  fleet_simulation fleet(8, 1);
  fleet.mTaskSpread = 0.3;
  fleet.Run(milliseconds(200));

  BW_SECTION("one worker is found, and used as before soon after it has recovered")
  {
    fleet.Worker(0).mSlowdown = 2;
    RunSpreadJobs(fleet, "a");
    BW_CHECK(FirstOf(1, 8) == Slow(fleet));
    fleet.Worker(0).mSlowdown = 1;
    RunSpreadJobs(fleet, "b");
    RunSpreadJobs(fleet, "c");
    BW_CHECK(FirstOf(0, 8) == Slow(fleet));
    BW_EQUAL(1, fleet.Events(work_event_kind::kWorkerSlow, 0));
  }
  BW_SECTION("if all are slow, none is used last")
  {
    for (int i = 0; i < 8; ++i) {
      fleet.Worker(i).mSlowdown = 2;
    }
    RunSpreadJobs(fleet, "a");
    BW_CHECK(FirstOf(0, 8) == Slow(fleet));
  }
  BW_CHECK(fleet.mViolations.empty());
}

// Load: gangs and a tight step that need all of eight workers, three of which are slow. Guards
// against capacity that stays idle because its workers are slow.
BW_STORY("the fleet is full and three of its workers are slow")
{
  fleet_simulation fleet(8, 1);
  fleet.SetSettings(SettingsWithTightQueue());
  fleet.Run(milliseconds(200));
  for (int i = 0; i < 3; ++i) {
    fleet.Worker(i).mSlowdown = 1.5;
  }
  RunSpreadJobs(fleet, "a");
  BW_CHECK(FirstOf(3, 8) == Slow(fleet));

  BW_SECTION("a gang of all workers starts at once, and the next one when it has ended")
  {
    fleet.Submit(Gang("a", "batch", 8, 8), milliseconds(1'000));
    fleet.Submit(Gang("b", "batch", 4, 8), milliseconds(1'000));
    fleet.Submit(Gang("c", "batch", 4, 8), milliseconds(1'000));
    fleet.Run(milliseconds(300));
    BW_EQUAL(8, fleet.LiveRuns("a"));
    fleet.Run(milliseconds(1'500));
    BW_EQUAL(4, fleet.LiveRuns("b"));
    BW_EQUAL(4, fleet.LiveRuns("c"));
  }
  BW_SECTION("a step near its objective fills all workers at once")
  {
    fleet.Submit(Job("a", "tight", { Step(64, 1) }), milliseconds(1'000));
    fleet.Run(milliseconds(300));
    BW_EQUAL(64, fleet.LiveRuns("a"));
  }
  BW_CHECK(fleet.mViolations.empty());
}

namespace {

// Takes the first workers away, with their runs, or brings them back.
void SetAway(fleet_simulation& aFleet, int aCount, bool aAway)
{
  for (int i = 0; i < aCount; ++i) {
    aFleet.SetListed(i, !aAway);
    aFleet.SetPartitioned(i, aAway);
    if (aAway) {
      aFleet.Worker(i).Crash(aFleet.Now());
    }
  }
}

// Lets the first two workers go down and up every 1.4 s.
void FlapOnce(fleet_simulation& aFleet)
{
  SetAway(aFleet, 2, true);
  aFleet.Run(milliseconds(1'400));
  SetAway(aFleet, 2, false);
  aFleet.Run(milliseconds(300));
}

} // namespace

// Load: gangs of three workers arrive one after the other on eight workers, two of which go down
// and up every 1.4 s. Guards against gangs that are lost again and again with a worker that flaps
// while others are free. The flapping workers have the lowest ids, so they would come first.
BW_STORY("two workers flap while gangs arrive")
{
  work_options options;
  const auto run = [&] {
    fleet_simulation fleet(8, 1, options);
    fleet.Run(milliseconds(200));
    for (int i = 0; i < 2; ++i) {
      FlapOnce(fleet);
      fleet.Run(milliseconds(1'100));
    }
    for (int i = 0; i < 6; ++i) {
      FlapOnce(fleet);
      fleet.Submit(Gang(fmt::format("g{}", i), "batch", 3, 8), milliseconds(4'000));
      fleet.Run(milliseconds(1'100));
    }
    fleet.Run(milliseconds(4'000));
    int starts = 0;
    for (int i = 0; i < 6; ++i) {
      starts += fleet.Starts(fmt::format("g{}", i));
    }
    BW_CHECK(fleet.mViolations.empty());
    return std::pair(starts, fleet.Events(work_event_kind::kWorkerFlaps, 0));
  };
  BW_SECTION("each gang starts once")
  {
    BW_CHECK(std::pair(18, 1) == run());
  }
  BW_SECTION("without the part, gangs are lost and started again")
  {
    options.mParts.mWorkerRates = false;
    const auto [starts, events] = run();
    BW_CHECK(starts > 18);
    BW_EQUAL(0, events);
  }
}

// Load: one gang or step on eight idle workers, two of which were away. Guards against holding back
// work because of it, and against using a worker that flaps while another is free.
BW_STORY("two workers were away")
{
  fleet_simulation fleet(8, 1);
  fleet.Run(milliseconds(200));
  FlapOnce(fleet);

  BW_SECTION("a gang does not use them for 5 s, other work does")
  {
    fleet.Submit(Gang("gang", "batch", 4, 8));
    fleet.Run(milliseconds(300));
    BW_EQUAL(0, StartsOnFirst(fleet, 2));
    fleet.Submit(Job("single", "batch", { Step(1, 8) }));
    fleet.Run(milliseconds(300));
    BW_EQUAL(1, StartsOnFirst(fleet, 2));
    fleet.Run(milliseconds(4'500));
    fleet.Submit(Gang("later", "batch", 4, 8));
    fleet.Run(milliseconds(300));
    BW_EQUAL(3, StartsOnFirst(fleet, 2));
  }
  BW_SECTION("a gang that needs them starts at once")
  {
    fleet.Submit(Gang("gang", "batch", 8, 8));
    fleet.Run(milliseconds(300));
    BW_EQUAL(8, fleet.LiveRuns("gang"));
  }
  BW_SECTION("after a second absence they are used last for all work, until 10 s have passed")
  {
    FlapOnce(fleet);
    fleet.Submit(Job("single", "batch", { Step(6, 8) }));
    fleet.Run(milliseconds(300));
    BW_EQUAL(0, StartsOnFirst(fleet, 2));
    fleet.Submit(Job("more", "batch", { Step(1, 8) }));
    fleet.Run(milliseconds(300));
    BW_EQUAL(1, StartsOnFirst(fleet, 2));
    fleet.Run(milliseconds(10'000));
    fleet.Submit(Job("later", "batch", { Step(1, 8) }));
    fleet.Run(milliseconds(300));
    BW_EQUAL(2, StartsOnFirst(fleet, 2));
  }
  BW_CHECK(fleet.mViolations.empty());
}
