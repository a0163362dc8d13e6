#pragma once

#include "router_options.h"

#include "briarwind/fiber_runtime.h"

#include <memory>

namespace briarwind {

/// The briarwind-router service: accepts HTTP requests from callers, forwards each one to a service
/// instance and returns the instance's answer.
class router
{
public:
  /// Opens the listening sockets. Throws std::system_error when one cannot be opened.
  router(fiber_runtime& aRuntime, router_options aOptions);
  ~router();
  router(const router&) = delete;
  router& operator=(const router&) = delete;

  /// Runs until SIGTERM or SIGINT, then fails readiness, drains the requests in flight and stops.
  /// @return exit status: 0 when every request was answered, 1 when requests were still in flight
  ///   at the end of the drain time
  int Run();

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace briarwind
