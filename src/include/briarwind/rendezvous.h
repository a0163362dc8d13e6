#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// The members ordered by their rendezvous hash with aKey, highest first. Every process gets the
/// same order from the same members, and a member that joins or leaves moves no other pair.
std::vector<std::string> RendezvousOrder(std::string_view aKey,
                                         std::span<const std::string> aMembers);

/// The position of aMember in that order; the number of members when it is not one of them.
std::size_t RendezvousRank(std::string_view aKey, std::span<const std::string> aMembers,
                           std::string_view aMember);

} // namespace briarwind
