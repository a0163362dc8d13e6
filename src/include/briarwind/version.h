#pragma once

#include <string_view>

namespace briarwind {

/// The version of the project, printed by --version of every program.
inline constexpr std::string_view kVersion = "0.1.0";

} // namespace briarwind
