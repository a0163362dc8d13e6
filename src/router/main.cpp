#include "router.h"
#include "router_events.h"
#include "router_options.h"

#include "briarwind/fiber_runtime.h"

#include <system_error>
#include <utility>

int main(int aCount, char** aArguments)
{
  briarwind::router_options options;
  briarwind::option_set flags("briarwind-router", "Routes short requests to service instances.");
  briarwind::AddOptions(flags, options);
  flags.ParseOrExit(aCount, aArguments);

  briarwind::fiber_runtime runtime;
  try {
    briarwind::router router(runtime, std::move(options));
    const int status = router.Run();
    // Exit does not wait for fibers: those that poll the host list never finish, and those that
    // wait for a late answer may outlast the router.
    briarwind::fiber_runtime::Exit(status);
  } catch (const std::system_error& failure) {
    briarwind::LogEvent(briarwind::events::kRouterFailed,
                        { briarwind::Field("what", std::string_view(failure.what())) });
    briarwind::fiber_runtime::Exit(1);
  }
}
