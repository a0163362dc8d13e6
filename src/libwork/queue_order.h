#pragma once

#include "organisation_ledger.h"

#include "briarwind/work_model.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
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

/// Tells which of an organisation's jobs were accepted beyond its rate, by a token bucket in the
/// order of acceptance.
class acceptance_rate
{
public:
  void Record(const std::string& aOrganisation, wall_time aAccepted, const std::string& aJob);
  /// Whether the job was accepted within aPerSecond jobs a second. Jobs beyond the rate take
  /// nothing from the rate of those after them. Jobs that are not remembered any more count as
  /// within.
  bool IsWithin(const std::string& aOrganisation, wall_time aAccepted, const std::string& aJob,
                double aPerSecond);

private:
  struct history
  {
    std::map<std::pair<wall_time, std::string>, bool> mIsWithin; ///< by acceptance
    double mPerSecond = 0; ///< rate that mIsWithin was determined by; 0: not determined
  };

  static void FillBucket(history& aHistory, double aPerSecond);

  std::map<std::string, history> mHistories;
};

} // namespace briarwind
