#pragma once

#include "briarwind/error.h"

#include <string>

namespace briarwind {

/// The argument itself, the content of a file for `@FILE`, or standard input for `@-`.
io_result<std::string> ReadInput(const std::string& aArgument);

} // namespace briarwind
