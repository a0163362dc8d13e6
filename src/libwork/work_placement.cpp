#include "work_placement.h"

#include <algorithm>
#include <limits>
#include <ranges>

namespace briarwind {

namespace {

struct open_worker
{
  worker_entry* mWorker = nullptr;
  int mFits = 0;
};

int FitsNow(const worker_entry& aWorker, const ready_unit& aUnit)
{
  return std::min(FitCount(aWorker.Free(), RoomOf(aUnit.Spec())), StepLimit(aWorker, aUnit));
}

// Best fit: the fullest workers that still hold a task come first, so that whole workers stay free
// for those that need them.
std::vector<open_worker> Open(const std::vector<worker_entry*>& aWorkers, const ready_unit& aUnit)
{
  std::vector<open_worker> open;
  for (worker_entry* worker : aWorkers) {
    if (const int fits = FitsNow(*worker, aUnit); fits > 0) {
      open.push_back({ worker, fits });
    }
  }
  std::ranges::sort(open, [&](const open_worker& aLeft, const open_worker& aRight) {
    const auto key = [&](const open_worker& aOpen) {
      const task_demand free = aOpen.mWorker->Free();
      return std::tuple(aOpen.mWorker->mFailuresInRow,
                        aOpen.mWorker->mLastDone < aUnit.mProvenSince, free.mAccelerators,
                        free.mMilliCores, std::string_view(aOpen.mWorker->mInfo.mId));
    };
    return key(aLeft) < key(aRight);
  });
  return open;
}

// A task that failed on a worker goes elsewhere as long as there is another.
std::vector<task_place> Fill(const ready_unit& aUnit, const std::vector<int>& aTasks,
                             std::vector<open_worker> aOpen)
{
  std::vector<task_place> places;
  const step_entry& step = aUnit.Entry();
  for (const int index : aTasks) {
    const task_entry& task = step.mTasks[static_cast<std::size_t>(index)];
    const auto fits = [](const open_worker& aWorker) { return aWorker.mFits > 0; };
    auto found = std::ranges::find_if(aOpen, [&](const open_worker& aWorker) {
      return fits(aWorker) && !task.mFailedOn.contains(aWorker.mWorker->mInfo.mId);
    });
    if (found == aOpen.end()) {
      found = std::ranges::find_if(aOpen, fits);
    }
    if (found == aOpen.end()) {
      break;
    }
    places.emplace_back(index, found->mWorker);
    --found->mFits;
  }
  return places;
}

std::vector<task_place> FillGroup(const ready_unit& aUnit, const std::vector<int>& aTasks,
                                  const std::vector<worker_entry*>& aWorkers)
{
  std::vector<task_place> places = Fill(aUnit, aTasks, Open(aWorkers, aUnit));
  if (aUnit.Spec().mGang && places.size() != aTasks.size()) {
    places.clear();
  }
  return places;
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
  std::vector<worker_entry*> there;
  std::ranges::copy_if(aWorkers, std::back_inserter(there),
                       [&](const worker_entry* aWorker) { return aWorker->mInfo.mRack == aRack; });
  return there;
}

// The rack with the least room that holds the whole gang.
std::vector<task_place> FillOneRack(const ready_unit& aUnit, const std::vector<int>& aTasks,
                                    const std::vector<worker_entry*>& aWorkers)
{
  std::vector<worker_group> racks = GroupByRack(aWorkers);
  std::ranges::stable_sort(
    racks, {}, [](const worker_group& aRack) { return FreeAccelerators(aRack.mWorkers); });
  for (const worker_group& rack : racks) {
    std::vector<task_place> places = FillGroup(aUnit, aTasks, rack.mWorkers);
    if (!places.empty()) {
      return places;
    }
  }
  return {};
}

} // namespace

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

bool IsBusy(const std::vector<worker_entry*>& aWorkers)
{
  int used = 0;
  int all = 0;
  for (const worker_entry* each : aWorkers) {
    used += each->mUsed.mAccelerators;
    all += each->mInfo.mCapacity.mAccelerators;
  }
  return 2 * used >= all;
}

int FitCount(const task_demand& aRoom, const task_demand& aDemand)
{
  constexpr int kMost = std::numeric_limits<int>::max();
  const auto fits = [](std::int64_t aHave, std::int64_t aNeed) {
    return aNeed <= 0 ? kMost : static_cast<int>(std::max<std::int64_t>(aHave, 0) / aNeed);
  };
  return std::min({ fits(aRoom.mAccelerators, aDemand.mAccelerators),
                    fits(aRoom.mMilliCores, aDemand.mMilliCores),
                    fits(aRoom.mMemoryMb, aDemand.mMemoryMb) });
}

int StepLimit(const worker_entry& aWorker, const ready_unit& aUnit)
{
  const int probes = ProbeLimit(aWorker, aUnit);
  const int limit = aUnit.Spec().mPerWorkerLimit;
  if (limit <= 0) {
    return probes;
  }
  const auto first = aWorker.mRuns.lower_bound({ aUnit.Task(0), 0 });
  int there = 0;
  for (auto each = first; each != aWorker.mRuns.end(); ++each) {
    const task_id& task = each->first.mTask;
    if (task.mJob != aUnit.mJob->mSpec.mId || task.mOccurrence != aUnit.mOccurrence->mNumber ||
        task.mStep != aUnit.mStep) {
      break;
    }
    ++there;
  }
  there +=
    static_cast<int>(std::ranges::count_if(aUnit.Entry().mTasks, [&](const task_entry& aTask) {
      return aTask.mPhase == task_phase::kClaimed && aTask.mWorker == aWorker.mInfo.mId;
    }));
  return std::min(probes, std::max(limit - there, 0));
}

// A worker whose last run failed shows with one run whether it is well again; a gang would lose the
// work of all its members there.
int ProbeLimit(const worker_entry& aWorker, const ready_unit& aUnit)
{
  if (aWorker.mFailuresInRow == 0) {
    return std::numeric_limits<int>::max();
  }
  const bool idle = aWorker.mRuns.empty() && aWorker.mClaimed == task_demand{};
  return idle && aUnit.mTakesProbes ? 1 : 0;
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
                            const std::vector<worker_entry*>& aWorkers, bool aAnywhere)
{
  const work_step& spec = aUnit.Spec();
  if (!spec.mDataRack.empty()) {
    std::vector<task_place> near = FillGroup(aUnit, aTasks, OnRack(aWorkers, spec.mDataRack));
    if (near.size() == aTasks.size() || (!near.empty() && !aAnywhere)) {
      return { std::move(near) };
    }
    if (!aAnywhere) {
      return {};
    }
  }
  if (spec.mGang && spec.mRackLocal) {
    std::vector<task_place> together = FillOneRack(aUnit, aTasks, aWorkers);
    if (!together.empty() || !aAnywhere) {
      return { std::move(together) };
    }
  }
  return { FillGroup(aUnit, aTasks, aWorkers) };
}

} // namespace briarwind
