#pragma once

#include "briarwind/finding.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// A flag that the command line may hold.
struct flag_spec
{
  std::string mName; ///< without the dashes
  bool mIsSwitch = false;
};

/// What a command line holds, each flag with its text. A switch alone has the text `true`.
struct command_line
{
  std::map<std::string, std::string, std::less<>> mFlags;
  std::vector<std::string> mWords; ///< what is no flag, and everything after `--`
  findings mFindings;
};

/// Reads `--flag value`, `--flag=value`, `--switch` and words. Unknown and repeated flags and
/// missing values become findings, and reading goes on.
command_line ReadCommandLine(std::string_view aProgram, std::span<const flag_spec> aFlags,
                             std::span<const char* const> aArguments);

} // namespace briarwind
