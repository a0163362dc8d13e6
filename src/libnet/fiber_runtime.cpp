#include "briarwind/fiber_runtime.h"

#include "await.h"
#include "fiber_resumptions.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/scheduler.hpp>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <utility>

namespace briarwind {

namespace asio = boost::asio;
namespace fibers = boost::fibers;

namespace {

// Schedules ready fibers round robin. Handlers of the io_context run while the dispatcher fiber is
// active; when no fiber is ready, the dispatcher blocks inside the io_context.
class io_scheduler : public fibers::algo::algorithm
{
public:
  io_scheduler(std::shared_ptr<asio::io_context> aContext,
               std::shared_ptr<std::uint64_t> aResumptions)
    : mContext(std::move(aContext))
    , mResumptions(std::move(aResumptions))
  {
  }

  void awakened(fibers::context* aFiber) noexcept override { aFiber->ready_link(mReady); }

  fibers::context* pick_next() noexcept override
  {
    // Only the dispatcher may run handlers: a fiber that is being suspended may still hold the lock
    // of a wait queue that a handler needs.
    if (fibers::context::active()->is_context(fibers::type::dispatcher_context)) {
      mContext->poll();
    }
    if (mReady.empty()) {
      return nullptr;
    }
    fibers::context* next = &mReady.front();
    mReady.pop_front();
    *mResumptions += next->is_context(fibers::type::dispatcher_context) ? 0 : 1;
    return next;
  }

  bool has_ready_fibers() const noexcept override { return !mReady.empty(); }

  void suspend_until(const std::chrono::steady_clock::time_point& aUntil) noexcept override
  {
    if (aUntil == std::chrono::steady_clock::time_point::max()) {
      mContext->run_one();
    } else {
      mContext->run_one_until(aUntil);
    }
  }

  void notify() noexcept override
  {
    asio::post(*mContext, [] {});
  }

private:
  std::shared_ptr<asio::io_context> mContext;
  std::shared_ptr<std::uint64_t> mResumptions;
  fibers::scheduler::ready_queue_type mReady;
};

using work_guard = asio::executor_work_guard<asio::io_context::executor_type>;

// The io_context of a thread. The fiber scheduler of the thread refers to it until the thread ends,
// so the io_context has to live as long.
struct thread_context
{
  thread_context()
    : mContext(std::make_shared<asio::io_context>(1))
    , mGuard(mContext->get_executor())
  {
    fibers::use_scheduling_algorithm<io_scheduler>(mContext, mResumptions);
  }

  std::shared_ptr<asio::io_context> mContext;
  std::shared_ptr<std::uint64_t> mResumptions = std::make_shared<std::uint64_t>(0);
  work_guard mGuard;
};

thread_context& ThisThreadContext()
{
  // Never freed: the fiber scheduler of the thread may outlive all destructors of thread locals.
  thread_local auto* sContext = new thread_context;
  return *sContext;
}

} // namespace

struct fiber_runtime::state
{
  std::shared_ptr<asio::io_context> mContext = ThisThreadContext().mContext;
  // Number of fibers that have not ended. Shared with the fibers, which may outlive the runtime.
  std::shared_ptr<std::size_t> mRunning = std::make_shared<std::size_t>(0);
};

fiber_runtime::fiber_runtime()
  : mState(std::make_unique<state>())
{
}

fiber_runtime::~fiber_runtime() = default;

asio::io_context& fiber_runtime::Context()
{
  return *mState->mContext;
}

void fiber_runtime::Spawn(std::function<void()> aBody)
{
  ++*mState->mRunning;
  fibers::fiber(fibers::launch::post, [running = mState->mRunning,
                                       body = std::move(aBody)]() mutable {
    body();
    // Destroys the captures of the body before the fiber counts as ended: their destructors may
    // refer to objects that live only until the count is 0.
    body = nullptr;
    --*running;
  }).detach();
}

std::uint64_t FiberResumptions()
{
  return *ThisThreadContext().mResumptions;
}

std::size_t fiber_runtime::RunningFibers() const
{
  return *mState->mRunning;
}

void fiber_runtime::Exit(int aStatus)
{
  std::fflush(nullptr);
  std::_Exit(aStatus);
}

int fiber_runtime::WaitForSignal(std::span<const int> aSignals)
{
  asio::signal_set signals(*mState->mContext);
  for (const int each : aSignals) {
    signals.add(each);
  }
  const auto [code, number] =
    Await<int>([&](auto aHandler) { signals.async_wait(std::move(aHandler)); });
  return code ? 0 : number;
}

void fiber_runtime::Post(std::function<void()> aCall)
{
  asio::post(*mState->mContext, std::move(aCall));
}

void SleepFor(duration aTime)
{
  boost::this_fiber::sleep_for(aTime);
}

void SleepUntil(instant aTime)
{
  boost::this_fiber::sleep_until(aTime);
}

} // namespace briarwind
