#pragma once

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>

#include <tuple>
#include <utility>

namespace briarwind {

// Lets one fiber wait for one completion in the runtime's thread. Completions run in the
// scheduler's dispatcher and the waiter is in the same thread, so no lock is needed.
class fiber_signal
{
public:
  void Wait()
  {
    while (!mDone) {
      mWaiter = boost::fibers::context::active();
      mWaiter->suspend();
    }
  }

  void Notify()
  {
    mDone = true;
    boost::fibers::context* waiter = std::exchange(mWaiter, nullptr);
    if (waiter != nullptr) {
      boost::fibers::context::active()->schedule(waiter);
    }
  }

private:
  bool mDone = false;
  boost::fibers::context* mWaiter = nullptr;
};

// Starts an asynchronous operation and suspends the fiber until its handler has run. The operation
// gets a handler `void(error_code, Values…)`; the result is a tuple of what the handler was given.
// The state lives on the fiber's stack: asio calls every handler, also after a cancel.
template<class... Values, class Start>
std::tuple<boost::system::error_code, Values...> AwaitFrom(
  std::tuple<boost::system::error_code, Values...> aInitial, Start&& aStart)
{
  fiber_signal signal;
  std::forward<Start>(aStart)([&](boost::system::error_code aCode, Values... aValues) {
    aInitial = std::tuple<boost::system::error_code, Values...>(aCode, std::move(aValues)...);
    signal.Notify();
  });
  signal.Wait();
  return aInitial;
}

// The same for values that start out empty.
template<class... Values, class Start>
std::tuple<boost::system::error_code, Values...> Await(Start&& aStart)
{
  return AwaitFrom(std::tuple<boost::system::error_code, Values...>(), std::forward<Start>(aStart));
}

} // namespace briarwind
