#pragma once

#include "organisation_ledger.h"

#include "briarwind/work_model.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace briarwind {

struct ready_unit;

/// The order in which one decision pass considers the units. The units must outlive the object.
class unit_order
{
public:
  virtual ~unit_order() = default;
  /// The most entitled unit that was not returned yet; nullptr when none is left.
  virtual ready_unit* Next() = 0;
};

/// By rank and objective, or, where the ledger has policies, with weighted shares of the
/// organisations inside each rank.
/// @param aUnits sorted by rank and objective
/// @param aTotal capacity of all workers
std::unique_ptr<unit_order> MakeUnitOrder(std::vector<ready_unit>& aUnits,
                                          const organisation_ledger& aLedger,
                                          const task_demand& aTotal);

/// Tells which of an organisation's jobs were accepted beyond its rate.
class acceptance_rate
{
public:
  void Record(const std::string& aOrganisation, wall_time aAccepted);
  /// Whether fewer than aPerSecond other jobs of the organisation were accepted in the second
  /// before.
  bool IsWithin(const std::string& aOrganisation, wall_time aAccepted, double aPerSecond) const;

private:
  std::map<std::string, std::deque<wall_time>> mAccepted; ///< sorted
};

} // namespace briarwind
