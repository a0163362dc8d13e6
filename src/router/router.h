#pragma once

#include "router_options.h"

#include "briarwind/fiber_runtime.h"

#include <memory>

namespace briarwind {

/// The whole briarwind-router: callers' requests in, instances' answers out.
class router
{
public:
  /// Listens at once. Throws std::system_error when it cannot.
  router(fiber_runtime& aRuntime, router_options aOptions);
  ~router();
  router(const router&) = delete;
  router& operator=(const router&) = delete;

  /// Runs until SIGTERM or SIGINT, then stops gracefully.
  /// @return exit status: 0 when every request was answered
  int Run();

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace briarwind
