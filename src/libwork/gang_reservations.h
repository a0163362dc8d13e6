#pragma once

#include "work_table.h"

#include <set>
#include <string>
#include <vector>

namespace briarwind {

/// Racks that are held for gangs that wait for room, so that work placed later does not keep taking
/// the capacity that comes free there. Lasts for one decision pass.
class gang_reservations
{
public:
  /// Holds the rack that is closest to having room for the gang, unless it is held already or as
  /// many racks as may be held are. Returns the rack's name; empty if none is held for the gang.
  /// @param aWorkers the workers that the gang may use
  std::string Hold(const ready_unit& aUnit, const std::vector<worker_entry*>& aWorkers);
  /// Whether the unit may be placed on the worker: it is not held, or held for a unit that comes
  /// behind this one.
  bool MayUse(const ready_unit& aUnit, const worker_entry& aWorker) const;
  /// Number of racks that are held.
  std::size_t Racks() const { return mHeld.size(); }

private:
  std::map<std::string, int> mHeld; ///< by rack: the rank of the unit that it is held for
  std::size_t mRacks = 0;
};

/// Whether the unit is a gang that has waited long enough for a reservation.
bool NeedsReservation(const ready_unit& aUnit, instant aNow);

} // namespace briarwind
