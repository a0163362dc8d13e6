#include "testing/fleet_simulation.h"
#include "testing/sample_jobs.h"

#include "briarwind/testing.h"

#include <fmt/format.h>

using namespace briarwind;
using namespace briarwind::testing;

// Guards against a faulty worker that fails every run soon after its start: its capacity is free
// again at once, so that jobs would use up their attempts there.
BW_STORY("a worker fails all its runs")
{
  fleet_simulation fleet(4, 1);
  fleet.Run(milliseconds(200));
  fleet.Worker(0).mFailsAll = true;

  BW_SECTION("a gang waits for another worker rather than using the faulty one")
  {
    fleet.Submit(Job("a", "batch", { Step(4, 8) }), milliseconds(300));
    fleet.Run(milliseconds(1'600));
    BW_EQUAL(1, fleet.Worker(0).mStarted);
    fleet.Submit(Gang("b", "batch", 2, 8), milliseconds(500));
    fleet.Submit(Gang("c", "batch", 2, 8), milliseconds(500));
    fleet.Run(milliseconds(2'000));
    BW_EQUAL(2, fleet.Starts("b"));
    BW_EQUAL(2, fleet.Starts("c"));
    BW_CHECK(fleet.AllFinished());
  }
  BW_SECTION("the faulty worker is probed with one run at a time")
  {
    fleet.Submit(Job("a", "batch", { Step(32, 1) }), milliseconds(500));
    fleet.Run(milliseconds(700));
    const int first = fleet.Worker(0).mStarted;
    fleet.Submit(Job("b", "batch", { Step(64, 1) }), milliseconds(500));
    fleet.Run(milliseconds(2'500));
    BW_CHECK(fleet.Worker(0).mStarted - first <= 2);
    fleet.Worker(0).mFailsAll = false;
    fleet.Run(milliseconds(10'000));
    BW_CHECK(fleet.AllFinished());
  }
  BW_SECTION("the retry of a failed run goes to a worker that recently completed one")
  {
    fleet.Worker(1).mFailsAll = true;
    fleet.Worker(3).mInfo.mLabels.emplace_back("sound");
    work_step first = Step(1, 1);
    first.mRequiredLabel = "sound";
    fleet.Submit(Job("first", "batch", { first }), milliseconds(400));
    fleet.Run(milliseconds(600));
    BW_CHECK(fleet.StoredState("first") == work_state::kCompleted);
    // The second worker fails its runs too, but has had none yet: it would be chosen by its id.
    fleet.Submit(Job("a", "batch", { Step(1, 8) }), milliseconds(400));
    fleet.Run(milliseconds(1'000));
    BW_CHECK(fleet.StoredState("a") == work_state::kCompleted);
    BW_EQUAL(1, fleet.Worker(0).mStarted);
    BW_EQUAL(0, fleet.Worker(1).mStarted);
  }
  BW_SECTION("workers are not quarantined for long because of a job that fails everywhere")
  {
    fleet.Worker(0).mFailsAll = false;
    fleet.mFailingJobs.insert("a");
    fleet.Submit(Job("a", "batch", { Step(3, 8) }), milliseconds(100));
    fleet.Run(milliseconds(6'000));
    BW_CHECK(fleet.StoredState("a") == work_state::kFailed);
    // At worst a gang waits for the probe delay of a second and the next placement; no failure
    // counts for long.
    fleet.Submit(Gang("b", "batch", 4, 8), milliseconds(500));
    fleet.Run(milliseconds(1'800));
    BW_CHECK(fleet.StoredState("b") == work_state::kCompleted);
    fleet.Submit(Gang("c", "batch", 4, 8), milliseconds(500));
    fleet.Run(milliseconds(700));
    BW_CHECK(fleet.StoredState("c") == work_state::kCompleted);
  }
  BW_CHECK(fleet.mViolations.empty());
}

// Guards against placing new runs on a worker whose runs have slowed down to a fraction of their
// rate: such a worker fails nothing, so no quarantine would keep new runs away from it.
BW_STORY("a worker turns slow")
{
  fleet_simulation fleet(4, 1);
  fleet.Run(milliseconds(200));
  work_step spread = Step(4, 2);
  spread.mPerWorkerLimit = 1;
  fleet.Submit(Job("a", "batch", { spread }), milliseconds(6'000));
  fleet.Run(milliseconds(2'500));
  BW_EQUAL(std::size_t{ 1 }, fleet.Worker(0).mRuns.size());
  fleet.Worker(0).mSlowdown = 5;
  fleet.Run(milliseconds(2'500));

  BW_SECTION("the slow worker receives no new runs")
  {
    fleet.Submit(Gang("b", "urgent", 3, 4), milliseconds(1'000));
    fleet.Run(milliseconds(1'500));
    BW_CHECK(fleet.StoredState("b") == work_state::kCompleted);
    BW_EQUAL(1, fleet.Worker(0).mStarted);
  }
  BW_SECTION("the worker is used again once its runs progress as before")
  {
    fleet.Worker(0).mSlowdown = 1;
    fleet.Run(milliseconds(2'500));
    fleet.Submit(Gang("b", "batch", 4, 4), milliseconds(1'000));
    fleet.Run(milliseconds(1'500));
    BW_CHECK(fleet.StoredState("b") == work_state::kCompleted);
  }
  BW_CHECK(fleet.mViolations.empty());
}

// Guards against keeping new work away from healthy workers because of runs whose percentage does
// not show how fast the worker is.
BW_STORY("runs whose percentage says nothing about their worker do not make it avoided")
{
  fleet_simulation fleet(4, 1);
  fleet.Run(milliseconds(200));
  work_step spread = Step(4, 1);
  spread.mPerWorkerLimit = 1;
  const auto isFree = [&] {
    fleet.Submit(Gang("b", "batch", 4, 4), milliseconds(500));
    fleet.Run(milliseconds(900));
    return fleet.StoredState("b") == work_state::kCompleted;
  };

  BW_SECTION("long-running tasks that report a rising percentage during startup")
  {
    fleet.mStartup = milliseconds(1'500);
    spread.mLongRunning = true;
    fleet.Submit(Job("a", "batch", { spread }), milliseconds(3'600'000));
    fleet.Run(milliseconds(4'000));
    BW_CHECK(isFree());
  }
  BW_SECTION("long-running tasks that report 0, or nothing, during startup")
  {
    fleet.mStartup = milliseconds(700);
    for (int i = 0; i < fleet.WorkerCount(); ++i) {
      fleet.Worker(i).mShowsStartup = false;
    }
    spread.mLongRunning = true;
    fleet.Submit(Job("a", "batch", { spread }), milliseconds(3'600'000));
    fleet.Run(milliseconds(4'000));
    BW_CHECK(isFree());
  }
  BW_SECTION("runs that were just resumed from a checkpoint")
  {
    spread.mCheckpoints = true;
    fleet.Submit(Job("a", "batch", { spread }), milliseconds(15'000));
    fleet.Run(milliseconds(150));
    for (int i = 0; i < fleet.WorkerCount(); ++i) {
      for (auto& [id, run] : fleet.Worker(i).mRuns) {
        run.mFromPercent = 60;
        run.mRestore = milliseconds(600);
      }
    }
    // The next leader reads the runs from the record, as resumed ones.
    fleet.ChangeLeader();
    fleet.Run(milliseconds(3'500));
    BW_CHECK(isFree());
  }
  BW_CHECK(fleet.mViolations.empty());
}

// Guards against a job that waits as long as a slow run lasts, since the only worker with the label
// that it requires is avoided.
BW_STORY("the only worker with a label turns slow")
{
  fleet_simulation fleet(4, 1);
  fleet.Worker(0).mInfo.mLabels.emplace_back("large");
  fleet.Run(milliseconds(200));
  work_job first = Job("a", "batch", { Step(1, 1) });
  first.mSteps[0].mRequiredLabel = "large";
  fleet.Submit(first, milliseconds(20'000));
  fleet.Run(milliseconds(5'000));
  fleet.Worker(0).mSlowdown = 5;
  fleet.Run(milliseconds(3'000));
  BW_SECTION("work that requires the label starts there all the same")
  {
    work_job second = Job("b", "batch", { Step(1, 1) });
    second.mSteps[0].mRequiredLabel = "large";
    fleet.Submit(second, milliseconds(500));
    fleet.Run(milliseconds(500));
    BW_EQUAL(1, fleet.Starts("b"));
  }
}

// Guards against jobs that fail wherever they run and get all workers of a service quarantined, so
// that other jobs wait beside idle workers.
BW_STORY("jobs that always fail keep coming")
{
  fleet_simulation fleet(4, 1);
  work_settings settings = BatchSettings();
  settings.mQueues["batch"].mAttempts = 4;
  fleet.SetSettings(settings);
  fleet.Run(milliseconds(200));
  for (int i = 0; i < 6; ++i) {
    const std::string id = fmt::format("bad{}", i);
    fleet.mFailingJobs.insert(id);
    fleet.Submit(Job(id, "batch", { Step(2, 1) }), milliseconds(300));
    fleet.Run(milliseconds(300));
  }
  BW_SECTION("another job starts on a worker that is not restricted")
  {
    fleet.Submit(Job("good", "batch", { Step(2, 1) }), milliseconds(300));
    fleet.Run(milliseconds(500));
    BW_EQUAL(2, fleet.Starts("good"));
  }
  BW_SECTION("a gang does, too")
  {
    fleet.Submit(Gang("good", "batch", 8, 1), milliseconds(300));
    fleet.Run(milliseconds(500));
    BW_EQUAL(8, fleet.Starts("good"));
  }
}
