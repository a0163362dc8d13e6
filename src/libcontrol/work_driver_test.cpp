#include "testing/fake_record_store.h"
#include "work_driver.h"

#include "briarwind/testing.h"

#include <algorithm>

using namespace briarwind;
using namespace briarwind::testing;

namespace {

// One worker: starts what it is told to start under an epoch that is not lower than the highest
// seen.
struct one_worker
  : public worker_gateway
  , public worker_registry
{
  start_outcome Start(const std::string&, const start_run& aOrder, std::int64_t aEpoch,
                      milliseconds, instant) override
  {
    if (aEpoch < mFence) {
      return start_outcome::kFenced;
    }
    mFence = aEpoch;
    mStarts.emplace_back(aOrder.mRun, aEpoch);
    mRunning.push_back({ aOrder.mRun, {}, 1 });
    return start_outcome::kStarted;
  }
  stop_outcome Stop(const std::string&, const stop_run& aOrder, std::int64_t, instant) override
  {
    ++mStops;
    std::erase_if(mRunning, [&](const listed_run& aRun) { return aRun.mRun == aOrder.mRun; });
    return stop_outcome::kStopping;
  }
  io_result<worker_report> Poll(const std::string&, const poll_plan& aPlan, std::int64_t aEpoch,
                                instant) override
  {
    SleepFor(milliseconds(10));
    if (aEpoch < mFence) {
      return IoError(error_kind::kConflict, "w", "a newer leader has asked");
    }
    mFence = aEpoch;
    mHeld = std::max(mHeld, aPlan.mLeaseUntil);
    std::erase_if(mEnds,
                  [&](const listed_end& aEnd) { return aEnd.mNumber <= aPlan.mAcknowledged; });
    return worker_report{ 1, Clock(), mRunning, mEnds, false };
  }
  io_result<registry_listing> Read(instant) override
  {
    if (!mListed) {
      return registry_listing{};
    }
    registered_worker worker;
    worker.mId = "w";
    worker.mService = "pool";
    worker.mAddress = "10.0.0.1:80";
    worker.mCapacity = { 8, 128'000, 262'144 };
    worker.mClock = Clock();
    worker.mIncarnation = 1;
    return registry_listing{ { worker }, {} };
  }
  void End(const run_id& aRun)
  {
    std::erase_if(mRunning, [&](const listed_run& aEach) { return aEach.mRun == aRun; });
    mEnds.push_back({ ++mLastEnd, aRun, run_end::kDone, {} });
  }
  milliseconds Clock() const
  {
    return std::chrono::duration_cast<milliseconds>(monotonic_clock::now() - mBorn);
  }

  instant mBorn = monotonic_clock::now();
  std::int64_t mFence = 0;
  std::int64_t mLastEnd = 0;
  std::vector<std::pair<run_id, std::int64_t>> mStarts;
  std::vector<listed_run> mRunning;
  std::vector<listed_end> mEnds;
  milliseconds mHeld{ 0 };
  int mStops = 0;
  bool mListed = true;
};

bool WaitFor(const std::function<bool()>& aCondition)
{
  const instant end = monotonic_clock::now() + milliseconds(6'000);
  while (!aCondition() && monotonic_clock::now() < end) {
    SleepFor(milliseconds(5));
  }
  return aCondition();
}

stored_value Accepted(const std::string& aId)
{
  work_job job;
  job.mId = aId;
  job.mQueue = "batch";
  job.mPolicy = { "pool", 1, 3, 3, milliseconds(1'000) };
  work_step step;
  step.mDemand = { 1, 1'000, 1'000 };
  step.mEstimate = milliseconds(60'000);
  job.mSteps = { step };
  stored_value value;
  value.mKey = work_keys::Accepted(aId);
  value.mValue = FormatWorkJob(job);
  return value;
}

} // namespace

BW_STORY("a leader in an outage that ends its lease and the registry's entries")
{
  fiber_runtime runtime;
  metrics counters;
  // Fibers of a story go on after it; what they use lives as long as the process.
  auto& store = *new fake_record_store;
  auto& worker = *new one_worker;
  auto& losses = *new int(0);
  work_driver::outside outside;
  outside.mWorkers = &worker;
  outside.mRegistry = &worker;
  auto& driver = *new work_driver(runtime, store, outside, counters, work_options{});
  leadership* lead = nullptr;
  lead = new leadership(runtime, store, counters, "n", "n:1", 1.0,
                        { [&](std::int64_t) {
                           runtime.Spawn([&] { driver.RunTerm(*lead, [&] { lead->LoseLead(); }); });
                         },
                          [&] {
                            ++losses;
                            driver.StepDown();
                          },
                          [&](std::int64_t aEpoch) { driver.GoOnUnder(aEpoch); } });
  const stored_value first = Accepted("a");
  store.Put(first.mKey, first.mValue);
  lead->Start();
  BW_CHECK(WaitFor([&] { return worker.mStarts.size() == 1; }));
  const std::int64_t epoch = worker.mStarts[0].second;
  SleepFor(milliseconds(100));
  store.SetDown(true);
  BW_CHECK(WaitFor([&] { return !lead->MayOrder(); }));
  SleepFor(milliseconds(50)); // polls that had left before
  const milliseconds held = worker.mHeld;
  worker.End(worker.mStarts[0].first);
  worker.mListed = false;
  store.Lapse(store.Find(std::string(leadership::kLeaderKey))->mLease);
  SleepFor(milliseconds(300));
  BW_EQUAL(held.count(), worker.mHeld.count());
  store.SetDown(false);

  BW_SECTION(
    "goes on with what it knows: the end is stored, then acknowledged, and nothing is run again")
  {
    BW_CHECK(WaitFor([&] { return worker.mEnds.empty(); }));
    BW_CHECK(ProgressState(store.Find(work_keys::Progress("a"))->mValue) == work_state::kCompleted);
    BW_CHECK(lead->Epoch() > epoch);
    BW_EQUAL(0, losses);
    BW_EQUAL(std::size_t{ 1 }, worker.mStarts.size());
    BW_EQUAL(0, worker.mStops);
  }
  BW_SECTION("orders under the higher epoch from then on, once the worker is listed again")
  {
    worker.mListed = true;
    const stored_value second = Accepted("b");
    store.Put(second.mKey, second.mValue);
    BW_CHECK(WaitFor([&] { return worker.mStarts.size() == 2; }));
    BW_EQUAL(lead->Epoch(), worker.mStarts[1].second);
    BW_CHECK(worker.mStarts[1].second > epoch);
    BW_EQUAL(0, losses);
  }
  lead->Resign();
}
