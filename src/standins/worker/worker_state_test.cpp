#include "standins/worker/worker_state.h"

#include "briarwind/testing.h"

using namespace briarwind;

namespace {

constexpr instant kStart{ seconds{ 1'000 } };
constexpr milliseconds kReservation{ 1'000 };
constexpr milliseconds kLease{ 3'000 };
constexpr milliseconds kRunTime{ 10'000 };

reservation_request Request(std::string aJob, std::int64_t aAttempt = 1, std::int64_t aEpoch = 5,
                            std::int64_t aMember = 0)
{
  return { std::move(aJob), aAttempt, aEpoch, aMember, { 4, 16, 1'000 }, kReservation };
}

struct worker_fixture
{
  worker_state mWorker{ { 8, 128, 262'144 }, milliseconds{ 500 } };
  instant mNow = kStart;

  void Pass(milliseconds aTime)
  {
    mNow += aTime;
    mWorker.Advance(mNow);
  }

  io_result<worker_lease> Reserve(const reservation_request& aRequest)
  {
    return Settle([&] { return mWorker.Reserve(aRequest, mNow); });
  }

  std::string Refusal(const reservation_request& aRequest)
  {
    const auto reserved = Reserve(aRequest);
    return reserved ? "" : reserved.error().mWhat;
  }

  io_result<start_outcome> Start(const std::string& aLease, std::int64_t aEpoch = 5)
  {
    return Settle([&] { return mWorker.Start(aLease, { aEpoch, kLease, kRunTime }, mNow); });
  }

  lease_phase Phase(const std::string& aLease) const { return mWorker.Find(aLease)->mPhase; }
};

} // namespace

BW_STORY("a reservation at a worker")
{
  worker_fixture at;
  const std::string lease = at.Reserve(Request("a")).value().mId;
  BW_SECTION("holds its shape")
  {
    BW_CHECK(at.Refusal(Request("b")).empty());
    BW_EQUAL(std::string("busy"), at.Refusal(Request("c")));
  }
  BW_SECTION("is the same when the same member asks again")
  {
    BW_EQUAL(lease, at.Reserve(Request("a")).value().mId);
    BW_CHECK(at.Refusal(Request("a", 1, 5, 1)).empty());
    BW_CHECK(at.mWorker.Leases().size() == 2);
  }
  BW_SECTION("starts nothing once its time is over")
  {
    at.Pass(kReservation);
    BW_CHECK(at.Phase(lease) == lease_phase::kLapsed);
    BW_CHECK(at.Start(lease).error().mKind == error_kind::kNotFound);
    BW_SECTION("and gives its shape back, also to the same member")
    {
      BW_CHECK(at.Reserve(Request("a")).value().mId != lease);
    }
  }
  BW_SECTION("lives on when renewed")
  {
    at.Pass(milliseconds{ 900 });
    at.mWorker.Renew(lease, kReservation, at.mNow);
    at.Pass(milliseconds{ 900 });
    BW_CHECK(at.Start(lease).value().mIsFirst);
  }
  BW_SECTION("starts nothing once it is stopped")
  {
    BW_CHECK(Settle([&] { return at.mWorker.Stop(lease, at.mNow); }).has_value());
    BW_CHECK(at.Start(lease).error().mKind == error_kind::kNotFound);
  }
  BW_SECTION("is refused to lower epochs and attempts")
  {
    BW_EQUAL(std::string("stale-epoch"), at.Refusal(Request("b", 1, 4)));
    BW_CHECK(at.Refusal(Request("a", 2, 6)).empty());
    BW_EQUAL(std::string("stale-attempt"), at.Refusal(Request("a", 1, 6)));
    BW_EQUAL(std::string("stale-epoch"), at.Start(lease, 5).error().mWhat);
    BW_EQUAL(std::string("stale-attempt"), at.Start(lease, 6).error().mWhat);
  }
}

BW_STORY("a task at a worker")
{
  worker_fixture at;
  const std::string lease = at.Reserve(Request("a")).value().mId;
  BW_CHECK(at.Start(lease).value().mIsFirst);
  BW_SECTION("is started once")
  {
    at.Pass(milliseconds{ 100 });
    const auto again = at.Start(lease);
    BW_CHECK(!again.value().mIsFirst);
    BW_CHECK(again.value().mPhase == lease_phase::kRunning);
    BW_CHECK(at.mWorker.Find(lease)->mStarted == kStart);
  }
  BW_SECTION("is stopped when its lease is not renewed")
  {
    at.Pass(kLease);
    BW_CHECK(at.Phase(lease) == lease_phase::kLapsed);
    BW_CHECK(at.mWorker.Find(lease)->mProgress == kLease);
    BW_CHECK(at.Refusal(Request("b")).empty());
    BW_SECTION("for good")
    {
      at.mWorker.Renew(lease, kLease, at.mNow);
      BW_CHECK(at.Phase(lease) == lease_phase::kLapsed);
    }
  }
  BW_SECTION("finishes under a renewed lease")
  {
    at.mWorker.Renew(lease, minutes{ 1 }, at.mNow);
    at.Pass(kRunTime);
    BW_CHECK(at.Phase(lease) == lease_phase::kFinished);
    BW_CHECK(at.mWorker.Find(lease)->mProgress == kRunTime);
    BW_SECTION("and can be forgotten, twice too")
    {
      BW_CHECK(Settle([&] { return at.mWorker.Forget(lease); }).has_value());
      BW_CHECK(Settle([&] { return at.mWorker.Forget(lease); }).has_value());
      BW_CHECK(at.mWorker.Leases().empty());
    }
  }
  BW_SECTION("is not forgotten while it runs")
  {
    BW_CHECK(!Settle([&] { return at.mWorker.Forget(lease); }).has_value());
  }
  BW_SECTION("keeps its progress when stopped")
  {
    at.Pass(seconds{ 2 });
    const auto stopped = Settle([&] { return at.mWorker.Stop(lease, at.mNow); });
    BW_CHECK(stopped.value().mPhase == lease_phase::kStopped);
    BW_CHECK(stopped.value().mProgress == seconds{ 2 });
  }
  BW_SECTION("has lapsed after a long pause, even when it would have finished since")
  {
    at.Pass(minutes{ 1 });
    BW_CHECK(at.Phase(lease) == lease_phase::kLapsed);
  }
}

BW_STORY("a worker with faults")
{
  worker_fixture at;
  const std::string lease = at.Reserve(Request("a")).value().mId;
  BW_SECTION("fails what it starts")
  {
    at.mWorker.Faults().mFailAll = true;
    BW_CHECK(at.Start(lease).value().mIsFirst);
    at.Pass(milliseconds{ 1 });
    BW_CHECK(at.Phase(lease) == lease_phase::kFailed);
  }
  BW_SECTION("refuses to start")
  {
    at.mWorker.Faults().mRefuseStarts = true;
    BW_EQUAL(std::string("refused"), at.Start(lease).error().mWhat);
    BW_CHECK(at.Phase(lease) == lease_phase::kReserved);
  }
  BW_SECTION("reports its usage late")
  {
    at.Pass(milliseconds{ 100 });
    BW_EQUAL(0, at.mWorker.Usage(at.mNow).mAccelerators);
    at.Pass(milliseconds{ 500 });
    BW_EQUAL(4, at.mWorker.Usage(at.mNow).mAccelerators);
  }
}
