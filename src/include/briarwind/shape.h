#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace briarwind {

/// Resources: what one member of a gang needs, what a worker offers, or a sum of such.
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

/// How close together the members of a gang must be placed, from loosest to tightest.
enum class adjacency : std::uint8_t
{
  kNone,
  kDomain, ///< within one failure domain
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
