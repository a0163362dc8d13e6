#pragma once

#include "briarwind/time.h"

#include <string_view>

namespace briarwind::bench {

/// When a scheduler may start tasks.
enum class start_rule
{
  kStoreOnly, ///< only while its own read of the store is young enough
  kAlways,    ///< by what it knows
  kLease,     ///< while its lease in the store has not lapsed
  kFreshness, ///< by briarwind::freshness
};

std::string_view ToString(start_rule aRule);

/// What a group of schedulers goes through, on a virtual clock. A domain is withdrawn in the
/// middle.
struct freshness_scenario
{
  int mMembers = 8;
  milliseconds mStoreDown{ 0 }; ///< the store is away for this long from the start
  int mCutFromStore = 0;        ///< members that cannot reach the store, from the middle on
  bool mCutFromPeers = false;   ///< they cannot reach peers either
  bool mWithdraws = true;       ///< a domain is withdrawn in the middle
  milliseconds mLength{ 60'000 };
};

struct freshness_figures
{
  int mStarts = 0;
  int mStartsLost = 0;              ///< by members that something kept from starting
  milliseconds mLastLateStart{ 0 }; ///< after acceptance, in the withdrawn domain
};

freshness_figures RunFreshness(start_rule aRule, const freshness_scenario& aScenario);

} // namespace briarwind::bench
