#pragma once

#include "briarwind/error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace briarwind {

/// An IP address and a port. Host names are not supported and never resolved.
struct endpoint
{
  std::string mAddress;
  std::uint16_t mPort = 0;

  auto operator<=>(const endpoint&) const = default;
};

/// Returns `ip:port`, with IPv6 addresses in brackets.
std::string ToString(const endpoint& aEndpoint);

/// Parses `ip:port`, with IPv6 addresses in brackets. Fails with kInvalid when the address is not a
/// numeric IP address or the port is missing or out of range.
result<endpoint> ParseEndpoint(std::string_view aText);

} // namespace briarwind
