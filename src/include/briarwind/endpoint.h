#pragma once

#include "briarwind/error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace briarwind {

/// An IP number and a port. Names are never resolved.
struct endpoint
{
  std::string mAddress;
  std::uint16_t mPort = 0;

  auto operator<=>(const endpoint&) const = default;
};

/// `ip:port`, IPv6 numbers in brackets.
std::string ToString(const endpoint& aEndpoint);

/// Reads `ip:port`; fails with kInvalid when the address is no IP number.
result<endpoint> ParseEndpoint(std::string_view aText);

} // namespace briarwind
