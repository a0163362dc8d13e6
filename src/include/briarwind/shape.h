#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace briarwind {

/// What one member of a gang takes on one worker.
struct resource_shape
{
  int mAccelerators = 0;
  int mCores = 0;
  std::int64_t mMemoryMb = 0;

  bool operator==(const resource_shape&) const = default;
};

/// Whether aPart fits into aWhole in every resource.
constexpr bool FitsInto(const resource_shape& aPart, const resource_shape& aWhole)
{
  return aPart.mAccelerators <= aWhole.mAccelerators && aPart.mCores <= aWhole.mCores &&
         aPart.mMemoryMb <= aWhole.mMemoryMb;
}

/// How close together the members of a gang have to be, from loosest to tightest.
enum class adjacency : std::uint8_t
{
  kNone,
  kDomain, ///< one failure domain
  kRack,
  kWorker,
};

/// `none`, `domain`, `rack` or `worker`.
constexpr std::string_view ToString(adjacency aAdjacency)
{
  switch (aAdjacency) {
    case adjacency::kNone:
      return "none";
    case adjacency::kDomain:
      return "domain";
    case adjacency::kRack:
      return "rack";
    case adjacency::kWorker:
      return "worker";
  }
  return "none";
}

} // namespace briarwind
