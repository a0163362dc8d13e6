#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// The members in descending order of their rendezvous hash (highest random weight) with aKey. The
/// order is the same in every process, whatever the order of aMembers. A member that joins or
/// leaves does not change the order of the others.
std::vector<std::string> RendezvousOrder(std::string_view aKey,
                                         std::span<const std::string> aMembers);

/// The index of aMember in RendezvousOrder, or the number of members when aMember is not one.
std::size_t RendezvousRank(std::string_view aKey, std::span<const std::string> aMembers,
                           std::string_view aMember);

} // namespace briarwind
