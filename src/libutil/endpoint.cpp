#include "briarwind/endpoint.h"

#include <fmt/format.h>

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace briarwind {

namespace {

bool IsAddress(const std::string& aText, int aFamily)
{
  std::array<unsigned char, sizeof(in6_addr)> parsed{};
  return inet_pton(aFamily, aText.c_str(), parsed.data()) == 1;
}

bool ParsePort(std::string_view aText, std::uint16_t& aPort)
{
  const char* last = aText.data() + aText.size();
  const auto [end, code] = std::from_chars(aText.data(), last, aPort);
  return code == std::errc{} && end == last && !aText.empty();
}

} // namespace

std::string ToString(const endpoint& aEndpoint)
{
  const bool isV6 = aEndpoint.mAddress.find(':') != std::string::npos;
  return isV6 ? fmt::format("[{}]:{}", aEndpoint.mAddress, aEndpoint.mPort)
              : fmt::format("{}:{}", aEndpoint.mAddress, aEndpoint.mPort);
}

result<endpoint> ParseEndpoint(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  endpoint parsed;
  if (colon == std::string_view::npos || !ParsePort(aText.substr(colon + 1), parsed.mPort)) {
    return MakeError(error_kind::kInvalid, std::string(aText), "expected IP:PORT");
  }
  std::string_view address = aText.substr(0, colon);
  const bool inBrackets = address.starts_with('[') && address.ends_with(']');
  if (inBrackets) {
    address = address.substr(1, address.size() - 2);
  }
  parsed.mAddress = address;
  if (!IsAddress(parsed.mAddress, inBrackets ? AF_INET6 : AF_INET)) {
    return MakeError(error_kind::kInvalid, std::string(aText), "expected an IP number, not a name");
  }
  return parsed;
}

} // namespace briarwind
