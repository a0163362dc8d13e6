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
  "The program accepts connections at the address in `listen`.",
};
inline constexpr event_kind kProcessStopping{
  1002,
  log_level::kInfo,
  "process.stopping",
  "The program received a stop signal; it finishes the work in progress and then exits.",
};
inline constexpr event_kind kProcessStopped{
  1003,
  log_level::kInfo,
  "process.stopped",
  "The program exits: all work was finished (`drained=true`) or the stop timeout had passed.",
};
inline constexpr event_kind kProcessFailed{
  1004,
  log_level::kError,
  "process.failed",
  "The program met the unrecoverable error in `what` and exits with status 1.",
};

/// Returns all events of libutil, in ascending order of their numbers.
std::span<const event_kind> UtilEvents();

} // namespace briarwind
