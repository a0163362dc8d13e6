#pragma once

#include "briarwind/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <span>

namespace boost::asio {
class io_context;
}

namespace briarwind {

/// One thread, one io_context, any number of fibers: every adapter of a process runs here, so the
/// core needs no locks. A fiber that waits for a socket lets the others run. The calling thread
/// becomes the runtime's thread; a second runtime in the same thread shares its io_context.
class fiber_runtime
{
public:
  fiber_runtime();
  ~fiber_runtime();
  fiber_runtime(const fiber_runtime&) = delete;
  fiber_runtime& operator=(const fiber_runtime&) = delete;

  boost::asio::io_context& Context();

  /// Starts a fiber. It ends on its own; there is no way to cancel it from outside.
  void Spawn(std::function<void()> aBody);

  /// How many fibers that this runtime started have not ended yet. What they refer to has to live
  /// until this is 0.
  std::size_t Running() const;

  /// For main: leaves the process at once. Returning from main would wait for every fiber.
  [[noreturn]] static void Exit(int aStatus);

  /// Suspends the calling fiber until one of the signals arrives; returns its number.
  int WaitForSignal(std::span<const int> aSignals);

  /// Hands a call over to the runtime's thread from any other thread.
  void Post(std::function<void()> aCall);

private:
  struct state;
  std::unique_ptr<state> mState;
};

/// Suspends the calling fiber.
void SleepFor(duration aTime);
void SleepUntil(instant aTime);

} // namespace briarwind
