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
                              "Schedules jobs under organisation guarantees.");
  briarwind::AddOptions(flags, options);
  flags.ParseOrExit(aCount, aArguments);

  briarwind::fiber_runtime runtime;
  try {
    briarwind::scheduler process(runtime, std::move(options));
    const int status = process.Run();
    // Fibers that watch the store or talk to workers never end on their own.
    briarwind::fiber_runtime::Exit(status);
  } catch (const std::system_error& failure) {
    briarwind::LogEvent(briarwind::kProcessFailed,
                        { briarwind::Field("what", std::string_view(failure.what())) });
    briarwind::fiber_runtime::Exit(1);
  }
}
