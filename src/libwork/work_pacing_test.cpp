#include "briarwind/work_core.h"
#include "testing/sample_jobs.h"

#include "briarwind/testing.h"

#include <map>
#include <variant>

using namespace briarwind;
using namespace briarwind::testing;

namespace {

constexpr milliseconds kReportInterval{ 800 };

// One worker with a serving task and a best-effort task. The serving task meets its target while
// the best-effort task goes at mBearable percent or less.
struct fixture
{
  explicit fixture(milliseconds aTarget)
  {
    mServing.mSteps[0].mLongRunning = true;
    mServing.mSteps[0].mLatencyTarget = aTarget;
    mFilling.mSteps[0].mBestEffort = true;
    Lead(5, {});
    Step();
    Step();
  }

  void Lead(std::int64_t aEpoch, const std::map<std::string, std::string>& aRecords)
  {
    mCore.BeginTerm(aEpoch, mNow);
    mCore.SetSettings(BatchSettings(), mNow);
    mCore.SetWorkers({ Worker("w") }, mNow);
    for (const work_job& job : { mServing, mFilling }) {
      const auto record = aRecords.find(job.mId);
      mCore.AddJob({ job, false, record == aRecords.end() ? "" : record->second, 1 }, mNow, mWall);
    }
  }

  // One report and the decisions after it.
  void Step()
  {
    mNow += kReportInterval;
    worker_report report;
    report.mIncarnation = 1;
    report.mClock = std::chrono::duration_cast<milliseconds>(mNow - instant());
    for (const auto& [id, percent] : mPaces) {
      const bool serves = id.mTask.mJob == mServing.mId;
      mProgress += serves ? 0 : percent / 100.0; // one percent for each report at the full pace
      report.mRunning.push_back(
        { id, {}, serves ? 100 : static_cast<int>(mProgress), IsMissed() ? 150 : 50 });
    }
    mMissed = IsMissed() ? mMissed + kReportInterval : milliseconds{ 0 };
    mLongestMissed = std::max(mLongestMissed, mMissed);
    mCore.OnReport("w", report, mNow, mNow);
    mCore.Decide(mNow, mWall);
    for (const progress_write& each : mCore.TakeWrites(16)) {
      mRecords[each.mJob] = each.mValue;
      mCore.OnWritten(each.mJob, each.mExpected + 1, mNow);
    }
    for (const work_action& each : mCore.TakeActions()) {
      if (const auto* start = std::get_if<start_run>(&each)) {
        mPaces[start->mRun] = 100;
        mCore.OnStarted(*start, start_outcome::kStarted, mNow, mNow);
      } else if (const auto* stop = std::get_if<stop_run>(&each)) {
        ++mStops;
        mCore.OnStopped(*stop, stop_outcome::kStopping, mNow, mNow);
      } else if (const auto* pace = std::get_if<pace_run>(&each)) {
        ++mOrders;
        const bool answers = mLostAnswers-- <= 0;
        if (answers) {
          mPaces[pace->mRun] = pace->mPercent;
        }
        mCore.OnPaced(*pace, answers ? pace_outcome::kPaced : pace_outcome::kUnknown, mNow);
      }
    }
  }
  void Run(int aSteps)
  {
    for (int i = 0; i < aSteps; ++i) {
      Step();
    }
  }
  int Pace() const
  {
    int lowest = 100;
    for (const auto& [id, percent] : mPaces) {
      lowest = std::min(lowest, percent);
    }
    return lowest;
  }
  bool IsMissed() const { return mPaces.size() == 2 && Pace() > mBearable; }

  work_job mServing = Job("serving", "batch", { testing::Step(1, 1) });
  work_job mFilling = Job("filling", "batch", { testing::Step(1, 0) });
  work_core mCore;
  instant mNow = instant() + std::chrono::hours(1);
  wall_time mWall{ std::chrono::hours(1) };
  std::map<run_id, int> mPaces;
  std::map<std::string, std::string> mRecords;
  int mBearable = 100;
  double mProgress = 1; ///< of the best-effort task, in percent
  int mLostAnswers = 0;
  int mOrders = 0;
  int mStops = 0;
  milliseconds mMissed{ 0 };
  milliseconds mLongestMissed{ 0 };
};

} // namespace

// Guards against a serving task that misses its target for 4 s because of a best-effort task beside
// it, and against a slowed task that is stopped as stalled. One worker with both tasks.
BW_STORY("a best-effort task is slowed beside a serving task that misses its target")
{
  fixture test(milliseconds(100));
  BW_EQUAL(std::size_t{ 2 }, test.mPaces.size());
  BW_SECTION("its pace is lowered in time, and it is not stopped however long that lasts")
  {
    test.mBearable = 0;
    test.Run(100);
    BW_CHECK(test.mLongestMissed < milliseconds(4'000));
    BW_EQUAL(0, test.Pace());
    BW_EQUAL(0, test.mStops);
  }
  BW_SECTION("an order without an answer is repeated")
  {
    test.mBearable = 50;
    test.mLostAnswers = 2;
    test.Run(6);
    BW_CHECK(test.Pace() <= 50);
    BW_CHECK(test.mOrders > 2);
  }
  BW_SECTION("the pace is raised again once there is slack")
  {
    test.mBearable = 0;
    test.Run(6);
    test.mBearable = 100;
    test.Run(20);
    BW_EQUAL(100, test.Pace());
    BW_EQUAL(0, test.mStops);
  }
  BW_SECTION("a new leader sets the pace anew")
  {
    test.mBearable = 20;
    test.Run(4);
    BW_EQUAL(20, test.Pace());
    test.mBearable = 100;
    const int before = test.mOrders;
    test.Lead(6, test.mRecords);
    test.Run(3);
    BW_CHECK(test.mOrders > before);
    BW_EQUAL(100, test.Pace());
    BW_EQUAL(0, test.mStops);
  }
  BW_SECTION("a new leader that finds the target missed goes to the lowest pace at once")
  {
    test.mBearable = 0;
    test.Lead(6, test.mRecords);
    test.Run(1);
    BW_EQUAL(0, test.Pace());
  }
}

// Guards against pace orders to workers that may not have the call, where no task has a target.
BW_STORY("without a latency target no pace is ordered")
{
  fixture test(milliseconds(0));
  test.mBearable = 0;
  test.Run(3);
  BW_EQUAL(0, test.mOrders);
}
