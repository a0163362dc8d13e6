#pragma once

#include "work_table.h"

namespace briarwind {

/// A task's index and the worker that it is placed on.
using task_place = std::pair<int, worker_entry*>;

struct placement_result
{
  std::vector<task_place> mPlaces; ///< of a gang all tasks or none, otherwise as many as fit
};

/// Indices of the unit's tasks in kWaiting.
std::vector<int> WaitingTasks(const ready_unit& aUnit);

/// Whether at least half of the accelerators of these workers are in use; of workers without
/// accelerators, half of the cores or of the memory.
bool IsBusy(const std::vector<worker_entry*>& aWorkers);

/// How many tasks of this demand fit into the free capacity.
int FitCount(const task_demand& aFree, const task_demand& aDemand);

/// How many more tasks of the unit's step the worker may take by the step's per-worker limit and by
/// ProbeLimit.
int StepLimit(const worker_entry& aWorker, const ready_unit& aUnit);
/// How many more tasks of the unit's step the worker may take given its recent failures.
int ProbeLimit(const worker_entry& aWorker, const ready_unit& aUnit);

/// How many tasks of the unit's step the worker could take once all its runs but the long-running
/// ones have ended.
int LargestFit(const worker_entry& aWorker, const ready_unit& aUnit);
/// Whether these workers could take that many tasks of the unit's step at once, as LargestFit says.
bool CanEverFit(const ready_unit& aUnit, const std::vector<worker_entry*>& aWorkers, int aTasks);

/// Whether a place that the unit prefers can come free: on the rack of its data for at least one
/// task, or for all tasks of a gang; without data, on one rack for all tasks of a rack-local gang.
bool CanEverFitLocally(const ready_unit& aUnit, const std::vector<worker_entry*>& aWorkers);

/// A kind on the worker that is known to interfere with the unit's tasks; 0 if there is none.
task_kind InterferingKind(const worker_entry& aWorker, const ready_unit& aUnit);
/// The worker that would come first if interference were not considered; nullptr if none has room.
const worker_entry* FirstWithoutSeparation(ready_unit aUnit,
                                           const std::vector<worker_entry*>& aWorkers);

/// The workers of one rack.
struct worker_group
{
  std::string mRack;
  std::vector<worker_entry*> mWorkers;
};
/// Groups the workers by rack, in the order of the racks' names.
std::vector<worker_group> GroupByRack(const std::vector<worker_entry*>& aWorkers);

/// Chooses workers for the tasks among capacity that is free now.
/// @param aIgnoreLocality also accept workers away from the data, or a gang spread over racks
placement_result FindPlaces(const ready_unit& aUnit, const std::vector<int>& aTasks,
                            const std::vector<worker_entry*>& aWorkers, bool aIgnoreLocality);

} // namespace briarwind
