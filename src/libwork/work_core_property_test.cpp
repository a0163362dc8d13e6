#include "testing/fleet_simulation.h"

#include "briarwind/testing.h"

#include <fmt/format.h>
#include <rapidcheck.h>

#include <array>

using namespace briarwind;
using namespace briarwind::testing;

namespace {

work_job AnyJob(int aNumber, std::mt19937_64& aRandom)
{
  const auto pick = [&](int aFrom, int aTo) {
    return std::uniform_int_distribution<int>(aFrom, aTo)(aRandom);
  };
  work_job job;
  job.mId = fmt::format("job{:03}", aNumber);
  job.mQueue = pick(0, 2) == 0 ? "urgent" : "batch";
  job.mOrganisation = fmt::format("o{}", pick(1, 3));
  job.mPayload = "payload";
  const int steps = pick(1, 3);
  for (int i = 0; i < steps; ++i) {
    work_step step;
    step.mCount = pick(1, 6);
    step.mDemand = { 1 << pick(0, 3), std::int64_t{ 1'000 } * pick(1, 60),
                     std::int64_t{ 1'000 } * pick(1, 100) };
    step.mEstimate = milliseconds(pick(100, 3'000));
    step.mGang = pick(0, 2) == 0;
    step.mRackLocal = step.mGang && pick(0, 1) == 0;
    step.mPerWorkerLimit = pick(0, 3) == 0 ? pick(1, 2) : 0;
    if (i > 0) {
      step.mAfter = { i - 1 };
    }
    job.mSteps.push_back(step);
  }
  return job;
}

// One random change of the world.
void Disturb(fleet_simulation& aFleet, std::mt19937_64& aRandom)
{
  const auto worker = [&] {
    return static_cast<int>(aRandom() % static_cast<std::uint64_t>(aFleet.WorkerCount()));
  };
  switch (aRandom() % 10) {
    case 0:
      aFleet.ChangeLeader();
      return;
    case 1:
      aFleet.SetCut(worker(), true);
      return;
    case 2:
    case 3:
      aFleet.SetCut(worker(), false);
      return;
    case 4:
      aFleet.Worker(worker()).Crash(aFleet.Now());
      return;
    case 5:
      aFleet.SetListed(worker(), false);
      return;
    case 6:
      aFleet.SetListed(worker(), true);
      return;
    case 7:
      aFleet.mFaults.mLostAnswer = 0.2;
      aFleet.mFaults.mLateOrder = 0.1;
      aFleet.mFaults.mLostPoll = 0.2;
      return;
    case 8:
      aFleet.mFaults.mWriteTime = milliseconds(1'500);
      return;
    default:
      aFleet.mFaults = {};
      return;
  }
}

void Heal(fleet_simulation& aFleet)
{
  aFleet.mFaults = {};
  for (int i = 0; i < aFleet.WorkerCount(); ++i) {
    aFleet.SetCut(i, false);
    aFleet.SetListed(i, true);
  }
}

// A day of jobs and troubles; what the checker found first, or what is left undone.
std::string PlayDay(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  fleet_simulation fleet(6, aSeed);
  for (int i = 0; i < 14 && fleet.mBroken.empty(); ++i) {
    fleet.Submit(AnyJob(i, random), milliseconds(200 + random() % 2'500));
    if (random() % 6 == 0) {
      fleet.Cancel(fmt::format("job{:03}", i));
    }
    Disturb(fleet, random);
    fleet.Run(milliseconds(random() % 1'500));
  }
  Heal(fleet);
  fleet.Run(milliseconds(60'000));
  if (!fleet.mBroken.empty()) {
    return fleet.mBroken.front();
  }
  return fleet.AllOver() ? std::string() : "a job is not over";
}

} // namespace

BW_STORY("whatever fails")
{
  BW_SECTION("no task runs twice, no worker is overfilled, no step starts early, all jobs end")
  {
    BW_CHECK(rc::check([](std::uint64_t aSeed) {
      const std::string broken = PlayDay(aSeed);
      if (!broken.empty()) {
        RC_FAIL(broken);
      }
    }));
  }
  BW_SECTION("nor on days that failed once")
  {
    // 350784940: a start had reached a worker's next incarnation, which the next leader took for
    // empty. The others failed on the way to the same mend.
    constexpr std::array<std::uint64_t, 5> kFailedOnce{ 350'784'940, 94'971, 13'878'608'620'953,
                                                        123, 38'897 };
    for (const std::uint64_t seed : kFailedOnce) {
      const std::string broken = PlayDay(seed);
      BW_CHECK(broken.empty());
    }
  }
}
