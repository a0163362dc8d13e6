#include "libutil/command_line.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <memory>
#include <set>

namespace briarwind {

namespace {

// Separates valid flags from positional arguments and reports invalid arguments. TCLAP stops at the
// first argument that it does not recognise, so it is given only the valid flags.
class argument_filter
{
public:
  argument_filter(std::span<const flag_spec> aFlags, command_line& aRead)
    : mFlags(aFlags)
    , mRead(aRead)
  {
  }

  std::vector<std::string> Filter(std::span<const char* const> aArguments)
  {
    mRemaining = aArguments;
    while (!mRemaining.empty()) {
      const std::string_view argument = PopFront();
      if (argument == "--") {
        mRead.mPositionals.insert(mRead.mPositionals.end(), mRemaining.begin(), mRemaining.end());
        break;
      }
      if (argument.starts_with("-") && argument.size() > 1) {
        ParseFlag(argument);
      } else {
        mRead.mPositionals.emplace_back(argument);
      }
    }
    return std::move(mAccepted);
  }

private:
  std::string_view PopFront()
  {
    const std::string_view first = mRemaining.front();
    mRemaining = mRemaining.subspan(1);
    return first;
  }

  void Report(std::string_view aPlace, std::string_view aValue, std::string aExpected)
  {
    mRead.mFindings.push_back(
      { severity::kError, std::string(aPlace), std::string(aValue), std::move(aExpected) });
  }

  void ParseFlag(std::string_view aArgument)
  {
    const std::size_t equals = aArgument.find('=');
    const std::string_view flag = aArgument.substr(0, equals);
    const bool hasValue = equals != std::string_view::npos;
    const auto spec = std::ranges::find_if(mFlags, [&](const flag_spec& aSpec) {
      return flag.starts_with("--") && aSpec.mName == flag.substr(2);
    });
    if (spec == mFlags.end()) {
      Report(flag, hasValue ? aArgument.substr(equals + 1) : "", "unknown flag, see --help");
      return;
    }
    if (hasValue) {
      Accept(flag, aArgument.substr(equals + 1));
    } else if (spec->mIsSwitch) {
      Accept(flag, "true");
    } else if (mRemaining.empty() || std::string_view(mRemaining.front()).starts_with("--")) {
      Report(flag, "", "expected a value after the flag");
    } else {
      Accept(flag, PopFront());
    }
  }

  void Accept(std::string_view aFlag, std::string_view aValue)
  {
    if (!mSeen.insert(std::string(aFlag)).second) {
      Report(aFlag, aValue, "expected the flag only once");
      return;
    }
    mAccepted.emplace_back(aFlag);
    mAccepted.emplace_back(aValue);
  }

  std::span<const flag_spec> mFlags;
  command_line& mRead;
  std::span<const char* const> mRemaining;
  std::set<std::string, std::less<>> mSeen;
  std::vector<std::string> mAccepted;
};

using text_argument = TCLAP::ValueArg<std::string>;

} // namespace

command_line ReadCommandLine(std::string_view aProgram, std::span<const flag_spec> aFlags,
                             std::span<const char* const> aArguments)
{
  command_line read;
  std::vector<std::string> accepted = argument_filter(aFlags, read).Filter(aArguments);
  accepted.insert(accepted.begin(), std::string(aProgram));

  TCLAP::CmdLine parser(std::string(aProgram), ' ', "", false);
  parser.setExceptionHandling(false);
  std::vector<std::unique_ptr<text_argument>> arguments;
  for (const flag_spec& each : aFlags) {
    arguments.push_back(
      std::make_unique<text_argument>("", each.mName, each.mName, false, "", "text", parser));
  }
  try {
    parser.parse(accepted);
  } catch (const TCLAP::ArgException& failed) {
    read.mFindings.push_back({ severity::kError, failed.argId(), "", failed.error() });
  }
  for (const auto& each : arguments) {
    if (each->isSet()) {
      read.mFlags[each->getName()] = each->getValue();
    }
  }
  return read;
}

} // namespace briarwind
