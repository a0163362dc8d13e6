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

/// Announces the leader's epoch to the members of the member record. A leader that cannot reach the
/// store keeps leading while a majority of the members reports no later epoch, and a new leader
/// takes over once a majority has recorded its epoch. Any two majorities share a member, so the
/// older leader receives the newer epoch from one of them.
class leader_quorum
{
public:
  leader_quorum(fiber_runtime& aRuntime, settings_node& aNode);

  struct round_result
  {
    bool mHasMajority = false; ///< a majority has recorded aEpoch and no later epoch
    bool mSuperseded = false;  ///< a member has recorded a later epoch
  };

  /// Sends aEpoch to all other members of the record at once, the previous member set among them.
  /// Suspends until all have answered or failed, but not past the deadline.
  round_result ConfirmEpoch(epoch_number aEpoch, instant aDeadline);

private:
  /// Records the epoch of a peer and answers with the highest epoch seen by this process.
  wire::PeerAnswer HandleRequest(const wire::PeerRequest& aRequest);

  fiber_runtime& mRuntime;
  settings_node& mNode;
  epoch_number mHighestEpoch = 0; ///< highest epoch that this process has sent or received
};

} // namespace briarwind
