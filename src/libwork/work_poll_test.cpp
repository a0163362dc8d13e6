#include "briarwind/work_core.h"
#include "testing/sample_jobs.h"

#include "briarwind/testing.h"

#include <algorithm>
#include <optional>
#include <variant>

using namespace briarwind;
using namespace briarwind::testing;

// Guards against a task that waits for the whole long poll when the answer to its start order is
// lost: the poll in flight was sent before the order, so its answer cannot show what became of the
// order.
BW_STORY("a start order stays unanswered while a poll of its worker is in flight")
{
  work_core core;
  instant now = instant() + std::chrono::hours(1);
  const wall_time wall{ std::chrono::hours(1) };
  core.BeginTerm(5, now);
  core.SetSettings(BatchSettings(), now);
  core.SetWorkers({ Worker("w") }, now);
  worker_report idle;
  idle.mIncarnation = 1;
  core.OnReport("w", idle, now, now);
  core.AddJob({ Job("a", "batch", { Step(1, 1) }), false, {}, 0 }, now, wall);
  const auto nextStart = [&]() -> std::optional<start_run> {
    core.Decide(now, wall);
    for (const progress_write& each : core.TakeWrites(16)) {
      core.OnWritten(each.mJob, each.mExpected + 1, now);
    }
    for (const work_action& each : core.TakeActions()) {
      if (const auto* start = std::get_if<start_run>(&each)) {
        return *start;
      }
    }
    return std::nullopt;
  };
  const auto first = nextStart();
  BW_CHECK(first.has_value());
  const auto waiting = core.PlanPoll("w", now);
  BW_CHECK(waiting && waiting->mWait.count() > 0);
  BW_CHECK(!core.PlanSecondPoll("w", now));
  now += milliseconds(350);
  core.OnStarted(*first, start_outcome::kUnknown, now - milliseconds(350), now);

  BW_SECTION("one second poll is sent at once")
  {
    now += milliseconds(1);
    const auto second = core.PlanSecondPoll("w", now);
    BW_CHECK(second && second->mWait.count() == 0);
    BW_CHECK(!core.PlanSecondPoll("w", now));

    BW_SECTION("the task is started again within a few round trips")
    {
      core.OnReport("w", idle, now, now + milliseconds(1));
      const auto actions = core.TakeActions();
      const auto stop = std::ranges::find_if(
        actions, [](const auto& aAction) { return std::holds_alternative<stop_run>(aAction); });
      BW_CHECK(stop != actions.end());
      now += milliseconds(2);
      core.OnStopped(std::get<stop_run>(*stop), stop_outcome::kStopping, now, now);
      now += milliseconds(1);
      BW_CHECK(core.PlanSecondPoll("w", now).has_value());
      core.OnReport("w", idle, now, now + milliseconds(1));
      now += milliseconds(2);
      const auto again = nextStart();
      BW_CHECK(again && again->mRun.mRun > first->mRun.mRun);
    }
  }
  BW_SECTION("an answer to the earlier poll does not remove the run")
  {
    now += milliseconds(1);
    BW_CHECK(core.PlanSecondPoll("w", now).has_value());
    worker_report running = idle;
    running.mRunning.push_back({ first->mRun, {}, 3 });
    core.OnReport("w", running, now, now + milliseconds(1));
    core.OnReport("w", idle, now - milliseconds(351), now + milliseconds(2));
    BW_CHECK(!nextStart());
    BW_EQUAL(1, core.Counts().mLiveRuns);
  }
  BW_SECTION("an answer to the earlier poll that arrives after the end is ignored")
  {
    now += milliseconds(1);
    BW_CHECK(core.PlanSecondPoll("w", now).has_value());
    worker_report ended = idle;
    ended.mEnds.push_back({ 1, first->mRun, run_end::kDone, {} });
    core.OnReport("w", ended, now, now + milliseconds(1));
    static_cast<void>(core.TakeActions());
    worker_report running = idle;
    running.mRunning.push_back({ first->mRun, {}, 3 });
    core.OnReport("w", running, now - milliseconds(351), now + milliseconds(2));
    BW_CHECK(std::ranges::none_of(core.TakeActions(), [](const auto& aAction) {
      return std::holds_alternative<stop_run>(aAction);
    }));
  }
}

// Guards against leases that expire early while the store does not answer: a leader may extend
// leases only for a moment longer, and a poll in flight holds a lease only from its own start.
BW_STORY("leases can be extended only for a moment longer, because the store does not answer")
{
  work_core core;
  instant now = instant() + std::chrono::hours(1);
  const wall_time wall{ std::chrono::hours(1) };
  core.BeginTerm(5, now);
  core.SetSettings(BatchSettings(), now);
  core.SetWorkers({ Worker("busy"), Worker("idle") }, now);
  worker_report idle;
  idle.mIncarnation = 1;
  core.OnReport("busy", idle, now, now);
  core.AddJob({ Job("a", "batch", { Step(1, 1) }), false, {}, 0 }, now, wall);
  core.Decide(now, wall);
  for (const progress_write& each : core.TakeWrites(16)) {
    core.OnWritten(each.mJob, each.mExpected + 1, now);
  }
  core.OnReport("idle", idle, now, now);
  // A long poll is in flight; it extended the worker's lease when it was sent.
  const auto waiting = core.PlanPoll("busy", now);
  BW_CHECK(waiting && waiting->mLeaseUntil.count() > 0);

  BW_SECTION("a second poll extends the lease of each worker that has runs")
  {
    now += milliseconds(400);
    const auto last = core.PlanSecondPoll("busy", now, true);
    BW_CHECK(last && last->mWait.count() == 0);
    BW_EQUAL((waiting->mLeaseUntil + milliseconds(400)).count(), last->mLeaseUntil.count());

    BW_SECTION("the lease is extended only once")
    {
      now += milliseconds(100);
      BW_CHECK(!core.PlanSecondPoll("busy", now, true));
    }
  }
  BW_SECTION("leases granted just now and workers without runs get no second poll")
  {
    now += milliseconds(100);
    BW_CHECK(!core.PlanSecondPoll("busy", now, true));
    now += milliseconds(400);
    BW_CHECK(!core.PlanSecondPoll("idle", now, true));
  }
  BW_SECTION("leases are left to the next poll while the store answers")
  {
    now += milliseconds(400);
    BW_CHECK(!core.PlanSecondPoll("busy", now));
  }
}

// Guards against reporting a job as completed and then running it again: a new leader has only the
// ends that are stored.
BW_STORY("the last run of a job has ended but its end is not stored")
{
  work_core core;
  instant now = instant() + std::chrono::hours(1);
  const wall_time wall{ std::chrono::hours(1) };
  core.BeginTerm(5, now);
  core.SetSettings(BatchSettings(), now);
  core.SetWorkers({ Worker("w") }, now);
  worker_report report;
  report.mIncarnation = 1;
  core.OnReport("w", report, now, now);
  core.AddJob({ Job("a", "batch", { Step(1, 1) }), false, {}, 0 }, now, wall);
  store_revision revision = 0;
  const auto store = [&] {
    core.Decide(now, wall);
    for (const progress_write& each : core.TakeWrites(16)) {
      core.OnWritten(each.mJob, ++revision, now);
    }
  };
  store();
  BW_CHECK(core.StoredState("a") == work_state::kRunning);
  BW_CHECK(!core.StoredState("none"));
  now += milliseconds(500);
  report.mEnds = { { 1, { { "a", 0, 0, 0 }, 1 }, run_end::kDone, {} } };
  core.OnReport("w", report, now, now);

  BW_SECTION("the stored state is running until the end is stored, then completed")
  {
    BW_CHECK(core.State("a") == work_state::kCompleted);
    BW_CHECK(core.StoredState("a") == work_state::kRunning);
    store();
    BW_CHECK(core.StoredState("a") == work_state::kCompleted);
  }
}
