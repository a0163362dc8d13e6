#include "testing/fleet_simulation.h"
#include "testing/sample_jobs.h"

#include "briarwind/testing.h"

using namespace briarwind;
using namespace briarwind::testing;

// Guards against waiting for the leases of a worker that was removed after short notice: its runs
// are cut off with it and it answers no more polls, so nothing reports their end.
BW_STORY("a worker is removed at short notice")
{
  fleet_simulation fleet(4, 1);
  fleet.Run(milliseconds(200));
  work_step step = Step(4, 8);
  step.mEstimate = milliseconds(4'000);
  fleet.Submit(Job("a", "batch", { step }), milliseconds(4'000));
  fleet.Run(milliseconds(1'000));
  BW_EQUAL(4, fleet.LiveRuns("a"));
  const auto notice = [&](milliseconds aLeft) {
    fleet.Worker(0).mInfo.mLeaving = true;
    fleet.Worker(0).mInfo.mTimeUntilRemoval = aLeft;
  };
  const auto takeAway = [&] {
    fleet.SetPartitioned(0, true);
    fleet.SetListed(0, false);
    fleet.Worker(0).Crash(fleet.Now());
  };

  BW_SECTION(
    "runs that cannot end in time are stopped, so that their tasks need not wait for the leases")
  {
    notice(milliseconds(1'600));
    fleet.Run(milliseconds(1'600));
    takeAway();
    fleet.Run(milliseconds(6'500));
    BW_CHECK(fleet.StoredState("a") == work_state::kCompleted);
    BW_EQUAL(5, fleet.Starts("a"));
    BW_CHECK(fleet.mViolations.empty());
  }
  BW_SECTION("runs that will end in time continue")
  {
    fleet.Run(milliseconds(1'500));
    notice(milliseconds(2'600));
    fleet.Run(milliseconds(2'600));
    takeAway();
    fleet.Run(milliseconds(1'000));
    BW_CHECK(fleet.StoredState("a") == work_state::kCompleted);
    BW_EQUAL(4, fleet.Starts("a"));
  }
}
