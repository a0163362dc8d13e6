#include "testing/fleet_simulation.h"

#include "briarwind/testing.h"

#include <fmt/format.h>
#include <rapidcheck.h>

#include <array>

using namespace briarwind;
using namespace briarwind::testing;

namespace {

work_job RandomJob(int aNumber, std::mt19937_64& aRandom)
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

// Injects one random fault, or clears the faults of orders, polls and writes.
void InjectFault(fleet_simulation& aFleet, std::mt19937_64& aRandom)
{
  const auto worker = [&] {
    return static_cast<int>(aRandom() % static_cast<std::uint64_t>(aFleet.WorkerCount()));
  };
  switch (aRandom() % 10) {
    case 0:
      aFleet.ChangeLeader();
      return;
    case 1:
      aFleet.SetPartitioned(worker(), true);
      return;
    case 2:
    case 3:
      aFleet.SetPartitioned(worker(), false);
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
      aFleet.mFaults.mDelayedOrder = 0.1;
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

void ClearFaults(fleet_simulation& aFleet)
{
  aFleet.mFaults = {};
  for (int i = 0; i < aFleet.WorkerCount(); ++i) {
    aFleet.SetPartitioned(i, false);
    aFleet.SetListed(i, true);
  }
}

// Limits between a third of the fleet and all of it, so that they bind and each gang fits at times.
void ChangeLimits(fleet_simulation& aFleet, work_settings aSettings, std::mt19937_64& aRandom)
{
  const auto pick = [&](std::int64_t aFrom, std::int64_t aTo) {
    return std::uniform_int_distribution<std::int64_t>(aFrom, aTo)(aRandom);
  };
  for (const char* each : { "o1", "o2", "o3" }) {
    organisation_policy& policy = aSettings.mOrganisations[each];
    policy.mWeight = static_cast<double>(pick(1, 40)) / 10;
    policy.mMaxInUse.mAccelerators = static_cast<int>(pick(8, 48));
    policy.mMaxInUse.mMilliCores = pick(0, 1) == 0 ? 0 : pick(60'000, 700'000);
    policy.mMaxInUse.mMemoryMb = pick(0, 1) == 0 ? 0 : pick(100'000, 1'500'000);
  }
  aFleet.SetSettings(aSettings);
}

// Submits random jobs of organisations whose limits change, while injecting random faults and
// cancelling jobs; then lifts the limits and clears all faults. Returns the first violated
// invariant, or an error if a job is not finished; empty on success.
std::string RunLimitedScenario(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  fleet_simulation fleet(6, aSeed);
  work_settings settings;
  settings.mVersion = 1;
  settings.mQueues["urgent"] = { "pool", 0, 3, 1.5, milliseconds(250) };
  settings.mQueues["batch"] = { "pool", 1, 3, 3, milliseconds(1'000) };
  ChangeLimits(fleet, settings, random);
  fleet.Run(milliseconds(500));
  for (int i = 0; i < 24 && fleet.mViolations.empty(); ++i) {
    fleet.Submit(RandomJob(i, random), milliseconds(200 + random() % 4'000));
    if (random() % 3 == 0) {
      fleet.Cancel(fmt::format("job{:03}", random() % static_cast<std::uint64_t>(i + 1)));
    }
    if (random() % 4 == 0) {
      ChangeLimits(fleet, settings, random);
    }
    InjectFault(fleet, random);
    fleet.Run(milliseconds(random() % 800));
  }
  ClearFaults(fleet);
  fleet.Run(milliseconds(15'000));
  fleet.SetSettings(settings);
  fleet.Run(milliseconds(60'000));
  if (!fleet.mViolations.empty()) {
    return fleet.mViolations.front();
  }
  return fleet.AllFinished() ? std::string() : "a job is not finished";
}

// Submits random jobs while injecting random faults, then clears all faults. Returns the first
// violated invariant, or an error if a job is not finished; empty on success.
std::string RunRandomScenario(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  fleet_simulation fleet(6, aSeed);
  for (int i = 0; i < 14 && fleet.mViolations.empty(); ++i) {
    fleet.Submit(RandomJob(i, random), milliseconds(200 + random() % 2'500));
    if (random() % 6 == 0) {
      fleet.Cancel(fmt::format("job{:03}", i));
    }
    InjectFault(fleet, random);
    fleet.Run(milliseconds(random() % 1'500));
  }
  ClearFaults(fleet);
  fleet.Run(milliseconds(60'000));
  if (!fleet.mViolations.empty()) {
    return fleet.mViolations.front();
  }
  return fleet.AllFinished() ? std::string() : "a job is not finished";
}

} // namespace

// Guards against duplicate runs, overcommitted workers, steps started too early and jobs that never
// finish, under random combinations of leader changes, partitions, worker crashes, registry gaps,
// lost answers, delayed orders and slow store writes.
BW_STORY("the scheduling invariants hold under random faults")
{
  BW_SECTION(
    "no task runs twice, no worker exceeds its capacity, no step starts early, all jobs finish")
  {
    BW_CHECK(rc::check([](std::uint64_t aSeed) {
      const std::string violation = RunRandomScenario(aSeed);
      if (!violation.empty()) {
        RC_FAIL(violation);
      }
    }));
  }
  BW_SECTION("the invariants hold for seeds that failed before")
  {
    // 350784940: a start order had reached the next incarnation of a worker, which the next leader
    // assumed to have no runs. The other seeds failed while that fault was being corrected.
    constexpr std::array<std::uint64_t, 5> kRegressionSeeds{ 350'784'940, 94'971,
                                                             13'878'608'620'953, 123, 38'897 };
    for (const std::uint64_t seed : kRegressionSeeds) {
      const std::string violation = RunRandomScenario(seed);
      BW_CHECK(violation.empty());
    }
  }
}

// Guards against starts above the limit of an organisation, as seen from the workers: by runs that
// the leader does not count, such as those of cancelled jobs after a change of leader, late starts
// and runs on lost workers, and by limits that are lowered.
BW_STORY("organisations stay within limits that change under random faults")
{
  BW_SECTION("no start brings an organisation above its limit, all jobs finish without limits")
  {
    BW_CHECK(rc::check([](std::uint64_t aSeed) {
      const std::string violation = RunLimitedScenario(aSeed);
      if (!violation.empty()) {
        RC_FAIL(violation);
      }
    }));
  }
}
