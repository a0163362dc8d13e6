#include "testing/fleet_simulation.h"
#include "testing/sample_jobs.h"

#include "briarwind/testing.h"

using namespace briarwind;
using namespace briarwind::testing;

BW_STORY("a worker that is taken away at short notice")
{
  // Its runs end with it, and nothing is heard of it any more.
  fleet_simulation fleet(4, 1);
  fleet.Run(milliseconds(200));
  work_step step = Step(4, 8);
  step.mEstimate = milliseconds(4'000);
  fleet.Submit(Job("a", "batch", { step }), milliseconds(4'000));
  fleet.Run(milliseconds(1'000));
  BW_EQUAL(4, fleet.LiveRuns("a"));
  const auto notice = [&](milliseconds aLeft) {
    fleet.Worker(0).mInfo.mLeaving = true;
    fleet.Worker(0).mInfo.mStaysFor = aLeft;
  };
  const auto takeAway = [&] {
    fleet.SetCut(0, true);
    fleet.SetListed(0, false);
    fleet.Worker(0).Crash(fleet.Now());
  };

  BW_SECTION("is emptied of what cannot end in time, so that nobody waits for its leases")
  {
    notice(milliseconds(1'600));
    fleet.Run(milliseconds(1'600));
    takeAway();
    fleet.Run(milliseconds(6'500));
    BW_CHECK(fleet.StoredState("a") == work_state::kCompleted);
    BW_EQUAL(5, fleet.Starts("a"));
    BW_CHECK(fleet.mBroken.empty());
  }
  BW_SECTION("goes on with what will end in time")
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
