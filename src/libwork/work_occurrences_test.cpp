#include "testing/fleet_simulation.h"
#include "testing/sample_jobs.h"
#include "work_record.h"

#include "briarwind/testing.h"

#include <fmt/format.h>

#include <limits>

using namespace briarwind;
using namespace briarwind::testing;

namespace {

const instant kNow = instant() + std::chrono::hours(1);
const wall_time kWall = wall_time() + std::chrono::days(20'000);

work_job TimedJob(int aOccurrences, std::vector<work_step> aSteps)
{
  work_job job = Job("a", "batch", std::move(aSteps));
  job.mOccurrences = aOccurrences;
  job.mInterval = milliseconds(1);
  return job;
}

// A leader that has read the job and the progress record, and has one idle worker.
void Lead(work_core& aCore, const work_job& aJob, const std::string& aProgress = {})
{
  aCore.BeginTerm(5, kNow);
  aCore.SetSettings(BatchSettings(), kNow);
  aCore.SetWorkers({ Worker("w") }, kNow);
  worker_report idle;
  idle.mIncarnation = 1;
  aCore.OnReport("w", idle, kNow, kNow);
  aCore.AddJob({ aJob, false, aProgress, aProgress.empty() ? 0 : 7 }, kNow, kWall);
}

progress_record TakeRecord(work_core& aCore)
{
  const std::string written = aCore.TakeWrites(1).front().mValue;
  return ToIoResult([&] { return ParseProgress(written, "a"); }).value();
}

} // namespace

// Guards against a leader that runs out of memory because it opens every occurrence that a caller
// asked for at once (review/13).
BW_STORY("a timed job has far more due occurrences than can run")
{
  work_core core;
  BW_SECTION("the leader opens few more than run")
  {
    Lead(core, TimedJob(100'000, { Step(1, 1) }));
    for (int i = 0; i < 100; ++i) {
      core.Decide(kNow + i * milliseconds(100), kWall);
    }
    BW_CHECK(core.Counts().mWaitingTasks <= 64);
    BW_EQUAL(8, core.Counts().mLiveRuns);
  }
  BW_SECTION("occurrences of many tasks are opened one at a time")
  {
    Lead(core, TimedJob(1'000, { Step(20'000, 8) }));
    for (int i = 0; i < 10; ++i) {
      core.Decide(kNow + i * milliseconds(100), kWall);
    }
    BW_CHECK(core.Counts().mWaitingTasks <= 20'000);
  }
  BW_SECTION("it can be cancelled at once")
  {
    Lead(core, TimedJob(std::numeric_limits<int>::max(), { Step(1, 1) }));
    core.Decide(kNow, kWall);
    core.CancelJob("a", kNow);
    BW_EQUAL(0, core.Counts().mWaitingTasks);
    BW_CHECK(TakeRecord(core).mState == work_state::kCancelled);
  }
  BW_SECTION("a new leader opens none of those that the former version had opened and not started")
  {
    Lead(core, TimedJob(100'000'000, { Step(1, 1) }),
         R"({"state":"running","epoch":3,"change":9,"next":100000000,"over":[0,1,3],)"
         R"("done":[],"tasks":[[90000,0,0,1,0,"w",""]]})");
    BW_EQUAL(1, core.Counts().mLiveRuns);
    BW_EQUAL(0, core.Counts().mWaitingTasks);
    worker_report report;
    report.mIncarnation = 1;
    report.mRunning.push_back({ { { "a", 90'000, 0, 0 }, 1 }, {}, 1 });
    core.OnReport("w", report, kNow, kNow);
    core.Decide(kNow, kWall);
    const progress_record record = TakeRecord(core);
    BW_EQUAL(2, record.mTasks.front().mTask.mOccurrence);
    BW_EQUAL(90'000, record.mTasks.back().mTask.mOccurrence);
  }
}

// Guards against occurrences that are skipped or run again, also after a change of the leader.
BW_STORY("all occurrences of a timed job are due at once")
{
  fleet_simulation fleet(2, 1);
  fleet.Run(milliseconds(200));
  fleet.Submit(TimedJob(1'200, { Step(1, 1) }), milliseconds(20));
  BW_SECTION("each runs once, and other jobs run beside them")
  {
    fleet.Run(milliseconds(500));
    fleet.Submit(Job("b", "batch", { Step(2, 1) }), milliseconds(100));
    fleet.Run(milliseconds(3'000));
    BW_CHECK(fleet.StoredState("b") == work_state::kCompleted);
    fleet.Run(milliseconds(30'000));
    BW_EQUAL(1'200, fleet.Starts("a"));
  }
  BW_SECTION("none that has ended runs again under the next leader")
  {
    fleet.Run(milliseconds(2'000));
    BW_CHECK(fleet.Starts("a") > 50);
    fleet.ChangeLeader();
    fleet.Run(milliseconds(40'000));
    BW_CHECK(fleet.Starts("a") >= 1'200);
  }
  BW_CHECK(fleet.StoredState("a") == work_state::kCompleted);
  BW_CHECK(fleet.mViolations.empty());
}

// Guards against a time near the end of its type that overflows and makes a job run at once.
BW_STORY("the due time of an occurrence is far in the future")
{
  work_core core;
  work_job job = TimedJob(3, { Step(1, 1) });
  constexpr milliseconds kLongest = milliseconds::max();
  const auto waiting = [&] {
    Lead(core, job);
    core.Decide(kNow, kWall);
    const work_counts counts = core.Counts();
    return counts.mLiveRuns + counts.mWaitingTasks;
  };
  BW_SECTION("none starts before the year 9999")
  {
    job.mFirstDue = calendar_time(milliseconds(253'402'300'799'000));
    BW_EQUAL(0, waiting());
  }
  BW_SECTION("none starts before the last time of the type")
  {
    job.mFirstDue = calendar_time(kLongest);
    job.mInterval = kLongest;
    BW_EQUAL(0, waiting());
  }
  BW_SECTION("only the first starts before the longest interval")
  {
    job.mInterval = kLongest;
    BW_EQUAL(1, waiting());
  }
  BW_SECTION("declared run times of the longest length do not overflow the objective")
  {
    job = Job("a", "batch", { Step(1, 1), Step(1, 1) });
    job.mSteps[0].mEstimate = kLongest;
    job.mSteps[1].mEstimate = kLongest;
    job.mSteps[1].mAfter = { 0 };
    job = ToIoResult([&] { return ParseWorkJob(FormatWorkJob(job)); }).value();
    BW_EQUAL(1, waiting() - core.Counts().mWaitingTasks);
  }
}

// Guards against a record that grows with the number of finished occurrences, and against a former
// version that takes finished occurrences for open ones.
BW_STORY("the record of a timed job names its finished occurrences")
{
  const auto parse = [](const std::string& aRecord) {
    return ToIoResult([&] { return ParseProgress(aRecord, "a"); }).value();
  };
  job_entry job;
  job.mSpec = TimedJob(100'000'000, { Step(1, 1) });
  BW_SECTION("one by one while they are few, as the former version reads them")
  {
    job.mFinishedOccurrences.add({ 0, 1 });
    job.mFinishedOccurrences.add(5);
    const std::string written = FormatProgress(job, 3);
    BW_CHECK(written.find(R"("over":[0,1,5])") != std::string::npos);
    BW_CHECK(written.find(R"("next":6)") != std::string::npos);
    BW_EQUAL(std::size_t{ 3 }, parse(written).mFinishedOccurrences.size());
  }
  BW_SECTION("as intervals when they are many")
  {
    job.mFinishedOccurrences.add({ 0, 50'000'000 });
    job.mFinishedOccurrences.add({ 50'000'002, 50'000'009 });
    const std::string written = FormatProgress(job, 3);
    BW_CHECK(written.size() < 200);
    const std::pair<int, int> second{ 50'000'002, 50'000'009 };
    BW_CHECK(parse(written).mFinishedOccurrences.back() == second);
  }
  BW_SECTION("and its accepted record is one that the former version passes over")
  {
    const std::string stored = FormatWorkJob(job.mSpec);
    BW_CHECK(stored.find(R"("steps")") == std::string::npos);
    BW_CHECK(ToIoResult([&] { return ParseWorkJob(stored); }).value() == job.mSpec);
  }
}
