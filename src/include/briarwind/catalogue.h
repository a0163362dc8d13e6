#pragma once

#include "briarwind/log.h"
#include "briarwind/metrics.h"

#include <span>

namespace briarwind {

/// Events that every program logs.
inline constexpr event_kind kProcessListening{
  1001,
  log_level::kInfo,
  "process.listening",
  "The program takes connections at the address in `listen`.",
};
inline constexpr event_kind kProcessStopping{
  1002,
  log_level::kInfo,
  "process.stopping",
  "A signal asked the program to stop; what is in progress is finished first.",
};
inline constexpr event_kind kProcessStopped{
  1003,
  log_level::kInfo,
  "process.stopped",
  "Nothing was in progress any more (`drained=true`) or the time to finish was over; it exits.",
};
inline constexpr event_kind kProcessFailed{
  1004,
  log_level::kError,
  "process.failed",
  "The program can not go on for the reason in `what` and exits with 1.",
};

/// All events of libutil, by number.
std::span<const event_kind> UtilEvents();

} // namespace briarwind
