#pragma once

#include "briarwind/error.h"

#include <string>

namespace briarwind {

/// Returns the argument itself, the content of a file for `@FILE`, or standard input for `@-`.
/// Fails with kInvalid when the file cannot be opened.
io_result<std::string> ReadInput(const std::string& aArgument);

} // namespace briarwind
