#include "work_record.h"

#include "testing/sample_jobs.h"

#include "briarwind/testing.h"

using namespace briarwind;
using namespace briarwind::testing;

namespace {

constexpr const char* kFormerRecord =
  R"({"state":"running","epoch":3,"change":9,"next":1,"done":[],)"
  R"("tasks":[[0,0,0,2,1,"",""],[0,0,1,2,1,"",""]]})";
constexpr const char* kRecord = R"({"state":"running","epoch":3,"change":9,"next":1,"done":[],)"
                                R"("tasks":[[0,0,0,2,1,"",""],[0,0,1,2,1,"",""]],)"
                                R"("failed":[[0,0,2]]})";

// The record that a new leader writes when it has read aRecord and placed the job again.
std::string RewriteRecord(const char* aRecord)
{
  work_core core;
  const instant now = instant() + std::chrono::hours(1);
  core.BeginTerm(5, now);
  core.SetSettings(BatchSettings(), now);
  core.SetWorkers({ Worker("w") }, now);
  worker_report idle;
  idle.mIncarnation = 1;
  core.OnReport("w", idle, now, now);
  core.AddJob({ Gang("a", "batch", 2, 1), false, aRecord, 7 }, now, wall_time());
  core.Decide(now, wall_time());
  const std::vector<progress_write> writes = core.TakeWrites(1);
  return writes.empty() ? std::string() : writes.front().mValue;
}

} // namespace

// Guards against marks and counts that a new leader cannot read back, and against records of the
// former version that become unreadable.
BW_STORY("a progress record is read and written again by a new leader")
{
  BW_SECTION("the run of a gang that was counted as failed last is kept")
  {
    const std::string rewritten = RewriteRecord(kRecord);
    const auto record = ToIoResult([&] { return ParseProgress(rewritten, "a"); });
    BW_CHECK(record.has_value());
    BW_EQUAL(std::size_t{ 1 }, record.value().mFailures.size());
    BW_EQUAL(run_number{ 2 }, record.value().mFailures.front().mRun);
    BW_EQUAL(run_number{ 3 }, record.value().mTasks.front().mRun);
  }
  BW_SECTION("a record of the former version has no such run, and keeps its counts")
  {
    const std::string rewritten = RewriteRecord(kFormerRecord);
    const auto record = ToIoResult([&] { return ParseProgress(rewritten, "a"); });
    BW_CHECK(record.has_value());
    BW_CHECK(record.value().mFailures.empty());
    BW_EQUAL(std::size_t{ 2 }, record.value().mTasks.size());
    BW_EQUAL(1, record.value().mTasks[0].mFailures);
    BW_EQUAL(1, record.value().mTasks[1].mFailures);
  }
}

// Guards against a next leader that starts work above a limit since the record of a cancelled job
// names none of the runs that are still being stopped.
BW_STORY("the final record of a job whose runs are being stopped")
{
  work_core core;
  const instant now = instant() + std::chrono::hours(1);
  work_settings settings = BatchSettings();
  settings.mVersion = 1;
  settings.mOrganisations["o1"].mMaxInUse.mAccelerators = 4;
  const work_job job = Job("a", "batch", { Step(2, 1) });
  const auto cancel = [&] {
    core.BeginTerm(5, now);
    core.SetSettings(settings, now);
    constexpr const char* kRunning =
      R"({"state":"running","epoch":3,"change":9,"next":1,"done":[],)"
      R"("tasks":[[0,0,0,2,0,"w",""],[0,0,1,1,0,"v",""]]})";
    core.AddJob({ job, false, kRunning, 7 }, now, wall_time());
    core.CancelJob("a", now);
    return core.TakeWrites(1).front().mValue;
  };
  BW_SECTION("names them and their workers, and no task")
  {
    const std::string written = cancel();
    const auto record = ToIoResult([&] { return ParseProgress(written, "a"); });
    BW_CHECK(record.value().mState == work_state::kCancelled);
    BW_CHECK(record.value().mTasks.empty());
    BW_EQUAL(std::size_t{ 2 }, record.value().mStopping.size());
    BW_EQUAL(std::string("v"), record.value().mStopping[0].mWorker);
    BW_EQUAL(std::string("w"), record.value().mStopping[1].mWorker);
    BW_EQUAL(run_number{ 2 }, record.value().mStopping[1].mRun);
  }
  BW_SECTION("makes the next leader count them, and start none of them")
  {
    const std::string written = cancel();
    core.BeginTerm(7, now);
    core.SetSettings(settings, now);
    core.AddJob({ job, true, written, 8 }, now, wall_time());
    core.Decide(now, wall_time());
    BW_EQUAL(2, core.OrganisationUse().front().mInUse.mAccelerators);
    BW_CHECK(core.TakeWrites(1).empty());
  }
  BW_SECTION("names none where the organisation has no limit, as the former version writes it")
  {
    settings.mOrganisations.clear();
    BW_CHECK(cancel().find("stopping") == std::string::npos);
  }
  BW_SECTION("is read without them from the former version")
  {
    constexpr const char* kFormer =
      R"({"state":"cancelled","epoch":3,"change":9,"next":1,"done":[],"tasks":[]})";
    core.BeginTerm(7, now);
    core.SetSettings(settings, now);
    core.AddJob({ job, true, kFormer, 8 }, now, wall_time());
    BW_CHECK(core.State("a") == work_state::kCancelled);
    BW_EQUAL(0, core.OrganisationUse().front().mInUse.mAccelerators);
  }
}

// Guards against an accepted job of the former version that becomes unreadable, and against image
// and latency target being lost between the host that accepts a job and the leader.
BW_STORY("an accepted job is stored with and without the fields on interference")
{
  work_job job = Job("a", "batch", { Step(2, 1) });
  BW_SECTION("without them the record has the former version's form")
  {
    const std::string stored = FormatWorkJob(job);
    BW_CHECK(stored.find("image") == std::string::npos);
    BW_CHECK(stored.find("latency") == std::string::npos);
    BW_CHECK(ToIoResult([&] { return ParseWorkJob(stored); }).value() == job);
  }
  BW_SECTION("with them both are read back")
  {
    job.mSteps[0].mImage = "resize:3";
    job.mSteps[0].mLatencyTarget = milliseconds(40);
    BW_CHECK(ToIoResult([&] { return ParseWorkJob(FormatWorkJob(job)); }).value() == job);
  }
}
