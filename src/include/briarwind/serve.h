#pragma once

#include "briarwind/http_server.h"
#include "briarwind/time.h"

#include <functional>

namespace briarwind {

/// Serves until SIGTERM or SIGINT arrives, then calls aBeforeDrain, drains the server for at most
/// aDrainTime and exits the process: with status 0, or 1 when connections were still open after
/// aDrainTime. Logs the listening address, the signal and the exit. To be called at the end of
/// main.
[[noreturn]] void ServeUntilSignal(fiber_runtime& aRuntime, http_server& aServer,
                                   milliseconds aDrainTime,
                                   const std::function<void()>& aBeforeDrain = {});

} // namespace briarwind
