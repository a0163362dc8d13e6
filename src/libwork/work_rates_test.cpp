#include "testing/fleet_simulation.h"
#include "testing/sample_jobs.h"

#include "briarwind/testing.h"

#include <fmt/format.h>

using namespace briarwind;
using namespace briarwind::testing;

namespace {

// Runs jobs one after the other, each with two tasks on every worker, for 12 s.
void RunSpreadJobs(fleet_simulation& aFleet, const std::string& aPrefix)
{
  for (int i = 0; i < 6; ++i) {
    work_step spread = Step(2 * aFleet.WorkerCount(), 1);
    spread.mPerWorkerLimit = 2;
    aFleet.Submit(Job(fmt::format("{}{}", aPrefix, i), "batch", { spread }), milliseconds(1'400));
    aFleet.Run(milliseconds(2'000));
  }
}

} // namespace

// Load: jobs of 24 tasks that differ by 30%, on twelve workers of which a third takes 1.25 times as
// long. Guards against judging workers by the differences between tasks.
BW_STORY("a third of the workers is 1.25 times slower")
{
  fleet_simulation fleet(12, 1);
  fleet.mTaskSpread = 0.3;
  fleet.Run(milliseconds(200));
  for (int i = 0; i < 4; ++i) {
    fleet.Worker(i).mSlowdown = 1.25;
  }
  RunSpreadJobs(fleet, "a");
  for (int i = 0; i < 12; ++i) {
    BW_EQUAL(i < 4 ? 1 : 0, fleet.Events(work_event_kind::kWorkerSlow, i));
  }
  BW_CHECK(fleet.mViolations.empty());
}
