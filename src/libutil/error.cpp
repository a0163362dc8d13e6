#include "briarwind/error.h"

#include <array>

namespace briarwind {

std::string_view ToString(error_kind aKind)
{
  static constexpr std::array<std::string_view, 8> kNames{
    "invalid", "not-found",       "conflict",  "unavailable",
    "timeout", "unknown-outcome", "too-large", "protocol",
  };
  return kNames.at(static_cast<std::size_t>(aKind));
}

} // namespace briarwind
