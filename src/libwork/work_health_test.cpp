#include "testing/fleet_simulation.h"
#include "testing/sample_jobs.h"

#include "briarwind/testing.h"

#include <fmt/format.h>

using namespace briarwind;
using namespace briarwind::testing;

BW_STORY("a worker that fails all it starts")
{
  fleet_simulation fleet(4, 1);
  fleet.Run(milliseconds(200));
  fleet.Worker(0).mFailsAll = true;

  BW_SECTION("gets no gang that could wait a moment for another worker")
  {
    fleet.Submit(Job("a", "batch", { Step(4, 8) }), milliseconds(300));
    fleet.Run(milliseconds(1'600));
    BW_EQUAL(1, fleet.Worker(0).mStarted);
    fleet.Submit(Gang("b", "batch", 2, 8), milliseconds(500));
    fleet.Submit(Gang("c", "batch", 2, 8), milliseconds(500));
    fleet.Run(milliseconds(2'000));
    BW_EQUAL(2, fleet.Starts("b"));
    BW_EQUAL(2, fleet.Starts("c"));
    BW_CHECK(fleet.AllOver());
  }
  BW_SECTION("is tried again with one run at a time")
  {
    fleet.Submit(Job("a", "batch", { Step(32, 1) }), milliseconds(500));
    fleet.Run(milliseconds(700));
    const int first = fleet.Worker(0).mStarted;
    fleet.Submit(Job("b", "batch", { Step(64, 1) }), milliseconds(500));
    fleet.Run(milliseconds(2'500));
    BW_CHECK(fleet.Worker(0).mStarted - first <= 2);
    fleet.Worker(0).mFailsAll = false;
    fleet.Run(milliseconds(10'000));
    BW_CHECK(fleet.AllOver());
  }
  BW_SECTION("is not met by a second run of a job while others have shown that they do well")
  {
    fleet.Worker(1).mFailsAll = true;
    fleet.Worker(3).mInfo.mLabels.emplace_back("sound");
    work_step first = Step(1, 1);
    first.mRequiredLabel = "sound";
    fleet.Submit(Job("first", "batch", { first }), milliseconds(400));
    fleet.Run(milliseconds(600));
    BW_CHECK(fleet.StoredState("first") == work_state::kCompleted);
    // Nothing is known of the second worker but that it is the next in order.
    fleet.Submit(Job("a", "batch", { Step(1, 8) }), milliseconds(400));
    fleet.Run(milliseconds(1'000));
    BW_CHECK(fleet.StoredState("a") == work_state::kCompleted);
    BW_EQUAL(1, fleet.Worker(0).mStarted);
    BW_EQUAL(0, fleet.Worker(1).mStarted);
  }
  BW_SECTION("is not shut out for a job that fails everywhere")
  {
    fleet.Worker(0).mFailsAll = false;
    fleet.mPoisoned.insert("a");
    fleet.Submit(Job("a", "batch", { Step(3, 8) }), milliseconds(100));
    fleet.Run(milliseconds(6'000));
    BW_CHECK(fleet.StoredState("a") == work_state::kFailed);
    // At worst a gang waits for a second and the next planning; nothing is remembered for long.
    fleet.Submit(Gang("b", "batch", 4, 8), milliseconds(500));
    fleet.Run(milliseconds(1'800));
    BW_CHECK(fleet.StoredState("b") == work_state::kCompleted);
    fleet.Submit(Gang("c", "batch", 4, 8), milliseconds(500));
    fleet.Run(milliseconds(700));
    BW_CHECK(fleet.StoredState("c") == work_state::kCompleted);
  }
  BW_CHECK(fleet.mBroken.empty());
}

BW_STORY("a worker that turns slow")
{
  fleet_simulation fleet(4, 1);
  fleet.Run(milliseconds(200));
  work_step spread = Step(4, 2);
  spread.mPerWorkerLimit = 1;
  fleet.Submit(Job("a", "batch", { spread }), milliseconds(6'000));
  fleet.Run(milliseconds(2'500));
  BW_EQUAL(std::size_t{ 1 }, fleet.Worker(0).mRuns.size());
  fleet.Worker(0).mSlowness = 5;
  fleet.Run(milliseconds(2'500));

  BW_SECTION("gets no new runs")
  {
    fleet.Submit(Gang("b", "urgent", 3, 4), milliseconds(1'000));
    fleet.Run(milliseconds(1'500));
    BW_CHECK(fleet.StoredState("b") == work_state::kCompleted);
    BW_EQUAL(1, fleet.Worker(0).mStarted);
  }
  BW_SECTION("is used again once its runs move on as before")
  {
    fleet.Worker(0).mSlowness = 1;
    fleet.Run(milliseconds(2'500));
    fleet.Submit(Gang("b", "batch", 4, 4), milliseconds(1'000));
    fleet.Run(milliseconds(1'500));
    BW_CHECK(fleet.StoredState("b") == work_state::kCompleted);
  }
  BW_CHECK(fleet.mBroken.empty());
}
