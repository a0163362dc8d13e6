#pragma once

#include "briarwind/time.h"
#include "briarwind/work_core.h"

#include <string>

namespace briarwind {

/// What has been logged about a step with tasks that wait.
struct wait_record
{
  /// What keeps tasks away from workers that have room, as of mCheckedAt.
  wait_reason mReason = wait_reason::kNone;
  instant mCheckedAt;
  std::string mReservedRack; ///< for a gang, in the last pass; empty: none
  instant mReservationLoggedAt;
};

} // namespace briarwind
