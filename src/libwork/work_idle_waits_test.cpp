#include "testing/fleet_simulation.h"
#include "testing/sample_jobs.h"

#include "briarwind/testing.h"

#include <algorithm>

using namespace briarwind;
using namespace briarwind::testing;

namespace {

constexpr milliseconds kLong{ 60'000 };

// The reason for which the only waiting step waits beside idle workers; kNone if there is none.
wait_reason OnlyReason(fleet_simulation& aFleet)
{
  const std::vector<idle_wait> waits = aFleet.Core().IdleWaits();
  const auto found = std::ranges::find(waits, 1, &idle_wait::mSteps);
  return found == waits.end() ? wait_reason::kNone : found->mReason;
}

work_job WithLabel(work_job aJob, const std::string& aLabel)
{
  aJob.mSteps[0].mRequiredLabel = aLabel;
  return aJob;
}

} // namespace

// Guards against jobs that wait beside idle workers without a trace of the cause. Four workers of
// eight accelerators form one rack.
BW_STORY("a ready step waits beside workers with room for it")
{
  fleet_simulation fleet(4, 1);
  work_settings settings = BatchSettings();
  settings.mVersion = 1;
  settings.mQueues["low"] = { "pool", 2, 3, 3, milliseconds(3'000) };
  const auto start = [&] {
    fleet.SetSettings(settings);
    fleet.Run(milliseconds(200));
  };
  const auto reasonOf = [&](const work_job& aJob) {
    fleet.Submit(aJob, kLong);
    fleet.Run(milliseconds(2'500));
    return OnlyReason(fleet);
  };

  BW_SECTION("no worker has the label that it requires")
  {
    start();
    BW_CHECK(reasonOf(WithLabel(Job("a", "batch", { Step(1, 1) }), "other")) ==
             wait_reason::kLabel);
  }
  BW_SECTION("the workers are in a withdrawn failure domain")
  {
    settings.mWithdrawnDomains = { "d1", "d2" };
    start();
    BW_CHECK(reasonOf(Job("a", "batch", { Step(1, 1) })) == wait_reason::kWithdrawn);
  }
  BW_SECTION("the advisor approves no worker")
  {
    settings.mQueues["batch"].mAsksAdvice = true;
    start();
    BW_CHECK(reasonOf(Job("a", "batch", { Step(1, 1) })) == wait_reason::kAdvice);
  }
  BW_SECTION("each worker has as many of its tasks as it may have")
  {
    start();
    work_job job = Job("a", "batch", { Step(6, 1) });
    job.mSteps[0].mPerWorkerLimit = 1;
    BW_CHECK(reasonOf(job) == wait_reason::kPerWorkerLimit);
  }
  BW_SECTION("its gang does not fit as a whole")
  {
    start();
    BW_CHECK(reasonOf(Gang("a", "batch", 5, 8)) == wait_reason::kGang);
  }
  BW_SECTION("its organisation's limit is used up")
  {
    settings.mOrganisations["o1"] = { 1, { 4, 0, 0 } };
    start();
    BW_CHECK(reasonOf(Job("a", "batch", { Step(6, 1) })) == wait_reason::kOrganisationLimitUsed);
  }
  BW_SECTION("the rack is reserved for a gang")
  {
    start();
    fleet.Submit(Job("single", "low", { Step(1, 8) }), kLong);
    fleet.Run(milliseconds(100));
    work_job gang = Gang("gang", "batch", 4, 8);
    gang.mSteps[0].mEstimate = kLong;
    fleet.Submit(gang, kLong);
    fleet.Run(milliseconds(1'500));
    work_job behind = Job("b", "low", { Step(1, 1) });
    behind.mSteps[0].mEstimate = kLong;
    fleet.Submit(behind, kLong);
    fleet.Run(milliseconds(2'500));
    const std::vector<idle_wait> waits = fleet.Core().IdleWaits();
    BW_CHECK(std::ranges::find(waits, wait_reason::kReserved, &idle_wait::mReason) != waits.end());
    BW_EQUAL(std::size_t{ 1 }, fleet.Core().ReservedRacks());
    BW_EQUAL(1, fleet.Events(work_event_kind::kRackReserved));
  }
  BW_SECTION("nothing is recorded once all its tasks run")
  {
    start();
    BW_CHECK(reasonOf(Job("a", "batch", { Step(8, 1) })) == wait_reason::kNone);
    BW_EQUAL(0, fleet.Events(work_event_kind::kWaitsBesideIdle));
  }
}
