#pragma once

#include "briarwind/cluster.h"
#include "briarwind/finding.h"
#include "briarwind/settings_model.h"

#include <span>
#include <string>
#include <vector>

namespace briarwind {

/// Members of one cell on one worker.
struct cell_part
{
  std::string mWorker;
  int mMembers = 0;

  bool operator==(const cell_part&) const = default;
};

/// One guaranteed gang, bound to concrete workers.
struct guarantee_cell
{
  std::string mOrganisation;
  std::string mGuarantee;
  int mCopy = 0;
  std::vector<cell_part> mParts; ///< empty when no place was found

  bool operator==(const guarantee_cell&) const = default;
};

/// Binds each guaranteed gang to workers, disjoint between all. A pure function of its arguments,
/// which does not depend on the order of the workers. Workers that are leaving or stand in a
/// withdrawn domain take no cell; the cells that stood elsewhere before stay where they are.
std::vector<guarantee_cell> BindGuarantees(const settings_view& aSettings,
                                           std::span<const worker_info> aWorkers);

/// Reports each guarantee that cannot be met together with the others, on all workers and again
/// with each failure domain out, the largest among them. The place is `/organisations/<name>`.
/// Withdrawals in force are left aside: this is about what the settings promise.
findings CheckGuarantees(const settings_view& aSettings, std::span<const worker_info> aWorkers);

} // namespace briarwind
