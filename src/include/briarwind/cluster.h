#pragma once

#include "briarwind/host_list.h"
#include "briarwind/shape.h"

#include <string>
#include <vector>

namespace briarwind {

/// Description of one worker in the host list.
struct worker_info
{
  std::string mName;
  std::string mDomain;
  std::string mRack;
  std::string mRegion;
  resource_shape mCapacity;
  bool mLeaving = false; ///< being removed; takes no new work

  bool operator==(const worker_info&) const = default;
};

/// The workers of a host list, sorted by name. Of several entries with one name the last counts.
std::vector<worker_info> WorkersOf(const host_list& aList);

} // namespace briarwind
