#include "testing/fake_record_store.h"
#include "work_driver.h"

#include "briarwind/testing.h"

#include <fmt/format.h>

#include <algorithm>

using namespace briarwind;
using namespace briarwind::testing;

namespace {

// One runtime for all stories: fibers of a story keep running after it has ended.
fiber_runtime& Runtime()
{
  static auto& runtime = *new fiber_runtime;
  return runtime;
}

// A worker and the registry that lists it. It rejects starts and polls with an epoch lower than the
// highest seen.
struct fake_worker
  : public worker_gateway
  , public worker_registry
{
  start_outcome Start(const std::string&, const start_run& aOrder, std::int64_t aEpoch,
                      milliseconds, instant) override
  {
    if (aEpoch < mHighestEpoch) {
      return start_outcome::kFenced;
    }
    mHighestEpoch = aEpoch;
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
  pace_outcome Pace(const std::string&, const pace_run&, std::int64_t, instant) override
  {
    return pace_outcome::kPaced;
  }
  io_result<worker_report> Poll(const std::string&, const poll_plan& aPlan, std::int64_t aEpoch,
                                instant) override
  {
    SleepFor(milliseconds(10));
    if (aEpoch < mHighestEpoch) {
      return IoError(error_kind::kConflict, "w", "a newer leader has asked");
    }
    mHighestEpoch = aEpoch;
    mMaxLeaseUntil = std::max(mMaxLeaseUntil, aPlan.mLeaseUntil);
    std::erase_if(mEnds,
                  [&](const listed_end& aEnd) { return aEnd.mNumber <= aPlan.mAcknowledged; });
    return worker_report{ 1, Clock(), mRunning, mEnds, false };
  }
  io_result<registry_listing> Read(instant) override
  {
    if (!mIsListed) {
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
    return std::chrono::duration_cast<milliseconds>(monotonic_clock::now() - mStartedAt);
  }

  instant mStartedAt = monotonic_clock::now();
  std::int64_t mHighestEpoch = 0;
  std::int64_t mLastEnd = 0;
  std::vector<std::pair<run_id, std::int64_t>> mStarts;
  std::vector<listed_run> mRunning;
  std::vector<listed_end> mEnds;
  milliseconds mMaxLeaseUntil{ 0 };
  int mStops = 0;
  bool mIsListed = true;
};

bool WaitFor(const std::function<bool()>& aCondition)
{
  const instant end = monotonic_clock::now() + milliseconds(6'000);
  while (!aCondition() && monotonic_clock::now() < end) {
    SleepFor(milliseconds(5));
  }
  return aCondition();
}

stored_value MakeAcceptedJob(const std::string& aId, int aTasks = 1)
{
  work_job job;
  job.mId = aId;
  job.mQueue = "batch";
  job.mPolicy = { "pool", 1, 3, 3, milliseconds(1'000) };
  work_step step;
  step.mDemand = { 1, 1'000, 1'000 };
  step.mEstimate = milliseconds(60'000);
  if (aTasks > 1) {
    step.mCount = aTasks;
    step.mDemand = { 0, 1, 1 };
  }
  job.mSteps = { step };
  stored_value value;
  value.mKey = work_keys::Accepted(aId);
  value.mValue = FormatWorkJob(job);
  return value;
}

// A leader with one worker and a store. Never deleted: its fibers keep running after the story.
struct test_leader
{
  explicit test_leader(const work_options& aOptions = {})
    : mDriver(mRuntime, mStore, { &mWorker, nullptr, &mWorker }, mCounters, aOptions)
    , mLeadership(mRuntime, mStore, mCounters, "n", "n:1", 1.0,
                  { [this](std::int64_t) {
                     mRuntime.Spawn([this] {
                       mDriver.RunTerm(mLeadership, [this] { mLeadership.StepDown(); });
                     });
                   },
                    [this] {
                      ++mLosses;
                      mDriver.LeaveTerm();
                    },
                    [this](std::int64_t aEpoch) { mDriver.ContinueTerm(aEpoch); } })
  {
    // The driver decides nothing before it has the operators' settings.
    work_settings settings;
    settings.mVersion = 1;
    mDriver.SetSettings(settings);
  }

  void Accept(const std::string& aJob, int aTasks = 1)
  {
    const stored_value record = MakeAcceptedJob(aJob, aTasks);
    mStore.Put(record.mKey, record.mValue);
  }
  bool HasRecords(const std::string& aJob) const
  {
    return mStore.Find(work_keys::Accepted(aJob)) != nullptr ||
           mStore.Find(work_keys::Progress(aJob)) != nullptr;
  }
  // Waits until the job has a run, ends it, and waits until the end is acknowledged.
  bool RunOnce(const std::string& aJob)
  {
    const auto starts = mWorker.mStarts.size();
    Accept(aJob);
    if (!WaitFor([&] { return mWorker.mStarts.size() > starts; })) {
      return false;
    }
    mWorker.End(mWorker.mStarts.back().first);
    return WaitFor([&] { return mWorker.mEnds.empty(); });
  }

  fiber_runtime& mRuntime = Runtime();
  metrics mCounters;
  fake_record_store mStore;
  fake_worker mWorker;
  int mLosses = 0;
  work_driver mDriver;
  leadership mLeadership;
};

constexpr milliseconds kRetention{ 1'000 };

work_options ShortRetention()
{
  work_options options;
  options.mFinishedRetention = kRetention;
  options.mRemovalInterval = milliseconds(50);
  return options;
}

} // namespace

// Guards against running a finished job again from the beginning: its records can not be deleted
// during an outage of the store, and the listing after the outage still contains it.
BW_STORY("the records of a finished job are due for deletion during an outage of the store")
{
  auto& leader = *new test_leader(ShortRetention());
  leader.mLeadership.Start();
  BW_CHECK(leader.RunOnce("a"));

  BW_SECTION("the job does not run again, and its records are deleted after the outage")
  {
    leader.mStore.SetDown(true);
    SleepFor(2 * kRetention);
    BW_CHECK(leader.mDriver.StoredState("a") == work_state::kCompleted);
    leader.mStore.SetDown(false);
    BW_CHECK(WaitFor([&] { return !leader.HasRecords("a"); }));
    BW_CHECK(WaitFor([&] { return !leader.mDriver.StoredState("a"); }));
    BW_EQUAL(std::size_t{ 1 }, leader.mWorker.mStarts.size());
    BW_EQUAL(0, leader.mLosses);

    BW_SECTION("another job may then use its id and runs")
    {
      BW_CHECK(leader.RunOnce("a"));
      BW_EQUAL(std::size_t{ 2 }, leader.mWorker.mStarts.size());
      BW_CHECK(WaitFor([&] { return !leader.HasRecords("a"); }));
    }
  }
  BW_SECTION("the job is forgotten when only the answer to the deletion is lost")
  {
    leader.mStore.LoseAnswers(1);
    BW_CHECK(WaitFor([&] { return !leader.HasRecords("a"); }));
    BW_CHECK(WaitFor([&] { return !leader.mDriver.StoredState("a"); }));
    BW_EQUAL(std::size_t{ 1 }, leader.mWorker.mStarts.size());
  }
  BW_SECTION("a job that is accepted under its id before that answer arrives runs and is kept")
  {
    leader.mStore.LoseAnswers(1);
    BW_CHECK(WaitFor([&] { return !leader.HasRecords("a"); }));
    leader.Accept("a");
    BW_CHECK(WaitFor([&] { return leader.mWorker.mStarts.size() == 2; }));
    SleepFor(kRetention);
    BW_CHECK(leader.HasRecords("a"));
    BW_CHECK(leader.mDriver.StoredState("a") == work_state::kRunning);
  }
  BW_SECTION("a deletion that takes effect late removes nothing of a job that took its id")
  {
    leader.mStore.DelayWrites(1);
    BW_CHECK(WaitFor([&] { return !leader.HasRecords("a"); }));
    BW_CHECK(leader.RunOnce("a"));
    leader.mStore.ApplyDelayedWrites();
    BW_CHECK(leader.HasRecords("a"));
  }
  leader.mLeadership.Resign();
}

// Guards against running a removed job again because of a notification that a suspended host sends
// late, or that a host of the former version sends without the revision.
BW_STORY("hosts notify the leader of accepted jobs")
{
  auto& leader = *new test_leader(ShortRetention());
  leader.mLeadership.Start();
  BW_CHECK(leader.RunOnce("a"));
  const stored_value accepted = *leader.mStore.Find(work_keys::Accepted("a"));
  BW_CHECK(WaitFor([&] { return !leader.HasRecords("a"); }));
  BW_CHECK(WaitFor([&] { return !leader.mDriver.StoredState("a"); }));

  BW_SECTION("a late notification of a removed job is ignored")
  {
    leader.mDriver.NotifyStored(accepted);
    BW_CHECK(!leader.mDriver.StoredState("a"));
  }
  BW_SECTION("a notification without a revision adds no job")
  {
    stored_value former = accepted;
    former.mModified = 0;
    leader.mDriver.NotifyStored(former);
    BW_CHECK(!leader.mDriver.StoredState("a"));
  }
  BW_SECTION("a notification of a new job adds it at once")
  {
    stored_value later = accepted;
    later.mModified = leader.mStore.Revision() + 1;
    leader.mDriver.NotifyStored(later);
    BW_CHECK(leader.mDriver.StoredState("a") == work_state::kQueued);
  }
  leader.mLeadership.Resign();
}

// Guards against running a job again, or losing its end, after an outage of the store in which the
// leader's lease expires, the worker disappears from the registry and a run ends. The leader must
// claim leadership again and continue from its state in memory.
BW_STORY("a leader in a store outage that ends its lease and empties the registry")
{
  auto& setup = *new test_leader;
  fake_record_store& store = setup.mStore;
  fake_worker& worker = setup.mWorker;
  leadership* leader = &setup.mLeadership;
  const stored_value first = MakeAcceptedJob("a");
  store.Put(first.mKey, first.mValue);
  leader->Start();
  BW_CHECK(WaitFor([&] { return worker.mStarts.size() == 1; }));
  const std::int64_t epoch = worker.mStarts[0].second;
  SleepFor(milliseconds(100));
  store.SetDown(true);
  BW_CHECK(WaitFor([&] { return !leader->MayIssueOrders(); }));
  SleepFor(milliseconds(50)); // for polls that were already in flight
  const milliseconds maxLeaseUntil = worker.mMaxLeaseUntil;
  worker.End(worker.mStarts[0].first);
  worker.mIsListed = false;
  store.ExpireLease(store.Find(std::string(leadership::kLeaderKey))->mLease);
  SleepFor(milliseconds(300));
  BW_EQUAL(maxLeaseUntil.count(), worker.mMaxLeaseUntil.count());
  store.SetDown(false);

  BW_SECTION("stores the end of the run, then acknowledges it, and starts nothing again")
  {
    BW_CHECK(WaitFor([&] { return worker.mEnds.empty(); }));
    BW_CHECK(ProgressState(store.Find(work_keys::Progress("a"))->mValue) == work_state::kCompleted);
    BW_CHECK(leader->Epoch() > epoch);
    BW_EQUAL(0, setup.mLosses);
    BW_EQUAL(std::size_t{ 1 }, worker.mStarts.size());
    BW_EQUAL(0, worker.mStops);
  }
  BW_SECTION("starts new runs under the higher epoch once the worker is listed again")
  {
    worker.mIsListed = true;
    const stored_value second = MakeAcceptedJob("b");
    store.Put(second.mKey, second.mValue);
    BW_CHECK(WaitFor([&] { return worker.mStarts.size() == 2; }));
    BW_EQUAL(leader->Epoch(), worker.mStarts[1].second);
    BW_CHECK(worker.mStarts[1].second > epoch);
    BW_EQUAL(0, setup.mLosses);
  }
  leader->Resign();
}

// Guards against a write that the store refuses for what it holds and that is repeated for ever,
// takes one of the few places for writes and keeps the jobs in the same transaction from running
// (review/14).
BW_STORY("the store refuses the records of some jobs")
{
  auto& leader = *new test_leader;
  int refused = 0;
  leader.mStore.mRefuses = [&](const store_transaction& aTransaction) {
    const bool isOdd = std::ranges::any_of(aTransaction.mWrites, [](const store_write& aWrite) {
      return aWrite.mKey.starts_with(work_keys::Progress("odd"));
    });
    refused += isOdd ? 1 : 0;
    return isOdd;
  };
  for (int i = 0; i < 6; ++i) {
    leader.Accept(fmt::format("odd{}", i));
  }
  leader.Accept("good");
  leader.mLeadership.Start();
  BW_CHECK(WaitFor([&] { return leader.mWorker.mStarts.size() == 1; }));
  BW_EQUAL(std::string("good"), leader.mWorker.mStarts.front().first.mTask.mJob);

  BW_SECTION("jobs that come later run, and nothing is repeated unchanged")
  {
    SleepFor(milliseconds(1'000));
    const int before = refused;
    SleepFor(milliseconds(1'000));
    BW_EQUAL(before, refused);
    leader.Accept("later");
    BW_CHECK(WaitFor([&] { return leader.mWorker.mStarts.size() == 2; }));
    BW_EQUAL(std::string("later"), leader.mWorker.mStarts.back().first.mTask.mJob);
  }
  leader.mLeadership.Resign();
}

// Guards against records of a wide job that cannot be deleted, or only in part, since they are more
// than a transaction takes.
BW_STORY("the records of a finished wide job are removed")
{
  constexpr int kParts = 40;
  auto& leader = *new test_leader(ShortRetention());
  std::size_t mostEntries = 0;
  leader.mStore.mRefuses = [&](const store_transaction& aTransaction) {
    mostEntries =
      std::max(mostEntries, aTransaction.mConditions.size() + aTransaction.mWrites.size() +
                              aTransaction.mDeletes.size());
    return false;
  };
  leader.Accept("a", kParts * 512);
  for (int part = 0; part < kParts; ++part) {
    leader.mStore.Put(work_keys::ProgressPart("a", part), R"({"done":[[0,0,1]],"tasks":[]})");
  }
  leader.mStore.Put(work_keys::Progress("a"), R"({"state":"completed","change":9,"parts":true})");
  leader.mLeadership.Start();
  BW_CHECK(WaitFor([&] { return !leader.HasRecords("a"); }));
  for (int part = 0; part < kParts; ++part) {
    BW_CHECK(leader.mStore.Find(work_keys::ProgressPart("a", part)) == nullptr);
  }
  BW_CHECK(mostEntries <= record_store::kMaxTransactionEntries);
  BW_CHECK(leader.mWorker.mStarts.empty());
  leader.mLeadership.Resign();
}

// Guards against runs of a wide job that the next leader does not know and starts again.
BW_STORY("a leader takes over a wide job")
{
  auto& leader = *new test_leader;
  const run_id running{ { "a", 0, 0, 700 }, 1 };
  leader.Accept("a", 3'000);
  leader.mStore.Put(work_keys::ProgressPart("a", 0), R"({"done":[[0,0,0,1,2]],"tasks":[]})");
  leader.mStore.Put(work_keys::ProgressPart("a", 1),
                    R"({"done":[],"tasks":[[0,0,700,1,0,"w",""]]})");
  leader.mStore.Put(work_keys::Progress("a"), R"({"state":"running","change":9,"parts":true})");
  leader.mWorker.mRunning.push_back({ running, {}, 1 });
  leader.mLeadership.Start();
  BW_CHECK(WaitFor([&] { return leader.mWorker.mStarts.size() == 3'000 - 4; }));
  BW_CHECK(std::ranges::none_of(leader.mWorker.mStarts, [&](const auto& aStart) {
    return aStart.first.mTask.mIndex < 3 || aStart.first == running;
  }));
  leader.mLeadership.Resign();
}

// Guards against a job that runs although its cancellation was answered, since a host of the former
// version, which does not know that answer's key, accepts it later.
BW_STORY("a job is accepted under an id whose cancellation found no job")
{
  auto& leader = *new test_leader;
  leader.mStore.Put(work_keys::Cancel("a"), std::string(work_keys::kCancelledEarly));
  const auto isCancelled = [&] {
    const stored_value* record = leader.mStore.Find(work_keys::Progress("a"));
    return record != nullptr && ProgressState(record->mValue) == work_state::kCancelled;
  };
  BW_SECTION("the leader that is there does not start it")
  {
    leader.mLeadership.Start();
    BW_CHECK(leader.RunOnce("b"));
    leader.Accept("a");
    BW_CHECK(WaitFor(isCancelled));
    BW_EQUAL(std::size_t{ 1 }, leader.mWorker.mStarts.size());
  }
  BW_SECTION("neither does the next one")
  {
    leader.Accept("a");
    leader.mLeadership.Start();
    BW_CHECK(WaitFor(isCancelled));
    BW_CHECK(leader.mWorker.mStarts.empty());
  }
  BW_SECTION("once that key has ended, the id is free again")
  {
    leader.mLeadership.Start();
    BW_CHECK(leader.RunOnce("b"));
    leader.mStore.Remove(work_keys::Cancel("a"));
    BW_CHECK(leader.RunOnce("a"));
  }
  leader.mLeadership.Resign();
}
