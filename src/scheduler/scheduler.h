#pragma once

#include "scheduler_options.h"

#include "briarwind/fiber_runtime.h"

#include <memory>

namespace briarwind {

/// One scheduler process: everything that main starts and stops.
class scheduler
{
public:
  scheduler(fiber_runtime& aRuntime, scheduler_options aOptions);
  ~scheduler();
  scheduler(const scheduler&) = delete;
  scheduler& operator=(const scheduler&) = delete;

  /// Runs until SIGTERM or SIGINT, then hands the queue over and finishes what is in flight.
  /// Returns the exit status.
  int Run();

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace briarwind
