#include "job_intake.h"
#include "testing/fake_record_store.h"
#include "work_driver.h"

#include "briarwind/testing.h"

using namespace briarwind;
using namespace briarwind::testing;

namespace {

work_job Job(const std::string& aId)
{
  work_job job;
  job.mId = aId;
  job.mQueue = "batch";
  job.mOrganisation = "o1";
  job.mPayload = "payload";
  job.mSteps.resize(1);
  return job;
}

instant In(milliseconds aTime)
{
  return monotonic_clock::now() + aTime;
}

} // namespace

BW_STORY("a host that takes jobs")
{
  fiber_runtime runtime;
  metrics counters;
  fake_record_store store;
  job_intake intake(store, counters);

  BW_SECTION("stores a job before it says so, and once only")
  {
    BW_CHECK(intake.Accept(Job("a"), In(milliseconds(500))).mOutcome == intake_outcome::kAccepted);
    const store_revision first = store.Find(work_keys::Accepted("a"))->mModified;
    BW_CHECK(intake.Accept(Job("a"), In(milliseconds(500))).mOutcome == intake_outcome::kAccepted);
    BW_EQUAL(first, store.Find(work_keys::Accepted("a"))->mModified);
    BW_CHECK(intake.State("a", In(milliseconds(500))).mState == work_state::kQueued);
  }
  BW_SECTION("finds out what became of a write whose answer was lost")
  {
    store.LoseAnswers(1);
    BW_CHECK(intake.Accept(Job("a"), In(milliseconds(500))).mOutcome == intake_outcome::kAccepted);
  }
  BW_SECTION("refuses at once, as not run, while the store is away")
  {
    store.SetDown(true);
    const instant begun = monotonic_clock::now();
    BW_CHECK(intake.Accept(Job("a"), In(milliseconds(3'000))).mOutcome == intake_outcome::kNotRun);
    BW_CHECK(monotonic_clock::now() - begun < milliseconds(500));
    store.SetDown(false);
    BW_CHECK(!intake.State("a", In(milliseconds(500))).mState);
  }
  BW_SECTION("sends nothing to a store that is known to be away")
  {
    store.SetReachable(false);
    BW_CHECK(intake.Accept(Job("a"), In(milliseconds(3'000))).mOutcome == intake_outcome::kNotRun);
    BW_CHECK(!intake.State("a", In(milliseconds(3'000))).mReached);
    BW_EQUAL(0, store.Calls());
  }
  BW_SECTION("leaves an unclear call to its caller once the store is known to be away")
  {
    store.DelayWrites(100);
    store.mBeforeCall = [&] { store.SetReachable(store.Calls() < 2); };
    const instant begun = monotonic_clock::now();
    BW_CHECK(intake.Accept(Job("a"), In(milliseconds(3'000))).mOutcome == intake_outcome::kUnclear);
    BW_CHECK(monotonic_clock::now() - begun < milliseconds(1'000));
  }
  BW_SECTION("never calls a job not run that may still come to be stored")
  {
    store.DelayWrites(1);
    bool unclear = false;
    store.mBeforeCall = [&] {
      if (std::exchange(unclear, true)) {
        store.SetDown(true);
      }
    };
    BW_CHECK(intake.Accept(Job("a"), In(milliseconds(300))).mOutcome == intake_outcome::kUnclear);
    store.mBeforeCall = {};
    store.SetDown(false);
    store.TakeLate();
    BW_CHECK(intake.State("a", In(milliseconds(500))).mState == work_state::kQueued);
  }
  BW_SECTION("cancels what is there and knows what is not")
  {
    BW_CHECK(intake.Cancel("a", In(milliseconds(500))).mOutcome == intake_outcome::kUnknownJob);
    intake.Accept(Job("a"), In(milliseconds(500)));
    BW_CHECK(intake.Cancel("a", In(milliseconds(500))).mOutcome == intake_outcome::kAccepted);
    BW_CHECK(intake.Cancel("a", In(milliseconds(500))).mOutcome == intake_outcome::kAccepted);
    BW_CHECK(store.Find(work_keys::Cancel("a")) != nullptr);
  }
  BW_SECTION("says nothing of a state that it could not read")
  {
    store.SetDown(true);
    BW_CHECK(!intake.State("a", In(milliseconds(500))).mReached);
  }
}
