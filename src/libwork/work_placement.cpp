#include "work_placement.h"

#include <algorithm>
#include <array>
#include <limits>
#include <ranges>

namespace briarwind {

namespace {

struct available_worker
{
  worker_entry* mWorker = nullptr;
  int mSlots = 0;
  bool mInterferes = false;
};

int FreeSlots(const worker_entry& aWorker, const ready_unit& aUnit)
{
  return std::min(FitCount(aWorker.Free(), CapacityDemand(aUnit.Spec())),
                  StepLimit(aWorker, aUnit));
}

// Sum of the free shares of all resources. Counting accelerators first would put small tasks onto
// workers whose memory or cores a large task needs.
double FreeShare(const task_demand& aFree, const task_demand& aCapacity)
{
  const auto share = [](std::int64_t aPart, std::int64_t aWhole) {
    return static_cast<double>(aPart) / static_cast<double>(std::max<std::int64_t>(aWhole, 1));
  };
  return share(aFree.mAccelerators, aCapacity.mAccelerators) +
         share(aFree.mMilliCores, aCapacity.mMilliCores) +
         share(aFree.mMemoryMb, aCapacity.mMemoryMb);
}

std::vector<available_worker> AvailableWorkers(const std::vector<worker_entry*>& aWorkers,
                                               const ready_unit& aUnit)
{
  std::vector<available_worker> available;
  for (worker_entry* worker : aWorkers) {
    if (const int fits = FreeSlots(*worker, aUnit); fits > 0) {
      available.push_back({ worker, fits, InterferingKind(*worker, aUnit) != 0 });
    }
  }
  return available;
}

// Work that is not near its objective gains nothing from a faster worker, and is packed as tightly
// as possible. For gangs, see kGangStages.
speed_class RankedSpeed(const worker_entry& aWorker, const ready_unit& aUnit)
{
  return aUnit.mIsNearObjective && !aUnit.Spec().mGang ? aWorker.mSpeed : speed_class::kUsual;
}

// Best fit: the fullest workers that still have capacity for a task come first, so that entire
// workers stay free for tasks that need them. Workers without recent failures come before all
// others, then those that don't flap, then, for work that may miss its objective, the faster ones,
// then those whose runs don't interfere with the unit's tasks.
void SortByFit(std::vector<available_worker>& aWorkers, const ready_unit& aUnit)
{
  std::ranges::sort(aWorkers, [&](const available_worker& aLeft, const available_worker& aRight) {
    const auto key = [&](const available_worker& aAvailable) {
      const task_demand free = aAvailable.mWorker->Free();
      const double emptiness =
        aUnit.mFitsShape ? FreeShare(free, aAvailable.mWorker->mInfo.mCapacity) : 0;
      return std::tuple(
        aAvailable.mWorker->mFailuresInRow,
        aAvailable.mWorker->mLastSuccessAt < aUnit.mPreferSuccessSince,
        aAvailable.mWorker->mIsFlapping, aUnit.Spec().mGang && aAvailable.mWorker->mHasJustReturned,
        RankedSpeed(*aAvailable.mWorker, aUnit), aAvailable.mInterferes, emptiness,
        free.mAccelerators, free.mMilliCores, std::string_view(aAvailable.mWorker->mInfo.mId));
    };
    return key(aLeft) < key(aRight);
  });
}

bool HasNoFailures(const worker_entry& aWorker)
{
  return aWorker.mFailuresInRow == 0;
}

bool IsSteady(const worker_entry& aWorker)
{
  return HasNoFailures(aWorker) && !aWorker.mIsFlapping && !aWorker.mHasJustReturned;
}

bool IsSteadyAndNotSlow(const worker_entry& aWorker)
{
  return IsSteady(aWorker) && aWorker.mSpeed != speed_class::kSlow;
}

// The workers that a gang may use, tried in this order until it fits. A gang is lost with any of
// its members and goes at the pace of the slowest. If it needs a single slow worker, the speed of
// the others doesn't matter.
constexpr std::array kGangStages{
  &IsSteadyAndNotSlow,
  &IsSteady,
  &HasNoFailures,
  +[](const worker_entry&) { return true; },
};

// A task that failed on a worker is placed on another one if possible.
std::vector<task_place> AssignTasks(const ready_unit& aUnit, const std::vector<int>& aTasks,
                                    std::vector<available_worker> aAvailable)
{
  std::vector<task_place> places;
  const step_entry& step = aUnit.Entry();
  for (const int index : aTasks) {
    const task_entry& task = step.mTasks[static_cast<std::size_t>(index)];
    const auto fits = [](const available_worker& aWorker) { return aWorker.mSlots > 0; };
    auto found = std::ranges::find_if(aAvailable, [&](const available_worker& aWorker) {
      return fits(aWorker) && !task.mFailedOn.contains(aWorker.mWorker->mInfo.mId);
    });
    if (found == aAvailable.end()) {
      found = std::ranges::find_if(aAvailable, fits);
    }
    if (found == aAvailable.end()) {
      break;
    }
    places.emplace_back(index, found->mWorker);
    --found->mSlots;
  }
  return places;
}

bool HasSlots(const std::vector<available_worker>& aAvailable, std::size_t aTasks)
{
  std::size_t slots = 0;
  for (const available_worker& each : aAvailable) {
    slots += std::min(static_cast<std::size_t>(each.mSlots), aTasks);
  }
  return slots >= aTasks;
}

// Places the whole gang on workers of one stage, or none of it.
std::vector<task_place> AssignGang(const ready_unit& aUnit, const std::vector<int>& aTasks,
                                   const std::vector<available_worker>& aAvailable,
                                   bool (*aIsInStage)(const worker_entry&))
{
  std::vector<available_worker> inStage;
  std::ranges::copy_if(
    aAvailable, std::back_inserter(inStage),
    [&](const available_worker& aWorker) { return aIsInStage(*aWorker.mWorker); });
  if (!HasSlots(inStage, aTasks.size())) {
    return {};
  }
  SortByFit(inStage, aUnit);
  return AssignTasks(aUnit, aTasks, std::move(inStage));
}

std::vector<task_place> AssignToGroup(const ready_unit& aUnit, const std::vector<int>& aTasks,
                                      const std::vector<worker_entry*>& aWorkers)
{
  std::vector<available_worker> available = AvailableWorkers(aWorkers, aUnit);
  if (!aUnit.Spec().mGang) {
    SortByFit(available, aUnit);
    return AssignTasks(aUnit, aTasks, std::move(available));
  }
  if (!HasSlots(available, aTasks.size())) {
    return {};
  }
  for (const auto isInStage : kGangStages) {
    std::vector<task_place> places = AssignGang(aUnit, aTasks, available, isInStage);
    if (!places.empty()) {
      return places;
    }
  }
  return {};
}

int FreeAccelerators(const std::vector<worker_entry*>& aWorkers)
{
  int sum = 0;
  for (const worker_entry* each : aWorkers) {
    sum += each->Free().mAccelerators;
  }
  return sum;
}

std::vector<worker_entry*> OnRack(const std::vector<worker_entry*>& aWorkers,
                                  const std::string& aRack)
{
  std::vector<worker_entry*> onRack;
  std::ranges::copy_if(aWorkers, std::back_inserter(onRack),
                       [&](const worker_entry* aWorker) { return aWorker->mInfo.mRack == aRack; });
  return onRack;
}

// Places the gang on the rack with the fewest free accelerators that fits all its tasks.
std::vector<task_place> AssignToOneRack(const ready_unit& aUnit, const std::vector<int>& aTasks,
                                        const std::vector<worker_entry*>& aWorkers)
{
  std::vector<worker_group> racks = GroupByRack(aWorkers);
  std::ranges::stable_sort(
    racks, {}, [](const worker_group& aRack) { return FreeAccelerators(aRack.mWorkers); });
  std::vector<std::vector<available_worker>> available;
  for (const worker_group& rack : racks) {
    available.push_back(AvailableWorkers(rack.mWorkers, aUnit));
  }
  std::erase_if(available, [&](const auto& aRack) { return !HasSlots(aRack, aTasks.size()); });
  for (const auto isInStage : kGangStages) {
    for (const std::vector<available_worker>& rack : available) {
      std::vector<task_place> places = AssignGang(aUnit, aTasks, rack, isInStage);
      if (!places.empty()) {
        return places;
      }
    }
  }
  return {};
}

} // namespace

task_kind InterferingKind(const worker_entry& aWorker, const ready_unit& aUnit)
{
  if (aUnit.mInterfering.empty()) {
    return 0;
  }
  const auto found = std::ranges::find_if(aWorker.mKinds, [&](const auto& aKind) {
    return std::ranges::binary_search(aUnit.mInterfering, aKind.first);
  });
  return found == aWorker.mKinds.end() ? 0 : found->first;
}

const worker_entry* FirstWithoutSeparation(ready_unit aUnit,
                                           const std::vector<worker_entry*>& aWorkers)
{
  aUnit.mInterfering.clear();
  const std::vector<available_worker> available = AvailableWorkers(aWorkers, aUnit);
  return available.empty() ? nullptr : available.front().mWorker;
}

std::vector<int> WaitingTasks(const ready_unit& aUnit)
{
  std::vector<int> waiting;
  const step_entry& step = aUnit.Entry();
  for (std::size_t i = 0; i < step.mTasks.size(); ++i) {
    if (step.mTasks[i].mPhase == task_phase::kWaiting) {
      waiting.push_back(static_cast<int>(i));
    }
  }
  return waiting;
}

// Workers without accelerators are judged by their fuller resource.
bool IsBusy(const std::vector<worker_entry*>& aWorkers)
{
  task_demand used;
  task_demand all;
  for (const worker_entry* each : aWorkers) {
    used += each->mUsed;
    all += each->mInfo.mCapacity;
  }
  if (all.mAccelerators > 0) {
    return 2 * used.mAccelerators >= all.mAccelerators;
  }
  return 2 * used.mMilliCores >= all.mMilliCores || 2 * used.mMemoryMb >= all.mMemoryMb;
}

int FitCount(const task_demand& aFree, const task_demand& aDemand)
{
  constexpr int kMax = std::numeric_limits<int>::max();
  const auto fits = [](std::int64_t aHave, std::int64_t aNeed) {
    return aNeed <= 0 ? kMax : static_cast<int>(std::max<std::int64_t>(aHave, 0) / aNeed);
  };
  return std::min({ fits(aFree.mAccelerators, aDemand.mAccelerators),
                    fits(aFree.mMilliCores, aDemand.mMilliCores),
                    fits(aFree.mMemoryMb, aDemand.mMemoryMb) });
}

int StepLimit(const worker_entry& aWorker, const ready_unit& aUnit)
{
  const int probeLimit = ProbeLimit(aWorker, aUnit);
  const int limit = aUnit.Spec().mPerWorkerLimit;
  if (limit <= 0) {
    return probeLimit;
  }
  const auto first = aWorker.mRuns.lower_bound({ aUnit.Task(0), 0 });
  int onWorker = 0;
  for (auto each = first; each != aWorker.mRuns.end(); ++each) {
    const task_id& task = each->first.mTask;
    if (task.mJob != aUnit.mJob->mSpec.mId || task.mOccurrence != aUnit.mOccurrence->mNumber ||
        task.mStep != aUnit.mStep) {
      break;
    }
    ++onWorker;
  }
  onWorker +=
    static_cast<int>(std::ranges::count_if(aUnit.Entry().mTasks, [&](const task_entry& aTask) {
      return aTask.mPhase == task_phase::kClaimed && aTask.mWorker == aWorker.mInfo.mId;
    }));
  return std::min(probeLimit, std::max(limit - onWorker, 0));
}

int LargestFit(const worker_entry& aWorker, const ready_unit& aUnit)
{
  const work_step& spec = aUnit.Spec();
  const int most = spec.mPerWorkerLimit > 0 ? spec.mPerWorkerLimit : spec.mCount;
  return std::min(
    FitCount(aWorker.mInfo.mCapacity - aWorker.mUsedByLongRunning, CapacityDemand(spec)), most);
}

bool CanEverFit(const ready_unit& aUnit, const std::vector<worker_entry*>& aWorkers, int aTasks)
{
  int fitting = 0;
  return std::ranges::any_of(aWorkers, [&](const worker_entry* aWorker) {
    fitting += LargestFit(*aWorker, aUnit);
    return fitting >= aTasks;
  });
}

bool CanEverFitLocally(const ready_unit& aUnit, const std::vector<worker_entry*>& aWorkers)
{
  const work_step& spec = aUnit.Spec();
  if (!spec.mDataRack.empty()) {
    return CanEverFit(aUnit, OnRack(aWorkers, spec.mDataRack), spec.mGang ? spec.mCount : 1);
  }
  const std::vector<worker_group> racks = GroupByRack(aWorkers);
  return std::ranges::any_of(racks, [&](const worker_group& aRack) {
    return CanEverFit(aUnit, aRack.mWorkers, spec.mCount);
  });
}

// A worker whose last run failed receives a single run to show whether the worker is healthy again.
// A gang does not probe at first, since a failure there would lose the work of all its members.
int ProbeLimit(const worker_entry& aWorker, const ready_unit& aUnit)
{
  if (aWorker.mFailuresInRow == 0) {
    return std::numeric_limits<int>::max();
  }
  const bool idle = aWorker.mRuns.empty() && aWorker.mClaimed == task_demand{};
  return idle && aUnit.mMayProbe ? 1 : 0;
}

std::vector<worker_group> GroupByRack(const std::vector<worker_entry*>& aWorkers)
{
  std::map<std::string, std::vector<worker_entry*>> racks;
  for (worker_entry* each : aWorkers) {
    racks[each->mInfo.mRack].push_back(each);
  }
  std::vector<worker_group> groups;
  for (auto& [rack, workers] : racks) {
    groups.push_back({ rack, std::move(workers) });
  }
  return groups;
}

placement_result FindPlaces(const ready_unit& aUnit, const std::vector<int>& aTasks,
                            const std::vector<worker_entry*>& aWorkers, bool aIgnoreLocality)
{
  const work_step& spec = aUnit.Spec();
  if (!spec.mDataRack.empty()) {
    std::vector<task_place> near = AssignToGroup(aUnit, aTasks, OnRack(aWorkers, spec.mDataRack));
    if (near.size() == aTasks.size() || (!near.empty() && !aIgnoreLocality)) {
      return { std::move(near) };
    }
    if (!aIgnoreLocality) {
      return {};
    }
  }
  if (spec.mGang && spec.mRackLocal) {
    std::vector<task_place> together = AssignToOneRack(aUnit, aTasks, aWorkers);
    if (!together.empty() || !aIgnoreLocality) {
      return { std::move(together) };
    }
  }
  return { AssignToGroup(aUnit, aTasks, aWorkers) };
}

} // namespace briarwind
