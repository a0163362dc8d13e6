#include "testing/fleet_simulation.h"
#include "testing/sample_jobs.h"

#include "briarwind/testing.h"

using namespace briarwind;
using namespace briarwind::testing;

// Guards the basic promises of the scheduler on eight workers under one leader: step order, storing
// before ordering, gangs, preemption, retries, cancellation, placement constraints and stalled
// workers.
BW_STORY("one leader schedules jobs on its workers")
{
  fleet_simulation fleet(8, 1);
  fleet.Run(milliseconds(200));
  BW_EQUAL(8, fleet.Core().Counts().mReachableWorkers);

  BW_SECTION("a job of two steps runs them in their order")
  {
    work_step second = Step(2, 1);
    second.mAfter = { 0 };
    fleet.Submit(Job("a", "batch", { Step(3, 1), second }));
    fleet.Run(milliseconds(4'000));
    BW_CHECK(fleet.StoredState("a") == work_state::kCompleted);
    BW_EQUAL(5, fleet.Starts("a"));
  }
  BW_SECTION("a start order is sent only after its placement is stored")
  {
    fleet.mFaults.mWriteTime = milliseconds(500);
    fleet.Submit(Job("a", "batch", { Step(1, 1) }));
    fleet.Run(milliseconds(400));
    BW_EQUAL(0, fleet.Starts("a"));
    fleet.Run(milliseconds(300));
    BW_EQUAL(1, fleet.Starts("a"));
  }
  BW_SECTION("a gang starts all at once or not at all")
  {
    fleet.Submit(Gang("a", "batch", 8, 8));
    fleet.Run(milliseconds(100));
    BW_EQUAL(8, fleet.LiveRuns("a"));
    fleet.Submit(Gang("b", "batch", 2, 8));
    fleet.Run(milliseconds(300));
    BW_EQUAL(0, fleet.LiveRuns("b"));
  }
  BW_SECTION("batch work is preempted for an urgent gang within 600 ms")
  {
    fleet.Submit(Job("a", "batch", { Step(8, 8) }), milliseconds(60'000));
    fleet.Run(milliseconds(300));
    BW_EQUAL(8, fleet.LiveRuns("a"));
    fleet.Submit(Gang("b", "urgent", 2, 8));
    fleet.Run(milliseconds(600));
    BW_EQUAL(2, fleet.LiveRuns("b"));
    BW_EQUAL(6, fleet.LiveRuns("a"));
  }
  BW_SECTION("one young gang is preempted for urgent work rather than many single tasks")
  {
    fleet.Submit(Job("single", "batch", { Step(4, 8) }), milliseconds(60'000));
    fleet.Run(milliseconds(1'500));
    fleet.Submit(Gang("gang", "batch", 4, 8), milliseconds(60'000));
    fleet.Run(milliseconds(700));
    // Preempting one single task would lose less work than preempting the gang; preempting all of
    // them would lose more.
    fleet.Submit(Gang("b", "urgent", 4, 8), milliseconds(3'000));
    fleet.Run(milliseconds(600));
    BW_EQUAL(4, fleet.LiveRuns("b"));
    BW_EQUAL(4, fleet.LiveRuns("single"));
    BW_EQUAL(0, fleet.LiveRuns("gang"));
  }
  BW_SECTION("urgent work is never preempted for other work")
  {
    fleet.Submit(Job("a", "urgent", { Step(8, 8) }), milliseconds(60'000));
    fleet.Run(milliseconds(300));
    fleet.Submit(Gang("b", "urgent", 2, 8));
    fleet.Submit(Gang("c", "batch", 2, 8));
    fleet.Run(milliseconds(2'000));
    BW_EQUAL(8, fleet.LiveRuns("a"));
  }
  BW_SECTION("a job fails after the attempts of its queue and not before")
  {
    fleet.mFailingJobs.insert("a");
    fleet.Submit(Job("a", "batch", { Step(1, 1) }), milliseconds(200));
    fleet.Run(milliseconds(20'000));
    BW_CHECK(fleet.StoredState("a") == work_state::kFailed);
    BW_EQUAL(3, fleet.Starts("a"));
  }
  BW_SECTION("a cancelled job is stopped and none of its tasks starts again")
  {
    fleet.Submit(Job("a", "batch", { Step(4, 1) }), milliseconds(60'000));
    fleet.Run(milliseconds(300));
    fleet.Cancel("a");
    fleet.Run(milliseconds(500));
    BW_EQUAL(0, fleet.LiveRuns("a"));
    BW_EQUAL(4, fleet.Starts("a"));
    BW_CHECK(fleet.StoredState("a") == work_state::kCancelled);
  }
  BW_SECTION("a step's limit of tasks per worker is kept")
  {
    work_step apart = Step(8, 1);
    apart.mPerWorkerLimit = 1;
    fleet.Submit(Job("a", "batch", { apart }));
    fleet.Run(milliseconds(3'000));
    BW_CHECK(fleet.StoredState("a") == work_state::kCompleted);
  }
  BW_SECTION("nothing is placed on a withdrawn failure domain")
  {
    work_settings settings;
    settings.mQueues["batch"] = { "pool", 1, 3, 3, milliseconds(1'000) };
    settings.mWithdrawnDomains = { "d1" };
    fleet.SetSettings(settings);
    fleet.Submit(Job("a", "batch", { Step(8, 8) }), milliseconds(60'000));
    fleet.Run(milliseconds(1'000));
    BW_EQUAL(4, fleet.LiveRuns("a"));
  }
  BW_SECTION("the occurrences of a timed job run, none before it is due")
  {
    work_job job = Job("a", "batch", { Step(1, 1) });
    job.mOccurrences = 3;
    job.mFirstDue = calendar_time(std::chrono::duration_cast<milliseconds>(
      fleet.Now().time_since_epoch() + milliseconds(1'000)));
    job.mInterval = milliseconds(500);
    fleet.Submit(job, milliseconds(800));
    fleet.Run(milliseconds(950));
    BW_EQUAL(0, fleet.Starts("a"));
    fleet.Run(milliseconds(1'200));
    BW_EQUAL(3, fleet.Starts("a"));
    fleet.Run(milliseconds(1'500));
    BW_CHECK(fleet.StoredState("a") == work_state::kCompleted);
  }
  BW_SECTION("no run is stopped because the answer to its start order was lost")
  {
    fleet.mFaults.mLostAnswer = 1;
    fleet.Submit(Gang("a", "batch", 4, 1));
    fleet.Run(milliseconds(50));
    fleet.mFaults = {};
    fleet.Run(milliseconds(2'000));
    BW_EQUAL(4, fleet.Starts("a"));
    BW_CHECK(fleet.StoredState("a") == work_state::kCompleted);
  }
  BW_SECTION("steps of a queue that asks for advice run only on workers that the advisor approves")
  {
    work_settings settings;
    settings.mQueues["advised"] = { "pool", 1, 3, 3, milliseconds(1'000), true };
    fleet.SetSettings(settings);
    fleet.mApprovedWorkers = { "w02", "w05" };
    fleet.Submit(Job("a", "advised", { Step(4, 8) }), milliseconds(500));
    fleet.Run(milliseconds(3'000));
    BW_CHECK(fleet.StoredState("a") == work_state::kCompleted);
    BW_EQUAL(4, fleet.Starts("a"));
    BW_EQUAL(1, fleet.mAdviceRequests);
    for (int i = 0; i < fleet.WorkerCount(); ++i) {
      const bool advised = fleet.mApprovedWorkers.contains(fleet.Worker(i).mInfo.mId);
      BW_CHECK(advised || fleet.Worker(i).mStarted == 0);
    }
  }
  BW_SECTION("a long-running task is restarted whenever it ends, even if the pool is full")
  {
    work_step lasting = Step(1, 8);
    lasting.mLongRunning = true;
    fleet.Submit(Job("a", "batch", { lasting }), milliseconds(1'000));
    fleet.Run(milliseconds(100));
    fleet.Submit(Job("b", "batch", { Step(10, 8) }), milliseconds(30'000));
    fleet.Run(milliseconds(5'000));
    BW_CHECK(fleet.Starts("a") >= 3);
    BW_CHECK(!IsFinal(fleet.StoredState("a")));
    fleet.Cancel("a");
    fleet.Run(milliseconds(1'000));
    BW_CHECK(fleet.StoredState("a") == work_state::kCancelled);
  }
  BW_SECTION("a long-running task is never preempted, not even when it is the youngest run")
  {
    work_step lasting = Step(1, 8);
    lasting.mLongRunning = true;
    fleet.Submit(Job("b", "batch", { Step(7, 8) }), milliseconds(30'000));
    fleet.Run(milliseconds(500));
    fleet.Submit(Job("a", "batch", { lasting }), milliseconds(30'000));
    fleet.Run(milliseconds(500));
    fleet.Submit(Gang("c", "urgent", 2, 8), milliseconds(30'000));
    fleet.Run(milliseconds(1'000));
    BW_EQUAL(1, fleet.Starts("a"));
    BW_EQUAL(2, fleet.LiveRuns("c"));
  }
  BW_SECTION("a task whose worker stalls is restarted on another worker")
  {
    fleet.Submit(Job("a", "batch", { Step(1, 1) }), milliseconds(5'000));
    fleet.Run(milliseconds(500));
    for (int i = 0; i < fleet.WorkerCount(); ++i) {
      fleet.Worker(i).mStalled = !fleet.Worker(i).mRuns.empty();
    }
    fleet.Run(milliseconds(15'000));
    BW_CHECK(fleet.StoredState("a") == work_state::kCompleted);
    BW_EQUAL(2, fleet.Starts("a"));
  }
  BW_CHECK(fleet.mViolations.empty());
}

// Guards against a gang's failed run that is counted twice, or not at all, because the next leader
// cannot read from the record which runs were counted.
BW_STORY("the runs of a gang fail while leaders change")
{
  constexpr int kMembers = 2;
  constexpr int kAttempts = 3; // of the simulation's queue
  fleet_simulation fleet(8, 4);
  fleet.mFailingJobs.insert("a");
  fleet.Run(milliseconds(200));
  const auto runUntil = [&](const auto& aCondition) {
    for (int i = 0; i < 2'000 && !aCondition(); ++i) {
      fleet.Run(milliseconds(10));
    }
    return aCondition();
  };
  const auto runsStarted = [&](int aRuns) {
    return runUntil([&] { return fleet.Starts("a") == aRuns * kMembers; });
  };

  const auto workerOf = [&](int aMember) {
    for (int i = 0; i < fleet.WorkerCount(); ++i) {
      const auto& runs = fleet.Worker(i).mRuns;
      if (!runs.empty() && runs.begin()->first.mTask.mIndex == aMember) {
        return i;
      }
    }
    return -1;
  };

  BW_SECTION("a run whose members' ends are read by two leaders counts once")
  {
    fleet.Submit(Gang("a", "batch", kMembers, 8), milliseconds(2'000));
    BW_CHECK(runsStarted(1));
    const int unreachable = workerOf(1);
    fleet.Run(milliseconds(500));
    fleet.SetPartitioned(unreachable, true);
    fleet.Run(milliseconds(2'500));
    BW_EQUAL(1, fleet.Core().Counts().mLiveRuns);
    fleet.ChangeLeader();
    fleet.Run(milliseconds(1'000));
    fleet.SetPartitioned(unreachable, false);
    BW_CHECK(runsStarted(2));
    BW_CHECK(runsStarted(3));
    BW_CHECK(runUntil([&] { return fleet.StoredState("a") == work_state::kFailed; }));
  }
  BW_SECTION("the members that are left are stopped by the next leader as well")
  {
    // The stop order of the first leader does not reach the worker of the second member.
    fleet.mFailingJobs.clear();
    fleet.Submit(Gang("a", "batch", kMembers, 8), milliseconds(12'000));
    BW_CHECK(runsStarted(1));
    fleet.Worker(workerOf(0)).mRuns.begin()->second.mFails = true; // at half its run time
    const int unreachable = workerOf(1);
    fleet.Run(milliseconds(5'500));
    fleet.SetPartitioned(unreachable, true);
    fleet.Run(milliseconds(1'000));
    BW_EQUAL(1, fleet.LiveRuns("a"));
    fleet.ChangeLeader();
    fleet.Run(milliseconds(500));
    fleet.SetPartitioned(unreachable, false);
    fleet.Run(milliseconds(1'500));
    BW_EQUAL(2 * kMembers, fleet.Starts("a"));
    BW_CHECK(runUntil([&] { return fleet.StoredState("a") == work_state::kCompleted; }));
  }
  BW_SECTION("runs that were counted by different leaders are added up")
  {
    fleet.Submit(Gang("a", "batch", kMembers, 8), milliseconds(500));
    for (int i = 1; i <= kAttempts; ++i) {
      BW_CHECK(runsStarted(i));
      // The failure of each run is first reported by another member.
      const int unreachable = workerOf(i % kMembers);
      fleet.SetPartitioned(unreachable, true);
      fleet.Run(milliseconds(1'500));
      fleet.SetPartitioned(unreachable, false);
      if (i < kAttempts) {
        BW_CHECK(runsStarted(i + 1));
        fleet.ChangeLeader();
      }
    }
    BW_CHECK(runUntil([&] { return fleet.StoredState("a") == work_state::kFailed; }));
    fleet.Run(milliseconds(3'000));
    BW_EQUAL(kAttempts * kMembers, fleet.Starts("a"));
  }
  BW_CHECK(fleet.mViolations.empty());
}

// Guards against a second run of a task while its first may still be running on a worker that does
// not answer, and against waiting longer than needed once the worker has restarted.
BW_STORY("a worker stops answering while it runs tasks")
{
  fleet_simulation fleet(2, 2);
  fleet.Run(milliseconds(200));
  fleet.Submit(Job("a", "batch", { Step(2, 8) }), milliseconds(30'000));
  fleet.Run(milliseconds(300));
  BW_EQUAL(2, fleet.LiveRuns("a"));

  BW_SECTION("the worker's tasks are not restarted before its leases have expired")
  {
    fleet.SetPartitioned(0, true);
    fleet.Run(milliseconds(9'000));
    BW_EQUAL(2, fleet.Starts("a"));
    fleet.SetPartitioned(0, false);
    fleet.Run(milliseconds(1'000));
    BW_EQUAL(2, fleet.Starts("a"));
    BW_EQUAL(2, fleet.LiveRuns("a"));
  }
  BW_SECTION("the worker's tasks are restarted at once when it has restarted")
  {
    fleet.Worker(0).Crash(fleet.Now());
    fleet.Run(milliseconds(500));
    BW_EQUAL(3, fleet.Starts("a"));
    BW_EQUAL(2, fleet.LiveRuns("a"));
  }
  BW_SECTION(
    "a new leader does not restart the worker's tasks before the leases have expired either")
  {
    fleet.SetPartitioned(0, true);
    fleet.SetListed(0, false);
    fleet.Run(milliseconds(500));
    fleet.ChangeLeader();
    fleet.Run(milliseconds(9'000));
    BW_EQUAL(2, fleet.Starts("a"));
  }
  BW_SECTION("the worker receives no second run while the stop order of its first is unanswered")
  {
    fleet.SetPartitioned(0, true);
    fleet.Cancel("a");
    fleet.Submit(Job("b", "batch", { Step(2, 8) }), milliseconds(30'000));
    fleet.Run(milliseconds(3'000));
    BW_EQUAL(1, fleet.Starts("b"));
    fleet.SetPartitioned(0, false);
    fleet.Run(milliseconds(1'500));
    BW_EQUAL(2, fleet.Starts("b"));
  }
  BW_CHECK(fleet.mViolations.empty());
}

// Guards against duplicate starts and lost ends when another host takes over with only the stored
// records, while the former leader acts for a while longer.
BW_STORY("another host becomes leader while tasks run")
{
  fleet_simulation fleet(4, 3);
  fleet.Run(milliseconds(200));
  fleet.Submit(Job("a", "batch", { Step(4, 4) }), milliseconds(3'000));
  fleet.Run(milliseconds(500));

  BW_SECTION("running tasks continue without a new start")
  {
    fleet.ChangeLeader();
    fleet.Run(milliseconds(4'000));
    BW_EQUAL(4, fleet.Starts("a"));
    BW_CHECK(fleet.StoredState("a") == work_state::kCompleted);
  }
  BW_SECTION("no order is sent for a placement whose record was not stored")
  {
    fleet.mFaults.mWriteTime = milliseconds(300);
    fleet.Submit(Job("b", "batch", { Step(1, 1) }));
    fleet.Run(milliseconds(100));
    fleet.ChangeLeader();
    fleet.Run(milliseconds(5'000));
    BW_EQUAL(1, fleet.Starts("b"));
  }
  BW_SECTION("no end is acknowledged before it is stored")
  {
    // Found by a randomised search: the store did not answer, and during that time the workers
    // disappeared from the registry for a moment.
    fleet.mFaults.mWriteTime = milliseconds(5'000);
    fleet.Run(milliseconds(3'000));
    BW_EQUAL(0, fleet.LiveRuns("a"));
    for (int i = 0; i < fleet.WorkerCount(); ++i) {
      fleet.SetListed(i, false);
    }
    fleet.Run(milliseconds(200));
    for (int i = 0; i < fleet.WorkerCount(); ++i) {
      fleet.SetListed(i, true);
    }
    fleet.Run(milliseconds(500));
    fleet.mFaults = {};
    fleet.ChangeLeader();
    fleet.Run(milliseconds(5'000));
    BW_EQUAL(4, fleet.Starts("a"));
  }
  BW_SECTION("a task whose stored start order was never carried out is started again")
  {
    fleet.mFaults.mDelayedOrder = 1;
    fleet.Submit(Job("b", "batch", { Step(1, 1) }));
    fleet.Run(milliseconds(50));
    fleet.mFaults.mDelayedOrder = 0;
    fleet.ChangeLeader();
    fleet.Run(milliseconds(20'000));
    BW_CHECK(fleet.StoredState("b") == work_state::kCompleted);
    BW_EQUAL(1, fleet.Starts("b"));
  }
  BW_CHECK(fleet.mViolations.empty());
}
