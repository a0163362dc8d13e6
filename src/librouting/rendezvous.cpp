#include "briarwind/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <compare>
#include <cstdint>
#include <functional>

namespace briarwind {

namespace {

struct scored
{
  std::uint64_t mHash;
  std::string_view mMember;

  auto operator<=>(const scored&) const = default;
};

scored Score(std::string_view aKey, std::string_view aMember)
{
  const std::uint64_t seed = XXH3_64bits(aKey.data(), aKey.size());
  return { XXH3_64bits_withSeed(aMember.data(), aMember.size(), seed), aMember };
}

} // namespace

std::vector<std::string> RendezvousOrder(std::string_view aKey,
                                         std::span<const std::string> aMembers)
{
  std::vector<scored> order;
  std::ranges::transform(aMembers, std::back_inserter(order),
                         [&](const std::string& aMember) { return Score(aKey, aMember); });
  std::ranges::sort(order, std::greater{});
  std::vector<std::string> names;
  std::ranges::transform(order, std::back_inserter(names),
                         [](const scored& aScored) { return std::string(aScored.mMember); });
  return names;
}

std::size_t RendezvousRank(std::string_view aKey, std::span<const std::string> aMembers,
                           std::string_view aMember)
{
  if (std::ranges::find(aMembers, aMember) == aMembers.end()) {
    return aMembers.size();
  }
  const scored own = Score(aKey, aMember);
  return static_cast<std::size_t>(std::ranges::count_if(
    aMembers, [&](const std::string& aOther) { return Score(aKey, aOther) > own; }));
}

} // namespace briarwind
