#include "start_budget.h"

#include <algorithm>
#include <limits>

namespace briarwind {

start_budget::start_budget(int aInFlight, int aWaiting, int aUnits)
  : mInFlight(aInFlight)
  , mShare(aInFlight + aWaiting <= kMaxInFlight
             ? std::numeric_limits<int>::max()
             : std::max((kMaxInFlight - aInFlight) / std::max(aUnits, 1), 1))
{
}

// Urgent units have as much again to themselves, and take what they need: they come first. A gang
// may exceed the budget once it has room for one task, since it could never start otherwise. Units
// of ordinary width keep the order in which they come, whatever is waiting behind them.
int start_budget::Allowed(int aTasks, bool aIsGang, bool aIsUrgent) const
{
  const int limit = aIsUrgent ? 2 * kMaxInFlight : kMaxInFlight;
  if (mInFlight >= limit) {
    return 0;
  }
  if (aIsGang || aTasks <= kOrdinaryTasks) {
    return aTasks;
  }
  return std::min({ aTasks, limit - mInFlight, aIsUrgent ? aTasks : mShare });
}

} // namespace briarwind
