#pragma once

#include "briarwind/error.h"
#include "briarwind/time.h"

#include <string>
#include <string_view>

namespace briarwind {

/// Reads a whole number with its unit `ms`, `s` or `m`, such as `250ms`. Fails with kInvalid when
/// the unit is missing or the time does not fit.
result<milliseconds> ParseTime(std::string_view aText);

/// The shortest text that ParseTime reads back to the same time.
std::string ToString(milliseconds aTime);

} // namespace briarwind
