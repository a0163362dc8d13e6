#pragma once

#include "briarwind/http_server.h"
#include "briarwind/time.h"

#include <functional>

namespace briarwind {

/// For the end of main: logs the address, waits for SIGTERM or SIGINT, calls aBeforeDrain, lets the
/// requests in progress finish for at most aDrainTime, and exits with 0 (1 when some were cut).
[[noreturn]] void ServeUntilSignal(fiber_runtime& aRuntime, http_server& aServer,
                                   milliseconds aDrainTime,
                                   const std::function<void()>& aBeforeDrain = {});

} // namespace briarwind
