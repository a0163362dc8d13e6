#pragma once

#include <string_view>

namespace briarwind {

/// The version that every program shows on --version.
inline constexpr std::string_view kVersion = "0.1.0";

} // namespace briarwind
