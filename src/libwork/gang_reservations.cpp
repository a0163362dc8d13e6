#include "gang_reservations.h"

#include "work_placement.h"

#include <algorithm>
#include <ranges>

namespace briarwind {

namespace {

// Runs end all the time, so a gang that is short of room often finds it within this time.
constexpr milliseconds kWaitBeforeReservation{ 1'000 };
// At most one in this many racks is held, so that a few wide gangs cannot idle the fleet.
constexpr std::size_t kRacksPerReservation = 8;

int FittingTasks(const ready_unit& aUnit, const std::vector<worker_entry*>& aWorkers)
{
  int fitting = 0;
  for (const worker_entry* each : aWorkers) {
    fitting +=
      std::min(FitCount(each->Free(), CapacityDemand(aUnit.Spec())), StepLimit(*each, aUnit));
  }
  return fitting;
}

// A gang that waits has no runs, so that its per-worker limit is not used up on any worker.
int LargestFit(const ready_unit& aUnit, const std::vector<worker_entry*>& aWorkers)
{
  const work_step& spec = aUnit.Spec();
  const int most = spec.mPerWorkerLimit > 0 ? spec.mPerWorkerLimit : spec.mCount;
  int fitting = 0;
  for (const worker_entry* each : aWorkers) {
    fitting += std::min(FitCount(each->mInfo.mCapacity, CapacityDemand(spec)), most);
  }
  return fitting;
}

} // namespace

bool NeedsReservation(const ready_unit& aUnit, instant aNow)
{
  return aUnit.Spec().mGang && !aUnit.mIsLate &&
         aNow - aUnit.Entry().mReadySince > kWaitBeforeReservation;
}

std::string gang_reservations::Hold(const ready_unit& aUnit,
                                    const std::vector<worker_entry*>& aWorkers)
{
  const std::vector<worker_group> racks = GroupByRack(aWorkers);
  mRacks = std::max(mRacks, racks.size());
  if (mHeld.size() >= std::max<std::size_t>(1, mRacks / kRacksPerReservation)) {
    return {};
  }
  const int needed = static_cast<int>(aUnit.Entry().mTasks.size());
  const worker_group* best = nullptr;
  int bestFit = 0;
  for (const worker_group& rack : racks) {
    if (mHeld.contains(rack.mRack) || LargestFit(aUnit, rack.mWorkers) < needed) {
      continue;
    }
    const int fitting = FittingTasks(aUnit, rack.mWorkers);
    if (best == nullptr || fitting > bestFit) {
      best = &rack;
      bestFit = fitting;
    }
  }
  if (best == nullptr) {
    return {};
  }
  mHeld.emplace(best->mRack, aUnit.mRank);
  return best->mRack;
}

bool gang_reservations::MayUse(const ready_unit& aUnit, const worker_entry& aWorker) const
{
  const auto held = mHeld.find(aWorker.mInfo.mRack);
  return held == mHeld.end() || aUnit.mRank < held->second;
}

} // namespace briarwind
