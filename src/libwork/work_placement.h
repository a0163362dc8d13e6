#pragma once

#include "work_table.h"

namespace briarwind {

/// Task index and worker.
using task_place = std::pair<int, worker_entry*>;

struct placement_result
{
  std::vector<task_place> mPlaces; ///< all tasks of a gang or none; of others as many as fit
};

std::vector<int> WaitingTasks(const ready_unit& aUnit);

/// Whether at least half of the accelerators of these workers are in use.
bool IsBusy(const std::vector<worker_entry*>& aWorkers);

/// How many tasks of that demand fit into the room.
int FitCount(const task_demand& aRoom, const task_demand& aDemand);

/// How many more tasks of the unit's step the worker may take by the step's own limit.
int StepLimit(const worker_entry& aWorker, const ready_unit& aUnit);
/// The same as far as it depends on whether the worker's runs failed of late.
int ProbeLimit(const worker_entry& aWorker, const ready_unit& aUnit);

/// Workers of one rack, in the order in which racks should be tried.
struct worker_group
{
  std::string mRack;
  std::vector<worker_entry*> mWorkers;
};
std::vector<worker_group> GroupByRack(const std::vector<worker_entry*>& aWorkers);

/// Chooses among room that is free now.
/// @param aAnywhere places away from the data or over several racks will do
placement_result FindPlaces(const ready_unit& aUnit, const std::vector<int>& aTasks,
                            const std::vector<worker_entry*>& aWorkers, bool aAnywhere);

} // namespace briarwind
