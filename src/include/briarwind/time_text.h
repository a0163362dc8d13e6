#pragma once

#include "briarwind/error.h"
#include "briarwind/time.h"

#include <string>
#include <string_view>

namespace briarwind {

/// Parses a whole number with its unit `ms`, `s` or `m` (minutes), such as `250ms`. Fails with
/// kInvalid when the unit is missing or unknown, or the time is negative or too large for
/// `milliseconds`.
result<milliseconds> ParseTime(std::string_view aText);

/// Formats a time with the largest unit that divides it, such as `2m`. ParseTime returns the same
/// time for the result unless the time is negative.
std::string ToString(milliseconds aTime);

} // namespace briarwind
