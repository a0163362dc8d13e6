#pragma once

#include "scheduler_options.h"

#include "briarwind/fiber_runtime.h"

#include <memory>

namespace briarwind {

/// One scheduler process: the HTTP server, the leader election, the engine and the settings node.
class scheduler
{
public:
  /// Binds the listening addresses; throws std::system_error when it cannot.
  scheduler(fiber_runtime& aRuntime, scheduler_options aOptions);
  ~scheduler();
  scheduler(const scheduler&) = delete;
  scheduler& operator=(const scheduler&) = delete;

  /// Runs until SIGTERM or SIGINT, then resigns as leader and drains the requests in flight.
  /// Returns the exit status: 0 when all requests ended in time, 1 otherwise.
  int Run();

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace briarwind
