#include "scheduler.h"
#include "scheduler_options.h"

#include "briarwind/catalogue.h"
#include "briarwind/fiber_runtime.h"

#include <system_error>
#include <utility>

int main(int aCount, char** aArguments)
{
  briarwind::scheduler_options options;
  briarwind::option_set flags("briarwind-scheduler",
                              "Schedules multi-accelerator jobs under the guarantees of their "
                              "organisations.");
  briarwind::AddOptions(flags, options);
  flags.ParseOrExit(aCount, aArguments);

  briarwind::fiber_runtime runtime;
  try {
    briarwind::scheduler process(runtime, std::move(options));
    const int status = process.Run();
    // The fibers that watch the store or call workers never return, so the process exits without
    // waiting for them.
    briarwind::fiber_runtime::Exit(status);
  } catch (const std::system_error& failure) {
    briarwind::LogEvent(briarwind::kProcessFailed,
                        { briarwind::Field("what", std::string_view(failure.what())) });
    briarwind::fiber_runtime::Exit(1);
  }
}
