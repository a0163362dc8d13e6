#include "work_table.h"

#include <algorithm>

namespace briarwind {

namespace {

constexpr int kWhole = 100;
// Below this a run's speed says little: percents are whole numbers, and reports are a poll apart.
constexpr int kLeastProgress = 5;

} // namespace

// Whether the run should be over by then, from its speed so far; from its declared time where it
// has shown none yet.
bool work_core::state::EndsBefore(const run_id& aRun, const run_entry& aEntry, instant aBy)
{
  const int done = aEntry.mPercent - aEntry.mFirstPercent;
  if (aEntry.mFirstPercent >= 0 && done >= kLeastProgress) {
    const auto took = aEntry.mProgressAt - aEntry.mFirstListed;
    return aEntry.mProgressAt + took * (kWhole - aEntry.mPercent) / done <= aBy;
  }
  const work_step* step = FindSpec(aRun.mTask);
  return step != nullptr && aEntry.mStartedAt + step->mEstimate <= aBy;
}

// A worker that leaves cuts off what still runs there, and one that is gone answers nothing: its
// runs could be started elsewhere only once their leases have run out. What will not end in time is
// stopped while the worker can still tell of it, which also saves its checkpoint.
void work_core::state::NoteDeparture(worker_entry& aWorker, instant aNow)
{
  if (!aWorker.mInfo.mLeaving || !aWorker.mInfo.mStaysFor) {
    aWorker.mLeavesAt = {};
    return;
  }
  const instant leaves = aNow + *aWorker.mInfo.mStaysFor - mOptions.mRegistryInterval;
  aWorker.mLeavesAt = aWorker.mLeavesAt == instant() ? leaves : std::min(leaves, aWorker.mLeavesAt);
  std::vector<run_id> late;
  for (const auto& [id, run] : aWorker.mRuns) {
    const work_step* step = FindSpec(id.mTask);
    const bool lasts = step != nullptr && step->mLasting;
    if (run.mPhase == run_phase::kRunning && !lasts && !EndsBefore(id, run, aWorker.mLeavesAt)) {
      late.push_back(id);
    }
  }
  for (const run_id& each : late) {
    StopOthersOfGang(each, aNow);
    StopRun(aWorker, each, "its worker leaves before it can end", aNow);
  }
}

} // namespace briarwind
