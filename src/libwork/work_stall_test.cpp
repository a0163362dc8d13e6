#include "testing/fleet_simulation.h"
#include "testing/sample_jobs.h"

#include "briarwind/testing.h"

using namespace briarwind;
using namespace briarwind::testing;

// Guards against stopping runs as stalled because one percent of them takes longer than a fixed
// time, and against a quarantine of the healthy workers that run them. Load: four workers, half of
// their accelerators in use.
BW_STORY("healthy workers run tasks of minutes and hours")
{
  fleet_simulation fleet(4, 1);
  fleet.Run(milliseconds(200));
  work_step step = Step(2, 8);
  const auto isFree = [&] {
    fleet.Submit(Gang("free", "batch", 2, 8), milliseconds(300));
    fleet.Run(milliseconds(800));
    return fleet.StoredState("free") == work_state::kCompleted;
  };

  BW_SECTION("a task whose declared length is right is started once")
  {
    step.mEstimate = milliseconds(600'000);
    fleet.Submit(Job("a", "batch", { step }), step.mEstimate);
    fleet.Run(milliseconds(60'000));
    BW_EQUAL(2, fleet.Starts("a"));
    BW_CHECK(isFree());
  }
  BW_SECTION("a task away from its data, declared 20 times too short, is started once")
  {
    step.mEstimate = milliseconds(3'800);
    step.mDataRack = "r9";
    fleet.Submit(Job("a", "batch", { step }), milliseconds(76'000 * 3));
    fleet.Run(milliseconds(60'000));
    BW_EQUAL(2, fleet.Starts("a"));
    BW_CHECK(isFree());
  }
  BW_SECTION("long tasks run on after a change of leader")
  {
    step.mEstimate = milliseconds(600'000);
    fleet.Submit(Job("a", "batch", { step }), step.mEstimate);
    fleet.Run(milliseconds(30'000));
    fleet.ChangeLeader();
    fleet.Run(milliseconds(30'000));
    BW_EQUAL(2, fleet.Starts("a"));
    BW_CHECK(isFree());
  }
  BW_SECTION("a task without a declared length is given more time with each start, and ends")
  {
    step.mEstimate = milliseconds(0);
    fleet.Submit(Job("a", "batch", { step }), milliseconds(600'000)); // 6 s for one percent
    fleet.Run(milliseconds(60'000));
    const int starts = fleet.Starts("a");
    BW_CHECK(starts <= 6);
    fleet.Run(milliseconds(40'000));
    BW_EQUAL(starts, fleet.Starts("a"));
    BW_CHECK(isFree());
  }
  BW_SECTION("a run that had a pace and loses it is stopped, and its worker gets no new runs")
  {
    work_step spread = Step(4, 2);
    spread.mPerWorkerLimit = 1;
    spread.mEstimate = milliseconds(100'000);
    fleet.Submit(Job("a", "batch", { spread }), spread.mEstimate);
    fleet.Run(milliseconds(10'000));
    fleet.Worker(0).mStalled = true;
    // A percent takes 1 s, so this is detected within 9 s.
    for (int i = 0; i < 93 && !fleet.Worker(0).mRuns.empty(); ++i) {
      fleet.Run(milliseconds(100));
    }
    BW_CHECK(fleet.Worker(0).mRuns.empty());
    BW_EQUAL(4, fleet.Starts("a"));
    fleet.Submit(Gang("b", "batch", 3, 4), milliseconds(300));
    fleet.Run(milliseconds(500));
    BW_EQUAL(1, fleet.Worker(0).mStarted);
  }
  BW_CHECK(fleet.mViolations.empty());
}
