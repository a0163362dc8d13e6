#include "job_intake.h"
#include "testing/fake_record_store.h"
#include "work_driver.h"

#include "briarwind/testing.h"

using namespace briarwind;
using namespace briarwind::testing;

namespace {

work_job MakeJob(const std::string& aId)
{
  work_job job;
  job.mId = aId;
  job.mQueue = "batch";
  job.mOrganisation = "o1";
  job.mPayload = "payload";
  job.mSteps.resize(1);
  return job;
}

instant DeadlineIn(milliseconds aTime)
{
  return monotonic_clock::now() + aTime;
}

} // namespace

// Guards against wrong outcomes of submissions and cancellations when answers of the store are lost
// or late: a job must not be reported as refused although it may still be stored, and a caller must
// not wait for a store that is known to be unreachable.
BW_STORY("a host that accepts jobs")
{
  fiber_runtime runtime;
  metrics counters;
  fake_record_store store;
  job_intake intake(store, counters);

  BW_SECTION("stores a job before acknowledging it, and only once")
  {
    BW_CHECK(intake.Accept(MakeJob("a"), DeadlineIn(milliseconds(500))).mOutcome ==
             intake_outcome::kAccepted);
    const store_revision first = store.Find(work_keys::Accepted("a"))->mModified;
    BW_CHECK(intake.Accept(MakeJob("a"), DeadlineIn(milliseconds(500))).mOutcome ==
             intake_outcome::kAccepted);
    BW_EQUAL(first, store.Find(work_keys::Accepted("a"))->mModified);
    BW_CHECK(intake.State("a", DeadlineIn(milliseconds(500))).mState == work_state::kQueued);
  }
  BW_SECTION("determines the outcome of a write whose answer was lost")
  {
    store.LoseAnswers(1);
    BW_CHECK(intake.Accept(MakeJob("a"), DeadlineIn(milliseconds(500))).mOutcome ==
             intake_outcome::kAccepted);
  }
  BW_SECTION("refuses a job quickly, with no effect, while the store is unavailable")
  {
    store.SetDown(true);
    const instant begun = monotonic_clock::now();
    BW_CHECK(intake.Accept(MakeJob("a"), DeadlineIn(milliseconds(3'000))).mOutcome ==
             intake_outcome::kNotRun);
    BW_CHECK(monotonic_clock::now() - begun < milliseconds(500));
    store.SetDown(false);
    BW_CHECK(!intake.State("a", DeadlineIn(milliseconds(500))).mState);
  }
  BW_SECTION("makes no call to a store that is known to be unreachable")
  {
    store.SetReachable(false);
    BW_CHECK(intake.Accept(MakeJob("a"), DeadlineIn(milliseconds(3'000))).mOutcome ==
             intake_outcome::kNotRun);
    BW_CHECK(!intake.State("a", DeadlineIn(milliseconds(3'000))).mIsKnown);
    BW_EQUAL(0, store.Calls());
  }
  BW_SECTION("reports an unclear outcome early once the store is known to be unreachable")
  {
    store.DelayWrites(100);
    store.mBeforeCall = [&] { store.SetReachable(store.Calls() < 2); };
    const instant begun = monotonic_clock::now();
    BW_CHECK(intake.Accept(MakeJob("a"), DeadlineIn(milliseconds(3'000))).mOutcome ==
             intake_outcome::kUnclear);
    BW_CHECK(monotonic_clock::now() - begun < milliseconds(1'000));
  }
  BW_SECTION("does not report a job as not run when it may still be stored later")
  {
    store.DelayWrites(1);
    bool unclear = false;
    store.mBeforeCall = [&] {
      if (std::exchange(unclear, true)) {
        store.SetDown(true);
      }
    };
    BW_CHECK(intake.Accept(MakeJob("a"), DeadlineIn(milliseconds(300))).mOutcome ==
             intake_outcome::kUnclear);
    store.mBeforeCall = {};
    store.SetDown(false);
    store.ApplyDelayedWrites();
    BW_CHECK(intake.State("a", DeadlineIn(milliseconds(500))).mState == work_state::kQueued);
  }
  BW_SECTION("cancels a stored job and reports an unknown one")
  {
    BW_CHECK(intake.Cancel("unknown", DeadlineIn(milliseconds(500))).mOutcome ==
             intake_outcome::kUnknownJob);
    intake.Accept(MakeJob("a"), DeadlineIn(milliseconds(500)));
    BW_CHECK(intake.Cancel("a", DeadlineIn(milliseconds(500))).mOutcome ==
             intake_outcome::kAccepted);
    BW_CHECK(intake.Cancel("a", DeadlineIn(milliseconds(500))).mOutcome ==
             intake_outcome::kAccepted);
    BW_CHECK(store.Find(work_keys::Cancel("a")) != nullptr);
  }
  BW_SECTION("leaves no cancellation of a job that is removed at the same time")
  {
    intake.Accept(MakeJob("a"), DeadlineIn(milliseconds(500)));
    // The removal comes between the read and the write of the cancellation.
    const int calls = store.Calls();
    store.mBeforeCall = [&] {
      if (store.Calls() == calls + 2) {
        store.Remove(work_keys::Accepted("a"));
      }
    };
    BW_CHECK(intake.Cancel("a", DeadlineIn(milliseconds(500))).mOutcome ==
             intake_outcome::kUnknownJob);
    BW_CHECK(store.Find(work_keys::Cancel("a")) == nullptr);

    BW_SECTION("so that a job under the same id can be cancelled")
    {
      store.mBeforeCall = {};
      intake.Accept(MakeJob("a"), DeadlineIn(milliseconds(500)));
      BW_CHECK(intake.Cancel("a", DeadlineIn(milliseconds(500))).mOutcome ==
               intake_outcome::kAccepted);
      BW_CHECK(store.Find(work_keys::Cancel("a")) != nullptr);
    }
  }
  // Guards against a job that can never be stored and is refused as if it could be tried again.
  BW_SECTION("refuses a job whose record is longer than the store takes, without a call")
  {
    job_intake small(store, counters, {}, 100);
    BW_CHECK(small.Accept(MakeJob("a"), DeadlineIn(milliseconds(500))).mOutcome ==
             intake_outcome::kTooLarge);
    BW_EQUAL(0, store.Calls());
  }
  BW_SECTION("does not repeat a write that the store refuses for what it holds")
  {
    store.mRefuses = [](const store_transaction&) { return true; };
    BW_CHECK(intake.Accept(MakeJob("a"), DeadlineIn(milliseconds(500))).mOutcome ==
             intake_outcome::kTooLarge);
    BW_EQUAL(1, store.Calls());
  }
  BW_SECTION("reports no state when the store could not be read")
  {
    store.SetDown(true);
    BW_CHECK(!intake.State("a", DeadlineIn(milliseconds(500))).mIsKnown);
  }
}

// Guards against a job that is stored, and runs, after its cancellation was answered with "no such
// job": its submission was still in a host that stood still, or in a late call to the store
// (review/12).
BW_STORY("a job is cancelled before it is stored")
{
  fiber_runtime runtime;
  metrics counters;
  fake_record_store store;
  job_intake intake(store, counters);
  const auto accept = [&] {
    return intake.Accept(MakeJob("a"), DeadlineIn(milliseconds(500))).mOutcome;
  };
  const auto cancel = [&](const std::string& aId) {
    return intake.Cancel(aId, DeadlineIn(milliseconds(500))).mOutcome;
  };
  BW_SECTION("a submission that comes later is refused")
  {
    BW_CHECK(cancel("a") == intake_outcome::kUnknownJob);
    BW_CHECK(accept() == intake_outcome::kCancelled);
    BW_CHECK(store.Find(work_keys::Accepted("a")) == nullptr);

    BW_SECTION("as is a second one, and a second cancellation is answered as the first")
    {
      BW_CHECK(cancel("a") == intake_outcome::kUnknownJob);
      BW_CHECK(accept() == intake_outcome::kCancelled);
    }
    BW_SECTION("until the lease ends: then the id is free for another job, which can be cancelled")
    {
      store.ExpireLease(store.Find(work_keys::Cancel("a"))->mLease);
      BW_CHECK(accept() == intake_outcome::kAccepted);
      BW_CHECK(cancel("a") == intake_outcome::kAccepted);
    }
  }
  BW_SECTION("a write of the submission that takes effect later stores nothing")
  {
    store.DelayWrites(100);
    BW_CHECK(accept() == intake_outcome::kUnclear);
    store.DelayWrites(0);
    BW_CHECK(cancel("a") == intake_outcome::kUnknownJob);
    store.ApplyDelayedWrites();
    BW_CHECK(store.Find(work_keys::Accepted("a")) == nullptr);
  }
  BW_SECTION("if it is stored between the read and the write, it is cancelled as any other")
  {
    const int calls = store.Calls();
    store.mBeforeCall = [&] {
      if (store.Calls() == calls + 2) {
        store.Put(work_keys::Accepted("a"), FormatWorkJob(MakeJob("a")));
      }
    };
    BW_CHECK(cancel("a") == intake_outcome::kAccepted);
    BW_EQUAL(std::string("cancelled"), store.Find(work_keys::Cancel("a"))->mValue);
  }
  BW_SECTION("a flood of such cancellations costs the store one lease and a bounded number of keys")
  {
    int refused = 0;
    for (int i = 0; i < 200; ++i) {
      refused += cancel(std::to_string(i)) == intake_outcome::kNotRun ? 1 : 0;
    }
    BW_CHECK(refused >= 150);
    BW_EQUAL(store.Find(work_keys::Cancel("0"))->mLease,
             store.Find(work_keys::Cancel("9"))->mLease);
  }
}
