#pragma once

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>

#include <tuple>
#include <utility>

namespace briarwind {

// A one-shot event that one fiber waits for. Notify has to be called on the runtime's thread, which
// is also the thread of the waiting fiber, so no lock is needed.
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

// Starts an asynchronous operation and suspends the fiber until the completion handler has run.
// aStart is called with a handler `void(error_code, Values…)`; the result is a tuple of the
// handler's arguments. aInitial is needed for values without a default constructor. The handler
// refers to variables on the fiber's stack, which is safe since asio calls every handler, also
// after a cancel.
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

// AwaitFrom for values that have a default constructor.
template<class... Values, class Start>
std::tuple<boost::system::error_code, Values...> Await(Start&& aStart)
{
  return AwaitFrom(std::tuple<boost::system::error_code, Values...>(), std::forward<Start>(aStart));
}

} // namespace briarwind
