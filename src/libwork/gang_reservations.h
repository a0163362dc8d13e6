#pragma once

#include "work_table.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarwind {

/// When these workers are expected to have room for a gang; nullopt if not soon enough.
using room_estimate = std::function<std::optional<instant>(const std::vector<worker_entry*>&)>;

/// Racks that are held for gangs that wait for room, so that work placed later does not keep taking
/// the capacity that comes free there. Of a rack, only the workers that the gang may use are held.
/// Lasts for one decision pass.
class gang_reservations
{
public:
  explicit gang_reservations(instant aNow)
    : mNow(aNow)
  {
  }

  /// Holds the rack that is closest to having room for the gang, unless it is held already, is not
  /// expected to have room soon enough, or as many racks as may be held are. Returns the rack's
  /// name; empty if none is held for the gang.
  /// @param aWorkers the workers that the gang may use
  std::string Hold(const ready_unit& aUnit, const std::vector<worker_entry*>& aWorkers,
                   const room_estimate& aRoomAt);
  /// Whether the unit may be placed on the worker: it is not held, or held for the unit itself or
  /// for one that comes behind it, or the unit ends before the worker is needed.
  bool MayUse(const ready_unit& aUnit, const worker_entry& aWorker) const;
  /// Number of racks that are held.
  std::size_t Racks() const { return mHeldRacks; }

private:
  struct reservation
  {
    const step_entry* mGang = nullptr;
    int mRank = 0;     ///< of the gang
    instant mNeededAt; ///< when the gang is expected to start
  };

  instant mNow;
  std::map<const worker_entry*, reservation> mHeld;
  std::size_t mHeldRacks = 0;
  std::size_t mRacks = 0; ///< the most that a gang of this pass may use
  int mEstimates = 0;     ///< made in this pass
};

/// Organisations of which a gang waits for their limit: others of their units would keep using what
/// the gang needs. Lasts for one decision pass.
class limit_holds
{
public:
  explicit limit_holds(instant aNow)
    : mNow(aNow)
  {
  }

  /// Holds back the gang's organisation until the gang is expected to start.
  void Add(const ready_unit& aGang, instant aStartsAt);
  /// Whether the unit has to wait: it does not come before such a gang of its organisation, and
  /// does not end before the gang starts.
  bool HoldsBack(const ready_unit& aUnit) const;

private:
  struct hold
  {
    int mRank = 0; ///< of the gang
    instant mStartsAt;
  };

  instant mNow;
  std::map<std::string, hold> mHolds; ///< by organisation
};

/// Whether the unit is a gang that has waited long enough for a reservation.
bool NeedsReservation(const ready_unit& aUnit, instant aNow);

/// Whether a run of the unit that starts now is expected to end by aBy.
/// @param aIsRemote the run is away from its data
bool EndsBy(const ready_unit& aUnit, bool aIsRemote, instant aBy, instant aNow);

} // namespace briarwind
