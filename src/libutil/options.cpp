#include "briarwind/options.h"

#include "briarwind/time_text.h"
#include "briarwind/version.h"
#include "libutil/command_line.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <ranges>

namespace briarwind {

namespace {

constexpr std::string_view kVariablePrefix = "BRIARWIND_";
constexpr int kInvalidSettingsExitStatus = 2;

// Parses a text into the bound variable. Returns a description of the expected value on failure.
using option_reader = std::function<std::optional<std::string>(std::string_view)>;

struct option
{
  std::string mFlag;
  std::string mVariable;
  std::string mSyntax; // syntax of the value in --help, such as `TIME from 1ms to 5m`
  std::string mDefault;
  std::string mHelp;
  bool mIsSwitch = false;
  option_reader mReader;
};

// Returns the environment variable of a flag: BRIARWIND_STORE_URL for store-url.
std::string VariableOf(std::string_view aFlag)
{
  std::string variable(kVariablePrefix);
  std::ranges::transform(aFlag, std::back_inserter(variable), [](unsigned char aChar) {
    return aChar == '-' ? '_' : static_cast<char>(std::toupper(aChar));
  });
  return variable;
}

std::optional<bool> ParseSwitch(std::string_view aText)
{
  static constexpr std::array<std::string_view, 4> kYes{ "true", "yes", "1", "on" };
  static constexpr std::array<std::string_view, 4> kNo{ "false", "no", "0", "off" };
  if (std::ranges::find(kYes, aText) != kYes.end()) {
    return true;
  }
  return std::ranges::find(kNo, aText) != kNo.end() ? std::optional(false) : std::nullopt;
}

// Assigns a parsed value to the target, or returns the description of the failure.
template<class Value>
std::optional<std::string> AssignValue(const io_result<Value>& aParsed, Value& aTarget)
{
  if (!aParsed) {
    return aParsed.error().mWhat;
  }
  aTarget = aParsed.value();
  return std::nullopt;
}

result<std::vector<endpoint>> ParseEndpoints(std::string_view aText)
{
  std::vector<endpoint> parsed;
  if (aText.empty()) {
    return parsed;
  }
  for (const auto part : std::views::split(aText, ',')) {
    BOOST_LEAF_AUTO(one, ParseEndpoint(std::string_view(part.begin(), part.end())));
    parsed.push_back(std::move(one));
  }
  return parsed;
}

std::string JoinEndpoints(const std::vector<endpoint>& aEndpoints)
{
  std::vector<std::string> texts;
  std::ranges::transform(aEndpoints, std::back_inserter(texts),
                         [](const endpoint& aOne) { return ToString(aOne); });
  return fmt::format("{}", fmt::join(texts, ","));
}

std::vector<std::string> VariableNames()
{
  std::vector<std::string> names;
  for (char** each = environ; each != nullptr && *each != nullptr; ++each) {
    const std::string_view variable = *each;
    names.emplace_back(variable.substr(0, variable.find('=')));
  }
  return names;
}

} // namespace

struct option_set::state
{
  std::string mProgram;
  std::string mPurpose;
  std::vector<option> mOptions;
  std::vector<std::function<void(findings&)>> mChecks;
  std::vector<std::string>* mPositionals = nullptr;
  std::string mPositionalsName;
  std::string mPositionalsHelp;
  bool mWantsHelp = false;
  bool mWantsVersion = false;
  bool mWantsCheck = false;
  bool mWantsCatalogue = false;
  std::string mCatalogue;

  void Add(std::string_view aFlag, std::string aSyntax, std::string aDefault,
           std::string_view aHelp, option_reader aReader)
  {
    mOptions.push_back({ std::string(aFlag), VariableOf(aFlag), std::move(aSyntax),
                         std::move(aDefault), std::string(aHelp), false, std::move(aReader) });
  }

  void AddSwitch(std::string_view aFlag, bool& aTarget, std::string_view aHelp)
  {
    Add(aFlag, "", aTarget ? "yes" : "no", aHelp,
        [&aTarget](std::string_view aText) -> std::optional<std::string> {
          const std::optional<bool> read = ParseSwitch(aText);
          aTarget = read.value_or(aTarget);
          return read ? std::nullopt : std::optional<std::string>("expected yes or no");
        });
    mOptions.back().mIsSwitch = true;
  }

  // Adds a switch that makes the program print something and exit. It has no environment variable.
  void AddAction(std::string_view aFlag, bool& aTarget, std::string_view aHelp)
  {
    AddSwitch(aFlag, aTarget, aHelp);
    mOptions.back().mVariable.clear();
  }

  void Read(const option& aOption, std::string_view aPlace, std::string_view aText,
            findings& aFindings) const
  {
    if (const auto expected = aOption.mReader(aText)) {
      aFindings.push_back({ severity::kError, std::string(aPlace), std::string(aText), *expected });
    }
  }

  void ReadOption(const option& aOption, const command_line& aLine, const environment& aEnvironment,
                  findings& aFindings) const
  {
    const auto flag = aLine.mFlags.find(aOption.mFlag);
    if (flag != aLine.mFlags.end()) {
      Read(aOption, "--" + aOption.mFlag, flag->second, aFindings);
      return;
    }
    const bool hasVariable = !aOption.mVariable.empty();
    const char* text = hasVariable ? aEnvironment(aOption.mVariable.c_str()) : nullptr;
    if (text != nullptr) {
      Read(aOption, aOption.mVariable, text, aFindings);
    }
  }

  void AssignPositionals(command_line& aLine, findings& aFindings) const
  {
    if (mPositionals != nullptr) {
      *mPositionals = std::move(aLine.mPositionals);
      return;
    }
    for (const std::string& each : aLine.mPositionals) {
      aFindings.push_back(
        { severity::kError, "command line", each, "unexpected argument, expected only flags" });
    }
  }

  void FindUnknownVariables(std::span<const std::string> aNames, findings& aFindings) const
  {
    for (const std::string& each : aNames) {
      const bool known = std::ranges::find(mOptions, each, &option::mVariable) != mOptions.end();
      if (each.starts_with(kVariablePrefix) && !known) {
        aFindings.push_back(
          { severity::kWarning, each, "", "unknown variable, not a setting of this program" });
      }
    }
  }
};

option_set::option_set(std::string aProgram, std::string aPurpose)
  : mState(std::make_unique<state>())
{
  mState->mProgram = std::move(aProgram);
  mState->mPurpose = std::move(aPurpose);
  mState->AddAction("help", mState->mWantsHelp, "Prints this text and exits.");
  mState->AddAction("version", mState->mWantsVersion, "Prints the version and exits.");
  mState->AddAction("catalogue", mState->mWantsCatalogue,
                    "Prints the events and metrics of this program and exits.");
  mState->AddAction("check", mState->mWantsCheck,
                    "Checks the settings, prints the findings and exits.");
}

option_set::~option_set() = default;

void option_set::Add(std::string_view aFlag, std::string& aTarget, std::string_view aHelp)
{
  mState->Add(aFlag, "TEXT", aTarget, aHelp,
              [&aTarget](std::string_view aText) -> std::optional<std::string> {
                aTarget = aText;
                return std::nullopt;
              });
}

void option_set::Add(std::string_view aFlag, bool& aTarget, std::string_view aHelp)
{
  mState->AddSwitch(aFlag, aTarget, aHelp);
}

void option_set::Add(std::string_view aFlag, std::int64_t& aTarget, std::int64_t aMin,
                     std::int64_t aMax, std::string_view aHelp)
{
  const std::string syntax = fmt::format("NUMBER from {} to {}", aMin, aMax);
  mState->Add(aFlag, syntax, fmt::format("{}", aTarget), aHelp,
              [=, &aTarget](std::string_view aText) -> std::optional<std::string> {
                std::int64_t read = 0;
                const char* last = aText.data() + aText.size();
                const auto [end, code] = std::from_chars(aText.data(), last, read);
                if (code != std::errc{} || end != last || read < aMin || read > aMax) {
                  return fmt::format("expected a whole number from {} to {}", aMin, aMax);
                }
                aTarget = read;
                return std::nullopt;
              });
}

void option_set::Add(std::string_view aFlag, milliseconds& aTarget, milliseconds aMin,
                     milliseconds aMax, std::string_view aHelp)
{
  const std::string range = fmt::format("from {} to {}", ToString(aMin), ToString(aMax));
  mState->Add(aFlag, "TIME " + range, ToString(aTarget), aHelp,
              [=, &aTarget](std::string_view aText) -> std::optional<std::string> {
                const auto read = ToIoResult([&] { return ParseTime(aText); });
                if (read && (read.value() < aMin || read.value() > aMax)) {
                  return fmt::format("expected a time {}", range);
                }
                return AssignValue(read, aTarget);
              });
}

void option_set::Add(std::string_view aFlag, endpoint& aTarget, std::string_view aHelp)
{
  const bool hasDefault = !aTarget.mAddress.empty();
  mState->Add(aFlag, "IP:PORT", hasDefault ? ToString(aTarget) : "", aHelp,
              [&aTarget](std::string_view aText) {
                return AssignValue(ToIoResult([&] { return ParseEndpoint(aText); }), aTarget);
              });
}

void option_set::Add(std::string_view aFlag, std::vector<endpoint>& aTarget, std::string_view aHelp)
{
  mState->Add(aFlag, "IP:PORT,…", JoinEndpoints(aTarget), aHelp,
              [&aTarget](std::string_view aText) {
                return AssignValue(ToIoResult([&] { return ParseEndpoints(aText); }), aTarget);
              });
}

void option_set::AddPositionals(std::vector<std::string>& aTarget, std::string_view aName,
                                std::string_view aHelp)
{
  mState->mPositionals = &aTarget;
  mState->mPositionalsName = aName;
  mState->mPositionalsHelp = aHelp;
}

void option_set::AddCheck(std::function<void(findings&)> aCheck)
{
  mState->mChecks.push_back(std::move(aCheck));
}

void option_set::AddCatalogue(std::span<const event_kind> aEvents,
                              std::span<const metric_kind> aMetrics)
{
  mState->mCatalogue += EventCatalogue(aEvents) + MetricCatalogue(aMetrics);
}

findings option_set::Parse(std::span<const char* const> aArguments, const environment& aEnvironment,
                           std::span<const std::string> aVariables)
{
  std::vector<flag_spec> flags;
  std::ranges::transform(mState->mOptions, std::back_inserter(flags), [](const option& aOption) {
    return flag_spec{ aOption.mFlag, aOption.mIsSwitch };
  });
  command_line line = ReadCommandLine(mState->mProgram, flags, aArguments);
  findings found = std::move(line.mFindings);
  for (const option& each : mState->mOptions) {
    mState->ReadOption(each, line, aEnvironment, found);
  }
  mState->AssignPositionals(line, found);
  mState->FindUnknownVariables(aVariables, found);
  for (const auto& each : mState->mChecks) {
    each(found);
  }
  return found;
}

void option_set::ParseOrExit(int aCount, const char* const* aArguments)
{
  const std::span all(aArguments, static_cast<std::size_t>(aCount));
  const findings found = Parse(all.subspan(all.empty() ? 0 : 1), std::getenv, VariableNames());
  if (mState->mWantsHelp) {
    fmt::print("{}", Help());
  } else if (mState->mWantsVersion) {
    fmt::print("{} {}\n", mState->mProgram, kVersion);
  }
  if (mState->mWantsCatalogue) {
    fmt::print("{}", mState->mCatalogue);
    std::exit(0);
  }
  fmt::print(stderr, "{}", ToText(found));
  if (HasErrors(found)) {
    std::exit(kInvalidSettingsExitStatus);
  }
  if (mState->mWantsCheck) {
    fmt::print("{}: the settings are valid\n", mState->mProgram);
  }
  if (mState->mWantsHelp || mState->mWantsVersion || mState->mWantsCheck) {
    std::exit(0);
  }
}

std::string option_set::Help() const
{
  std::string text = fmt::format("{}\n\nUsage: {} [flags]", mState->mPurpose, mState->mProgram);
  if (mState->mPositionals != nullptr) {
    text += fmt::format(" {}\n\n{}", mState->mPositionalsName, mState->mPositionalsHelp);
  }
  text +=
    "\n\nEach setting is given by a flag or an environment variable; the flag takes precedence.\n";
  for (const option& each : mState->mOptions) {
    text +=
      fmt::format("\n  --{}{}{}\n", each.mFlag, each.mSyntax.empty() ? "" : " ", each.mSyntax);
    text += fmt::format("      {}\n", each.mHelp);
    if (!each.mVariable.empty()) {
      text += fmt::format("      {}, default: {}\n", each.mVariable,
                          each.mDefault.empty() ? "none" : each.mDefault);
    }
  }
  return text;
}

} // namespace briarwind
