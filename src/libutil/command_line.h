#pragma once

#include "briarwind/finding.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// A flag that the command line may contain.
struct flag_spec
{
  std::string mName;      ///< without the leading dashes
  bool mIsSwitch = false; ///< the flag may be given without a value
};

/// The parsed command line. mFlags maps each flag, without dashes, to its value; a switch without a
/// value has the value `true`.
struct command_line
{
  std::map<std::string, std::string, std::less<>> mFlags;
  std::vector<std::string> mPositionals; ///< arguments that are not flags, and all after `--`
  findings mFindings;
};

/// Parses `--flag value`, `--flag=value`, `--switch` and positional arguments. Unknown flags,
/// repeated flags and missing values become findings; parsing continues after them.
command_line ReadCommandLine(std::string_view aProgram, std::span<const flag_spec> aFlags,
                             std::span<const char* const> aArguments);

} // namespace briarwind
