#pragma once

#include "briarwind/time.h"

#include <string_view>

namespace briarwind::bench {

/// The rule by which a scheduler decides whether it may start tasks.
enum class start_rule
{
  kStoreOnly, ///< while its own last read of the store is at most kFreshnessBound old
  kAlways,    ///< at any time, by the settings that it holds
  kLease,     ///< while its lease, renewed by each read of the store, has not expired
  kFreshness, ///< while briarwind::freshness reports its view as fresh
};

std::string_view ToString(start_rule aRule);

/// The faults of one run of a group of schedulers, on a virtual clock. Cuts and the withdrawal of a
/// failure domain take effect halfway through the run.
struct freshness_scenario
{
  int mMembers = 8;
  milliseconds mStoreOutage{ 0 }; ///< unavailable for this long from the start
  int mMembersCutFromStore = 0;   ///< members that cannot reach the store from halfway on
  bool mAlsoCutFromPeers = false; ///< whether those members cannot reach their peers either
  bool mWithdraws = true;         ///< whether a failure domain is withdrawn halfway
  milliseconds mLength{ 60'000 }; ///< virtual time
};

/// What one run measured.
struct freshness_figures
{
  int mStarts = 0;        ///< attempts that the rule allowed
  int mStartsBlocked = 0; ///< attempts that the rule did not allow
  /// Time from the acceptance of the withdrawal to the last start by a member that still held the
  /// older settings; 0 when there was none.
  milliseconds mLastLateStart{ 0 };
};

/// Runs one scenario; every member follows the same rule.
freshness_figures RunFreshness(start_rule aRule, const freshness_scenario& aScenario);

} // namespace briarwind::bench
