#pragma once

#include "briarwind/cluster.h"
#include "briarwind/finding.h"
#include "briarwind/settings_model.h"

#include <span>
#include <string>
#include <vector>

namespace briarwind {

/// The members of one cell that are placed on one worker.
struct cell_part
{
  std::string mWorker;
  int mMembers = 0;

  bool operator==(const cell_part&) const = default;
};

/// One guaranteed gang and the workers that it is bound to.
struct guarantee_cell
{
  std::string mOrganisation;
  std::string mGuarantee;
  int mCopy = 0;
  std::vector<cell_part> mParts; ///< empty when no place was found

  bool operator==(const guarantee_cell&) const = default;
};

/// Binds each guaranteed gang to workers, without overlap between gangs. The result is a pure
/// function of the arguments and does not depend on the order of the workers. Workers that are
/// leaving or in a withdrawn domain hold no cell. A cell on other workers keeps the place that it
/// has with all workers in service, unless only a new binding gives every gang a place.
std::vector<guarantee_cell> BindGuarantees(const settings_view& aSettings,
                                           std::span<const worker_info> aWorkers);

/// Reports each guarantee that cannot be met together with the others: first with all workers in
/// service, then, if all are met and there are several failure domains, with each one of them out
/// of service. The place of a finding is `/organisations/<name>`. Withdrawals in force are ignored,
/// because the check covers the guarantees that the settings declare, not the present state of the
/// cluster.
findings CheckGuarantees(const settings_view& aSettings, std::span<const worker_info> aWorkers);

} // namespace briarwind
