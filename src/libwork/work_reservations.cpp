#include "gang_reservations.h"
#include "work_placement.h"
#include "work_table.h"

#include <algorithm>

namespace briarwind {

namespace {

// Capacity that becomes free on one worker.
struct release
{
  instant mAt;
  std::size_t mWorker = 0; ///< index into the workers
  task_demand mDemand;
};

} // namespace

// A later start misses the unit's objective, and idle capacity would cost more than the unit's own
// work.
instant work_core::state::LatestUsefulStart(const ready_unit& aUnit, instant aNow)
{
  return std::max(aUnit.mObjective - aUnit.mExpectedTime, aNow + aUnit.mExpectedTime);
}

// A run that has exceeded its expected time is expected to exceed it by as much again.
std::optional<instant> work_core::state::ExpectedRelease(const run_id& aRun,
                                                         const run_entry& aEntry, instant aNow)
{
  if (aEntry.mPhase == run_phase::kStopping) {
    return aNow;
  }
  if (aEntry.mLongRunning) {
    return std::nullopt;
  }
  const instant end = ExpectedEnd(aRun, aEntry);
  return end < aNow ? aNow + (aNow - end) : end;
}

// Runs end one after the other until the tasks fit. A claim becomes a run of unknown length within
// a stop time; its capacity counts as free by aBy.
std::optional<instant> work_core::state::ExpectedRoomAt(const ready_unit& aUnit,
                                                        const std::vector<worker_entry*>& aWorkers,
                                                        instant aBy, instant aNow)
{
  const task_demand demand = CapacityDemand(aUnit.Spec());
  const int needed = static_cast<int>(aUnit.Entry().mTasks.size());
  std::vector<task_demand> free;
  std::vector<int> limits;
  std::vector<release> releases;
  int fitting = 0;
  const auto fits = [&](std::size_t aWorker) {
    return std::min(FitCount(free[aWorker], demand), limits[aWorker]);
  };
  for (const worker_entry* worker : aWorkers) {
    const std::size_t index = free.size();
    free.push_back(worker->Free());
    limits.push_back(std::min(StepLimit(*worker, aUnit), needed));
    fitting += fits(index);
    for (const auto& [id, run] : worker->mRuns) {
      if (const auto end = ExpectedRelease(id, run, aNow)) {
        releases.push_back({ *end, index, run.mDemand });
      }
    }
    if (worker->mClaimed != task_demand{}) {
      releases.push_back({ aBy, index, worker->mClaimed });
    }
  }
  std::erase_if(releases, [&](const release& aEach) { return aEach.mAt > aBy; });
  std::ranges::sort(releases, {}, &release::mAt);
  instant at = aNow;
  for (const release& each : releases) {
    if (fitting >= needed) {
      break;
    }
    fitting -= fits(each.mWorker);
    free[each.mWorker] += each.mDemand;
    fitting += fits(each.mWorker);
    at = each.mAt;
  }
  return fitting >= needed ? std::optional(at) : std::nullopt;
}

// While a gang waits for the rack of its data, it would not use another one.
std::string work_core::state::ReserveRack(const ready_unit& aUnit, gang_reservations& aReservations,
                                          instant aNow)
{
  std::vector<worker_entry*> usable = UsableWorkers(aUnit, aNow);
  if (WaitsForLocality(aUnit, usable, aNow)) {
    std::erase_if(usable,
                  [&](const worker_entry* aWorker) { return IsRemote(*aWorker, aUnit.Spec()); });
  }
  return aReservations.Hold(aUnit, usable, [&](const std::vector<worker_entry*>& aWorkers) {
    return ExpectedRoomAt(aUnit, aWorkers, LatestUsefulStart(aUnit, aNow), aNow);
  });
}

} // namespace briarwind
