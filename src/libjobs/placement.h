#pragma once

#include "libjobs/cluster_table.h"

#include "briarwind/job_options.h"

#include <optional>
#include <span>
#include <vector>

namespace briarwind {

/// So many members on one worker.
struct placement_part
{
  worker_index mWorker = 0;
  int mMembers = 0;
};

using placement = std::vector<placement_part>;

struct placement_request
{
  int mMembers = 1;
  resource_shape mShape;
  adjacency mAdjacency = adjacency::kNone;
  room_kind mRoom = room_kind::kFree;
  packing mPacking = packing::kBestFit;
  std::span<const worker_index> mAvoid; ///< workers that are not to be taken
  bool mMayProbe = false;               ///< may be the one task of a worker on probation
};

/// Why no place was found.
enum class placement_failure : std::uint8_t
{
  kNoCapacity,
  kNoAdjacency, ///< enough room in all, but not close together
};

struct placement_result
{
  placement mParts; ///< empty when none was found
  placement_failure mFailure = placement_failure::kNoCapacity;
};

/// Finds workers for a whole gang, as close together as asked.
placement_result FindPlace(const cluster_table& aCluster, const placement_request& aRequest);

} // namespace briarwind
