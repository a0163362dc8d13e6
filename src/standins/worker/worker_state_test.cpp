#include "standins/worker/worker_state.h"

#include "briarwind/testing.h"

using namespace briarwind;

namespace {

constexpr instant kStart{ seconds{ 1'000 } };
constexpr milliseconds kReservationTime{ 1'000 };
constexpr milliseconds kLeaseTime{ 3'000 };
constexpr milliseconds kRunTime{ 10'000 };

reservation_request MakeRequest(std::string aJob, std::int64_t aAttempt = 1,
                                std::int64_t aEpoch = 5, std::int64_t aMember = 0)
{
  return { std::move(aJob), aAttempt, aEpoch, aMember, { 4, 16, 1'000 }, kReservationTime };
}

struct worker_fixture
{
  worker_state mWorker{ { 8, 128, 262'144 }, milliseconds{ 500 } };
  instant mNow = kStart;

  void AdvanceBy(milliseconds aTime)
  {
    mNow += aTime;
    mWorker.AdvanceTo(mNow);
  }

  io_result<worker_lease> Reserve(const reservation_request& aRequest)
  {
    return ToIoResult([&] { return mWorker.Reserve(aRequest, mNow); });
  }

  std::string RefusalReason(const reservation_request& aRequest)
  {
    const auto reserved = Reserve(aRequest);
    return reserved ? "" : reserved.error().mWhat;
  }

  io_result<start_result> Start(const std::string& aLease, std::int64_t aEpoch = 5)
  {
    return ToIoResult(
      [&] { return mWorker.Start(aLease, { aEpoch, kLeaseTime, kRunTime }, mNow); });
  }

  lease_phase Phase(const std::string& aLease) const { return mWorker.Find(aLease)->mPhase; }
};

} // namespace

// Guards against a worker stand-in that overcommits its resources, accepts calls with a stale epoch
// or attempt, or starts a reservation that has ended.
BW_STORY("a reservation at a worker holds resources until it ends")
{
  worker_fixture fixture;
  const std::string lease = fixture.Reserve(MakeRequest("a")).value().mId;
  BW_SECTION("reserved resources are not available to others")
  {
    BW_CHECK(fixture.RefusalReason(MakeRequest("b")).empty());
    BW_EQUAL(std::string("busy"), fixture.RefusalReason(MakeRequest("c")));
  }
  BW_SECTION("a repeated request of the same member returns the same lease")
  {
    BW_EQUAL(lease, fixture.Reserve(MakeRequest("a")).value().mId);
    BW_CHECK(fixture.RefusalReason(MakeRequest("a", 1, 5, 1)).empty());
    BW_CHECK(fixture.mWorker.Leases().size() == 2);
  }
  BW_SECTION("a lapsed reservation cannot be started")
  {
    fixture.AdvanceBy(kReservationTime);
    BW_CHECK(fixture.Phase(lease) == lease_phase::kLapsed);
    BW_CHECK(fixture.Start(lease).error().mKind == error_kind::kNotFound);
    BW_SECTION("resources of a lapsed reservation are free, also for the same member")
    {
      BW_CHECK(fixture.Reserve(MakeRequest("a")).value().mId != lease);
    }
  }
  BW_SECTION("a renewal extends the reservation")
  {
    fixture.AdvanceBy(milliseconds{ 900 });
    fixture.mWorker.Renew(lease, kReservationTime, fixture.mNow);
    fixture.AdvanceBy(milliseconds{ 900 });
    BW_CHECK(fixture.Start(lease).value().mStartedByThisCall);
  }
  BW_SECTION("a stopped reservation cannot be started")
  {
    BW_CHECK(ToIoResult([&] { return fixture.mWorker.Stop(lease, fixture.mNow); }).has_value());
    BW_CHECK(fixture.Start(lease).error().mKind == error_kind::kNotFound);
  }
  BW_SECTION("requests with a lower epoch or attempt are refused")
  {
    BW_EQUAL(std::string("stale-epoch"), fixture.RefusalReason(MakeRequest("b", 1, 4)));
    BW_CHECK(fixture.RefusalReason(MakeRequest("a", 2, 6)).empty());
    BW_EQUAL(std::string("stale-attempt"), fixture.RefusalReason(MakeRequest("a", 1, 6)));
    BW_EQUAL(std::string("stale-epoch"), fixture.Start(lease, 5).error().mWhat);
    BW_EQUAL(std::string("stale-attempt"), fixture.Start(lease, 6).error().mWhat);
  }
}

// Guards against a task that starts twice, outlives its lease or loses its progress.
BW_STORY("a task at a worker runs once and only under its lease")
{
  worker_fixture fixture;
  const std::string lease = fixture.Reserve(MakeRequest("a")).value().mId;
  BW_CHECK(fixture.Start(lease).value().mStartedByThisCall);
  BW_SECTION("a repeated start does not start the task again")
  {
    fixture.AdvanceBy(milliseconds{ 100 });
    const auto again = fixture.Start(lease);
    BW_CHECK(!again.value().mStartedByThisCall);
    BW_CHECK(again.value().mPhase == lease_phase::kRunning);
    BW_CHECK(fixture.mWorker.Find(lease)->mStarted == kStart);
  }
  BW_SECTION("a task ends when its lease is not renewed")
  {
    fixture.AdvanceBy(kLeaseTime);
    BW_CHECK(fixture.Phase(lease) == lease_phase::kLapsed);
    BW_CHECK(fixture.mWorker.Find(lease)->mProgress == kLeaseTime);
    BW_CHECK(fixture.RefusalReason(MakeRequest("b")).empty());
    BW_SECTION("a renewal does not revive a lapsed lease")
    {
      fixture.mWorker.Renew(lease, kLeaseTime, fixture.mNow);
      BW_CHECK(fixture.Phase(lease) == lease_phase::kLapsed);
    }
  }
  BW_SECTION("a task finishes under a renewed lease")
  {
    fixture.mWorker.Renew(lease, minutes{ 1 }, fixture.mNow);
    fixture.AdvanceBy(kRunTime);
    BW_CHECK(fixture.Phase(lease) == lease_phase::kFinished);
    BW_CHECK(fixture.mWorker.Find(lease)->mProgress == kRunTime);
    BW_SECTION("forgetting a finished task is idempotent")
    {
      BW_CHECK(ToIoResult([&] { return fixture.mWorker.Forget(lease); }).has_value());
      BW_CHECK(ToIoResult([&] { return fixture.mWorker.Forget(lease); }).has_value());
      BW_CHECK(fixture.mWorker.Leases().empty());
    }
  }
  BW_SECTION("a running task cannot be forgotten")
  {
    BW_CHECK(!ToIoResult([&] { return fixture.mWorker.Forget(lease); }).has_value());
  }
  BW_SECTION("a stopped task keeps its progress")
  {
    fixture.AdvanceBy(seconds{ 2 });
    const auto stopped = ToIoResult([&] { return fixture.mWorker.Stop(lease, fixture.mNow); });
    BW_CHECK(stopped.value().mPhase == lease_phase::kStopped);
    BW_CHECK(stopped.value().mProgress == seconds{ 2 });
  }
  BW_SECTION("a task lapses after a long pause, even if it would have finished by then")
  {
    fixture.AdvanceBy(minutes{ 1 });
    BW_CHECK(fixture.Phase(lease) == lease_phase::kLapsed);
  }
}

// Guards against injected faults that have no effect, so that tests which inject them pass without
// having met the fault.
BW_STORY("a worker stand-in injects faults")
{
  worker_fixture fixture;
  const std::string lease = fixture.Reserve(MakeRequest("a")).value().mId;
  BW_SECTION("every task that is started fails")
  {
    fixture.mWorker.Faults().mFailAll = true;
    BW_CHECK(fixture.Start(lease).value().mStartedByThisCall);
    fixture.AdvanceBy(milliseconds{ 1 });
    BW_CHECK(fixture.Phase(lease) == lease_phase::kFailed);
  }
  BW_SECTION("every start is refused")
  {
    fixture.mWorker.Faults().mRefuseStarts = true;
    BW_EQUAL(std::string("refused"), fixture.Start(lease).error().mWhat);
    BW_CHECK(fixture.Phase(lease) == lease_phase::kReserved);
  }
  BW_SECTION("usage is reported after its lag")
  {
    fixture.AdvanceBy(milliseconds{ 100 });
    BW_EQUAL(0, fixture.mWorker.Usage(fixture.mNow).mAccelerators);
    fixture.AdvanceBy(milliseconds{ 500 });
    BW_EQUAL(4, fixture.mWorker.Usage(fixture.mNow).mAccelerators);
  }
}
