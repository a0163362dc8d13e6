#pragma once

#include "libjobs/cluster_table.h"

#include "briarwind/job_options.h"

#include <optional>
#include <span>
#include <vector>

namespace briarwind {

/// Number of members placed on one worker.
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
  std::span<const worker_index> mAvoid; ///< workers to leave out
  bool mMayProbe = false;               ///< may run as the probe task of a worker on probation
};

/// Why no place was found.
enum class placement_failure : std::uint8_t
{
  kNoCapacity,
  kNoAdjacency, ///< enough room in total, but not within the required adjacency
};

struct placement_result
{
  placement mParts; ///< empty when no placement was found
  placement_failure mFailure = placement_failure::kNoCapacity;
};

/// Finds workers for a whole gang within the requested adjacency.
placement_result FindPlace(const cluster_table& aCluster, const placement_request& aRequest);

} // namespace briarwind
