#include "testing/fleet_simulation.h"
#include "testing/sample_jobs.h"

#include "briarwind/testing.h"

#include <fmt/format.h>

using namespace briarwind;
using namespace briarwind::testing;

namespace {

// Within this time of its acceptance a guaranteed job has to run.
constexpr milliseconds kClaimBound{ 2'700 };

work_job Lasting(const std::string& aId, const std::string& aQueue, int aTasks, int aMaxUnavailable)
{
  work_step step = Step(aTasks, 8);
  step.mLongRunning = true;
  step.mMaxUnavailable = aMaxUnavailable;
  return Job(aId, aQueue, { step });
}

work_job Claim(const std::string& aId, int aTasks)
{
  work_job job = Job(aId, "urgent", { Step(aTasks, 8) });
  job.mOrganisation = "o2";
  return job;
}

} // namespace

// Guards against guaranteed jobs that wait without end because other organisations' work, of
// whatever kind and priority, holds all accelerators. Load: six workers, all of them full.
BW_STORY("a job within its organisation's guarantee needs accelerators that others hold")
{
  constexpr milliseconds kForever{ 3'600'000 };
  constexpr milliseconds kLong{ 60'000 };
  work_options options;
  fleet_simulation fleet(6, 1, options);
  work_settings settings;
  settings.mQueues["urgent"] = { "pool", 0, 3, 1.5, milliseconds(250) };
  settings.mQueues["batch"] = { "pool", 2, 3, 3, milliseconds(1'000) };
  settings.mGuaranteedAccelerators = { { "o1", 8 }, { "o2", 16 } };
  fleet.SetSettings(settings);
  fleet.Run(milliseconds(200));

  BW_SECTION("long-running steps give up as many tasks as may be unavailable, and get them back")
  {
    for (int i = 0; i < 3; ++i) {
      fleet.Submit(Lasting(fmt::format("a{}", i), "batch", 2, 1), kForever);
    }
    fleet.Run(milliseconds(6'000));
    fleet.Submit(Claim("b", 2), milliseconds(2'500));
    fleet.Run(kClaimBound);
    BW_EQUAL(2, fleet.LiveRuns("b"));
    for (int i = 0; i < 3; ++i) {
      BW_CHECK(fleet.LiveRuns(fmt::format("a{}", i)) >= 1);
    }
    fleet.Run(milliseconds(2'500));
    BW_CHECK(fleet.StoredState("b") == work_state::kCompleted);
    for (int i = 0; i < 3; ++i) {
      BW_EQUAL(2, fleet.LiveRuns(fmt::format("a{}", i)));
    }
  }
  BW_SECTION(
    "a step whose tasks may not be unavailable loses none; the job starts when there is room")
  {
    fleet.Submit(Lasting("a0", "batch", 4, 0), kForever);
    fleet.Submit(Lasting("a1", "batch", 2, 1), kForever);
    fleet.Run(milliseconds(2'000));
    fleet.Submit(Claim("b", 2), milliseconds(2'500));
    fleet.Run(milliseconds(2'000));
    BW_EQUAL(4, fleet.LiveRuns("a0"));
    BW_EQUAL(1, fleet.LiveRuns("a1"));
    BW_EQUAL(1, fleet.LiveRuns("b"));
    fleet.Run(milliseconds(6'000));
    BW_CHECK(fleet.StoredState("b") == work_state::kCompleted);
    BW_EQUAL(4, fleet.Starts("a0"));
    BW_EQUAL(2, fleet.LiveRuns("a1"));
  }
  BW_SECTION("tasks that are not at work for another reason count as unavailable")
  {
    fleet.mStartup = milliseconds(4'000);
    fleet.Submit(Lasting("a", "batch", 6, 2), kForever);
    fleet.Run(milliseconds(6'000));
    fleet.Worker(5).mRuns.begin()->second.mFails = true;
    fleet.Worker(5).mRuns.begin()->second.mLeft = kForever / 2;
    fleet.Run(milliseconds(1'500)); // the failed task is in its startup again
    BW_EQUAL(6, fleet.LiveRuns("a"));
    fleet.Submit(Claim("b", 2), milliseconds(2'500));
    int least = 6;
    for (int i = 0; i < 20; ++i) {
      fleet.Run(milliseconds(100));
      int atWork = 0;
      for (int worker = 0; worker < fleet.WorkerCount(); ++worker) {
        for (const auto& [id, run] : fleet.Worker(worker).mRuns) {
          const bool started = run.mTotal - run.mLeft >= run.mStartup && !run.mStopping;
          atWork += id.mTask.mJob == "a" && started ? 1 : 0;
        }
      }
      least = std::min(least, atWork);
    }
    BW_EQUAL(4, least);
  }
  BW_SECTION("urgent work beyond its guarantee is stopped, urgent work within its guarantee is not")
  {
    fleet.Submit(Job("within", "urgent", { Step(1, 8) }), kLong);
    fleet.Run(milliseconds(100));
    fleet.Submit(Job("beyond", "urgent", { Step(5, 8) }), kLong);
    fleet.Run(milliseconds(1'000));
    BW_EQUAL(5, fleet.LiveRuns("beyond"));
    fleet.Submit(Claim("b", 2), kLong);
    fleet.Run(kClaimBound);
    BW_EQUAL(2, fleet.LiveRuns("b"));
    BW_EQUAL(3, fleet.LiveRuns("beyond"));
    BW_EQUAL(1, fleet.Starts("within"));
  }
  BW_SECTION("work of lower priority is stopped rather than urgent or long-running work")
  {
    fleet.Submit(Job("beyond", "urgent", { Step(2, 8) }), kLong);
    fleet.Submit(Lasting("lasting", "batch", 2, 2), kForever);
    fleet.Submit(Job("batch", "batch", { Step(2, 8) }), kLong);
    fleet.Run(milliseconds(2'000));
    fleet.Submit(Claim("b", 2), kLong);
    fleet.Run(kClaimBound);
    BW_EQUAL(2, fleet.LiveRuns("b"));
    BW_EQUAL(2, fleet.LiveRuns("beyond"));
    BW_EQUAL(2, fleet.LiveRuns("lasting"));
  }
  BW_SECTION("a new leader lets the same jobs keep their guarantee")
  {
    // Of two jobs of o2 that need 16 accelerators each, the one accepted first is guaranteed.
    fleet.Submit(Claim("z", 2), kLong);
    fleet.Run(milliseconds(1'000));
    fleet.Submit(Lasting("a", "batch", 4, 0), kForever);
    fleet.Run(milliseconds(1'000));
    fleet.Submit(Claim("c", 2), kLong);
    fleet.ChangeLeader();
    fleet.Run(milliseconds(4'000));
    BW_EQUAL(2, fleet.Starts("z"));
    BW_EQUAL(2, fleet.LiveRuns("z"));
  }
  BW_CHECK(fleet.mViolations.empty());
}
