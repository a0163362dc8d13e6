#include "briarwind/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <compare>
#include <cstdint>
#include <functional>

namespace briarwind {

namespace {

struct scored_member
{
  std::uint64_t mHash;
  std::string_view mMember;

  auto operator<=>(const scored_member&) const = default;
};

scored_member Score(std::string_view aKey, std::string_view aMember)
{
  const std::uint64_t seed = XXH3_64bits(aKey.data(), aKey.size());
  return { XXH3_64bits_withSeed(aMember.data(), aMember.size(), seed), aMember };
}

} // namespace

std::vector<std::string> RendezvousOrder(std::string_view aKey,
                                         std::span<const std::string> aMembers)
{
  std::vector<scored_member> scoredMembers;
  std::ranges::transform(aMembers, std::back_inserter(scoredMembers),
                         [&](const std::string& aMember) { return Score(aKey, aMember); });
  std::ranges::sort(scoredMembers, std::greater{});
  std::vector<std::string> names;
  std::ranges::transform(scoredMembers, std::back_inserter(names),
                         [](const scored_member& aScored) { return std::string(aScored.mMember); });
  return names;
}

std::size_t RendezvousRank(std::string_view aKey, std::span<const std::string> aMembers,
                           std::string_view aMember)
{
  if (std::ranges::find(aMembers, aMember) == aMembers.end()) {
    return aMembers.size();
  }
  const scored_member memberScore = Score(aKey, aMember);
  return static_cast<std::size_t>(std::ranges::count_if(
    aMembers, [&](const std::string& aOther) { return Score(aKey, aOther) > memberScore; }));
}

} // namespace briarwind
