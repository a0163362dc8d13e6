#include "ctl_command.h"

#include "briarwind/log.h"

#include <boost/json/serialize.hpp>

#include <cstdio>
#include <cstdlib>

namespace {

void SetDefaultAuthor(briarwind::ctl_options& aOptions)
{
  const char* user = std::getenv("USER");
  if (aOptions.mAuthor.empty()) {
    aOptions.mAuthor = user != nullptr ? user : "unknown";
  }
}

} // namespace

int main(int aCount, char** aArguments)
{
  briarwind::ctl_options options;
  briarwind::option_set flags("briarwind-ctl", "Operates briarwind: settings, members and jobs.");
  briarwind::AddOptions(flags, options);
  flags.ParseOrExit(aCount, aArguments);
  SetDefaultAuthor(options);
  briarwind::SetLogLevel(briarwind::log_level::kError);

  briarwind::fiber_runtime runtime;
  briarwind::ctl_context context(runtime, options);
  const briarwind::ctl_result result = briarwind::RunCommand(context);
  const std::string text =
    options.mJson ? boost::json::serialize(result.mBody) + "\n" : briarwind::ToText(result.mBody);
  std::fputs(text.c_str(), stdout);
  briarwind::fiber_runtime::Exit(static_cast<int>(result.mStatus));
}
