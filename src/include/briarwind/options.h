#pragma once

#include "briarwind/endpoint.h"
#include "briarwind/finding.h"
#include "briarwind/log.h"
#include "briarwind/metrics.h"
#include "briarwind/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// The options of one process. Each is given by a flag (`--store-url`) or an environment variable
/// derived from the flag's name (`BRIARWIND_STORE_URL`); the flag takes precedence. Every option is
/// bound to a variable of the caller, which holds the default before `Parse` and the value after
/// it, and must outlive the last call of `Parse`. An invalid value leaves the variable unchanged.
class option_set
{
public:
  /// @param aProgram name of the program, shown by --help and --version
  /// @param aPurpose one sentence on what the program does, shown by --help
  option_set(std::string aProgram, std::string aPurpose);
  ~option_set();
  option_set(const option_set&) = delete;
  option_set& operator=(const option_set&) = delete;

  /// Any text.
  void Add(std::string_view aFlag, std::string& aTarget, std::string_view aHelp);
  /// A boolean flag. The flag without a value means yes; as values, `true`, `yes`, `1`, `on` and
  /// `false`, `no`, `0`, `off` are accepted.
  void Add(std::string_view aFlag, bool& aTarget, std::string_view aHelp);
  /// A whole number from aMin to aMax inclusive.
  void Add(std::string_view aFlag, std::int64_t& aTarget, std::int64_t aMin, std::int64_t aMax,
           std::string_view aHelp);
  /// A duration from aMin to aMax inclusive, with its unit, such as `250ms`, `2s` or `5m`.
  void Add(std::string_view aFlag, milliseconds& aTarget, milliseconds aMin, milliseconds aMax,
           std::string_view aHelp);
  /// An endpoint `ip:port`.
  void Add(std::string_view aFlag, endpoint& aTarget, std::string_view aHelp);
  /// A list of endpoints `ip:port,ip:port,…`, which may be empty.
  void Add(std::string_view aFlag, std::vector<endpoint>& aTarget, std::string_view aHelp);
  /// Accepts positional arguments, such as a command and its operands. Without this call,
  /// positional arguments are errors.
  /// @param aName placeholder shown in the usage line of --help
  void AddPositionals(std::vector<std::string>& aTarget, std::string_view aName,
                      std::string_view aHelp);
  /// Adds a validation that spans several options. It runs after all options are read and appends
  /// to the findings.
  void AddCheck(std::function<void(findings&)> aCheck);

  /// Adds events and metrics to the output of --catalogue, from which docs/EVENTS.md and
  /// docs/METRICS.md are generated.
  void AddCatalogue(std::span<const event_kind> aEvents, std::span<const metric_kind> aMetrics);

  /// Returns the value of an environment variable, or a null pointer when it is not set.
  using environment = std::function<const char*(const char*)>;

  /// Reads flags and environment variables and returns all findings. An unknown flag is an error;
  /// an unknown variable that starts with BRIARWIND_ is a warning.
  /// @param aArguments the command line without the program's name
  /// @param aVariables names of all variables that are set, used to detect unknown ones
  findings Parse(std::span<const char* const> aArguments, const environment& aEnvironment,
                 std::span<const std::string> aVariables = {});

  /// Parses the command line and the environment of the process, for use in main. Prints findings
  /// to standard error and exits with status 2 on errors. --catalogue prints and exits with 0
  /// without regard to findings; --help, --version and --check print and exit with 0 when there is
  /// no error.
  /// @param aArguments the arguments of main, beginning with the program's name
  void ParseOrExit(int aCount, const char* const* aArguments);

  /// Returns the text of --help: each option with its flag, variable, default and range.
  std::string Help() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace briarwind
