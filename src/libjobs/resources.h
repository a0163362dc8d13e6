#pragma once

#include "briarwind/shape.h"

#include <algorithm>
#include <limits>

/// Arithmetic on resource shapes.

namespace briarwind {

constexpr resource_shape operator+(const resource_shape& aLeft, const resource_shape& aRight)
{
  return { aLeft.mAccelerators + aRight.mAccelerators, aLeft.mCores + aRight.mCores,
           aLeft.mMemoryMb + aRight.mMemoryMb };
}

constexpr resource_shape operator-(const resource_shape& aLeft, const resource_shape& aRight)
{
  return { aLeft.mAccelerators - aRight.mAccelerators, aLeft.mCores - aRight.mCores,
           aLeft.mMemoryMb - aRight.mMemoryMb };
}

constexpr resource_shape operator*(const resource_shape& aShape, int aTimes)
{
  return { aShape.mAccelerators * aTimes, aShape.mCores * aTimes, aShape.mMemoryMb * aTimes };
}

/// Minimum of each resource.
constexpr resource_shape MinOf(const resource_shape& aLeft, const resource_shape& aRight)
{
  return { std::min(aLeft.mAccelerators, aRight.mAccelerators),
           std::min(aLeft.mCores, aRight.mCores), std::min(aLeft.mMemoryMb, aRight.mMemoryMb) };
}

/// Maximum of each resource.
constexpr resource_shape MaxOf(const resource_shape& aLeft, const resource_shape& aRight)
{
  return { std::max(aLeft.mAccelerators, aRight.mAccelerators),
           std::max(aLeft.mCores, aRight.mCores), std::max(aLeft.mMemoryMb, aRight.mMemoryMb) };
}

/// How many members of a shape fit into the room. 0 when one does not fit, in particular when the
/// room of a resource is negative.
constexpr int SlotsIn(const resource_shape& aRoom, const resource_shape& aShape)
{
  if (!FitsInto(aShape, aRoom)) {
    return 0;
  }
  int slots = std::numeric_limits<int>::max();
  if (aShape.mAccelerators > 0) {
    slots = aRoom.mAccelerators / aShape.mAccelerators;
  }
  if (aShape.mCores > 0) {
    slots = std::min(slots, aRoom.mCores / aShape.mCores);
  }
  if (aShape.mMemoryMb > 0) {
    const auto byMemory = std::min<std::int64_t>(aRoom.mMemoryMb / aShape.mMemoryMb, slots);
    slots = static_cast<int>(byMemory);
  }
  return slots;
}

} // namespace briarwind
