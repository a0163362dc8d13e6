#pragma once

#include "briarwind/fiber_runtime.h"
#include "briarwind/job_core.h"
#include "briarwind/member.h"
#include "briarwind/settings_node.h"
#include "briarwind/time.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace briarwind {

/// Tells a majority of the member record who leads the queue. A leader that cannot reach the store
/// goes on while a majority knows no later epoch; a new leader acts once a majority knows its own.
/// Any two majorities share a member, so the older leader hears of the newer one.
class leader_quorum
{
public:
  leader_quorum(fiber_runtime& aRuntime, settings_node& aNode);

  struct round_result
  {
    bool mHasMajority = false; ///< a majority knows aEpoch and nothing later
    bool mSuperseded = false;  ///< a member knows a later epoch
  };

  /// Asks all members of the record at once; suspends until the deadline at most.
  round_result Ask(epoch_number aEpoch, instant aDeadline);

private:
  wire::PeerAnswer Answer(const wire::PeerRequest& aRequest);

  fiber_runtime& mRuntime;
  settings_node& mNode;
  epoch_number mHighest = 0;
};

} // namespace briarwind
