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

/// Runs any number of fibers on one thread and one io_context. All I/O of a process runs on this
/// thread, so the code above it needs no locks. A fiber that waits for I/O lets the other fibers
/// run. The constructing thread becomes the runtime's thread; a second runtime constructed in the
/// same thread shares its io_context.
class fiber_runtime
{
public:
  fiber_runtime();
  ~fiber_runtime();
  fiber_runtime(const fiber_runtime&) = delete;
  fiber_runtime& operator=(const fiber_runtime&) = delete;

  boost::asio::io_context& Context();

  /// Starts a detached fiber that runs aBody. A fiber cannot be cancelled from outside.
  void Spawn(std::function<void()> aBody);

  /// Number of fibers started by this runtime that have not ended yet. Objects that these fibers
  /// refer to have to live until the number is 0.
  std::size_t RunningFibers() const;

  /// Flushes the standard streams and ends the process at once, without running destructors.
  /// Returning from main instead would wait for every fiber.
  [[noreturn]] static void Exit(int aStatus);

  /// Suspends the calling fiber until one of the signals arrives. Returns the number of the signal,
  /// or 0 when the wait failed.
  int WaitForSignal(std::span<const int> aSignals);

  /// Queues a call to run on the runtime's thread. May be called from any thread.
  void Post(std::function<void()> aCall);

private:
  struct state;
  std::unique_ptr<state> mState;
};

/// Suspends the calling fiber for a duration or until an instant.
void SleepFor(duration aTime);
void SleepUntil(instant aTime);

} // namespace briarwind
