#include "record_parts.h"

#include "testing/fleet_simulation.h"
#include "testing/sample_jobs.h"
#include "work_record.h"

#include "briarwind/testing.h"

using namespace briarwind;
using namespace briarwind::testing;

namespace {

constexpr int kWideTasks = 3'000;
const instant kNow = instant() + std::chrono::hours(1);

work_step SmallStep(int aCount)
{
  work_step step = Step(aCount, 0);
  step.mDemand = { 0, 10, 10 };
  return step;
}

// What the store holds of one job.
struct stored_records
{
  std::string mMain;
  store_revision mRevision = 1;
  std::map<std::int64_t, std::string> mParts;
  std::size_t mLongest = 0;

  void Apply(const progress_write& aWrite)
  {
    mMain = aWrite.mValue;
    ++mRevision;
    mLongest = std::max(mLongest, mMain.size());
    for (const record_part& each : aWrite.mParts) {
      mParts[each.mNumber] = each.mValue;
      mLongest = std::max(mLongest, each.mValue.size());
    }
    std::erase_if(mParts, [](const auto& aPart) { return aPart.second.empty(); });
  }
  stored_job Read(const work_job& aJob) const
  {
    stored_job stored{ aJob, false, mMain, mRevision };
    for (const auto& [number, value] : mParts) {
      stored.mProgressParts.push_back({ number, value });
    }
    return stored;
  }
};

void Lead(work_core& aCore, const stored_job& aJob)
{
  aCore.BeginTerm(5, kNow);
  aCore.SetSettings(BatchSettings(), kNow);
  aCore.SetWorkers({ Worker("w") }, kNow);
  aCore.AddJob(aJob, kNow, wall_time());
}

void Report(work_core& aCore, const worker_report& aReport)
{
  worker_report report = aReport;
  report.mIncarnation = 1;
  aCore.OnReport("w", report, kNow, kNow);
}

int CountStarts(work_core& aCore)
{
  const auto actions = aCore.TakeActions();
  return static_cast<int>(std::ranges::count_if(
    actions, [](const auto& aEach) { return std::holds_alternative<start_run>(aEach); }));
}

} // namespace

// Guards against a job whose record is longer than the values of the store (review/14), and against
// start orders before the part that names the run is stored.
BW_STORY("the progress of a wide job is stored in parts")
{
  work_core core;
  stored_records store;
  const work_job job = Job("a", "batch", { SmallStep(32'000) });
  Lead(core, { job, false, {}, 0 });
  Report(core, {});
  int starts = 0;
  for (int i = 0; i < 8; ++i) {
    core.Decide(kNow + i * milliseconds(300), wall_time());
    for (const progress_write& each : core.TakeWrites(15)) {
      store.Apply(each);
      core.OnWritten("a", store.mRevision, kNow);
    }
    starts += CountStarts(core);
  }
  BW_SECTION("each of them is short, and so many starts are in flight as the leader bears")
  {
    BW_EQUAL(1'024, starts);
    BW_CHECK(store.mLongest < std::size_t{ 64 } << 10U);
    BW_EQUAL(std::size_t{ 2 }, store.mParts.size());
  }
  BW_SECTION("the next leader knows all runs")
  {
    work_core next;
    Lead(next, store.Read(job));
    BW_EQUAL(1'024, next.Counts().mLiveRuns);
    BW_EQUAL(32'000 - 1'024, next.Counts().mWaitingTasks);
  }
  BW_SECTION("an end is acknowledged once its own part is stored")
  {
    worker_report report;
    report.mEnds.push_back({ 1, { { "a", 0, 0, 700 }, 1 }, run_end::kDone, {} });
    report.mMoreEnds = true;
    Report(core, report);
    const auto writes = core.TakeWrites(15);
    BW_EQUAL(std::size_t{ 1 }, writes.front().mParts.size());
    BW_EQUAL(std::int64_t{ 1 }, writes.front().mParts.front().mNumber);
    BW_EQUAL(std::int64_t{ 0 }, core.PlanPoll("w", kNow + std::chrono::seconds(1))->mAcknowledged);
    core.OnWritten("a", store.mRevision + 1, kNow);
    BW_EQUAL(std::int64_t{ 1 }, core.PlanPoll("w", kNow + std::chrono::seconds(2))->mAcknowledged);
  }
  BW_SECTION("a cancelled job leaves its parts to the removal, and the next leader its runs")
  {
    core.CancelJob("a", kNow);
    const auto writes = core.TakeWrites(15);
    BW_CHECK(writes.front().mParts.empty());
    store.Apply(writes.front());
    work_core next;
    Lead(next, store.Read(job));
    BW_EQUAL(1'024, next.Counts().mLiveRuns);
    BW_EQUAL(0, next.Counts().mWaitingTasks);
    const auto expired = next.ExpiredJobs(kNow + std::chrono::hours(1));
    BW_EQUAL(std::size_t{ 2 }, expired.front().mParts.size());
  }
}

// Guards against tasks that are lost or run twice where a leader is replaced between two parts of
// one change.
BW_STORY("leaders change while a wide job runs")
{
  for (const std::uint64_t seed : { 1U, 2U, 3U, 4U }) {
    fleet_simulation fleet(4, seed);
    fleet.Run(milliseconds(200));
    fleet.mFaults.mWriteTime = milliseconds(40);
    fleet.mFaults.mLostAnswer = 0.01;
    fleet.mFaults.mDelayedOrder = 0.01;
    work_step second = SmallStep(kWideTasks / 2);
    second.mAfter = { 0 };
    fleet.Submit(Job("a", "batch", { SmallStep(kWideTasks / 2), second }), milliseconds(200));
    for (int i = 0; i < 5; ++i) {
      fleet.Run(milliseconds(370));
      fleet.ChangeLeader();
    }
    fleet.mFaults = {};
    fleet.Run(milliseconds(60'000));
    BW_CHECK(fleet.StoredState("a") == work_state::kCompleted);
    BW_CHECK(fleet.mViolations.empty());
  }
}

// Guards against a gang that waits for ever since only some of its members are stored as done, and
// against a failure that two leaders count.
BW_STORY("a gang is spread over parts that are of different changes")
{
  const work_job job = Gang("a", "batch", kWideTasks, 0);
  work_core core;
  stored_job stored{ job, false, R"({"state":"running","epoch":3,"change":9,"parts":true})", 7 };
  BW_SECTION("the end of one member stands for all")
  {
    stored.mProgressParts = { { 0, R"({"done":[[0,0,4]],"tasks":[]})" },
                              { 1, R"({"done":[],"tasks":[[0,0,600,1,0,"w",""]]})" } };
    Lead(core, stored);
    BW_CHECK(core.State("a") == work_state::kCompleted);
  }
  BW_SECTION("a failure that one part counts is not counted again")
  {
    stored.mProgressParts = { { 0, R"({"done":[],"tasks":[[0,0,4,1,1,"","",1]]})" },
                              { 1, R"({"done":[],"tasks":[[0,0,600,1,0,"w",""]]})" } };
    Lead(core, stored);
    worker_report report;
    report.mEnds.push_back({ 1, { { "a", 0, 0, 600 }, 1 }, run_end::kFailed, {} });
    Report(core, report);
    const auto writes = core.TakeWrites(15);
    for (const record_part& each : writes.front().mParts) {
      const auto part = ToIoResult([&] { return ParseProgress(each.mValue, "a"); });
      BW_CHECK(std::ranges::all_of(
        part.value().mTasks, [](const progress_task& aTask) { return aTask.mFailures == 0; }));
    }
  }
}

// Guards against records of ordinary jobs that the former version can't read, and against a wide
// job that it runs again since it can't read its parts.
BW_STORY("hosts of the former version are still there")
{
  BW_SECTION("a job of ordinary width has one record, in the form that they read")
  {
    const work_job job = Job("a", "batch", { SmallStep(2'048) });
    BW_CHECK(!IsInParts(job));
    BW_CHECK(FormatWorkJob(job).find(R"("steps")") != std::string::npos);
  }
  BW_SECTION("the accepted record of a wide one is one that they pass over")
  {
    const work_job job = Job("a", "batch", { SmallStep(2'049) });
    BW_CHECK(FormatWorkJob(job).find(R"("steps")") == std::string::npos);
    BW_CHECK(ToIoResult([&] { return ParseWorkJob(FormatWorkJob(job)); }).value() == job);
  }
  BW_SECTION("a wide job that they have begun goes on in one record")
  {
    work_core core;
    const work_job job = Job("a", "batch", { SmallStep(kWideTasks) });
    Lead(core, { job, false,
                 R"({"state":"running","epoch":3,"change":9,"next":1,"done":[[0,0,0,1,2]],)"
                 R"("tasks":[[0,0,5,1,0,"w",""]]})",
                 7 });
    BW_EQUAL(kWideTasks - 4, core.Counts().mWaitingTasks);
    Report(core, {});
    core.Decide(kNow, wall_time());
    const auto writes = core.TakeWrites(15);
    BW_CHECK(writes.front().mParts.empty());
    BW_CHECK(writes.front().mValue.find(R"("done":[[0,0,0,1,2]])") != std::string::npos);
  }
}

// Guards against a job whose record the store refuses and that keeps its places on workers.
BW_STORY("the store refuses the record of a job")
{
  work_core core;
  Lead(core, { Job("a", "batch", { Step(8, 1) }), false, {}, 0 });
  Report(core, {});
  core.Decide(kNow, wall_time());
  BW_EQUAL(std::size_t{ 1 }, core.TakeWrites(15).size());
  core.OnWriteRefused("a", "status 400", kNow);
  BW_EQUAL(0, core.Counts().mLiveRuns);
  BW_EQUAL(std::size_t{ 1 }, core.JobsWithRefusedRecord());

  BW_SECTION("it is left alone for a while, and others run in its place")
  {
    core.AddJob({ Job("b", "batch", { Step(8, 1) }), false, {}, 0 }, kNow, wall_time());
    core.Decide(kNow + std::chrono::seconds(1), wall_time());
    const auto writes = core.TakeWrites(15);
    BW_EQUAL(std::size_t{ 1 }, writes.size());
    BW_EQUAL(std::string("b"), writes.front().mJob);
    BW_EQUAL(8, core.Counts().mLiveRuns);
  }
  BW_SECTION("then it is tried again")
  {
    core.Decide(kNow + std::chrono::seconds(6), wall_time());
    BW_EQUAL(std::size_t{ 0 }, core.JobsWithRefusedRecord());
    BW_EQUAL(std::size_t{ 1 }, core.TakeWrites(15).size());
  }
}
