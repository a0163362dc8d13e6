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

/// The settings of one process, each given by a flag (`--store-url`) or by an environment variable
/// (`BRIARWIND_STORE_URL`, made from the flag's name). The flag wins. Every option is bound to a
/// variable of the caller that holds the default before and the value after `Parse`.
class option_set
{
public:
  /// @param aProgram name shown in --help
  /// @param aPurpose one sentence shown in --help
  option_set(std::string aProgram, std::string aPurpose);
  ~option_set();
  option_set(const option_set&) = delete;
  option_set& operator=(const option_set&) = delete;

  void Add(std::string_view aFlag, std::string& aTarget, std::string_view aHelp);
  void Add(std::string_view aFlag, bool& aTarget, std::string_view aHelp);
  /// A whole number from aMin to aMax, both allowed.
  void Add(std::string_view aFlag, std::int64_t& aTarget, std::int64_t aMin, std::int64_t aMax,
           std::string_view aHelp);
  /// A time with its unit, such as `250ms`, `2s` or `5m`.
  void Add(std::string_view aFlag, milliseconds& aTarget, milliseconds aMin, milliseconds aMax,
           std::string_view aHelp);
  /// `ip:port`.
  void Add(std::string_view aFlag, endpoint& aTarget, std::string_view aHelp);
  /// `ip:port,ip:port,…`, may be empty.
  void Add(std::string_view aFlag, std::vector<endpoint>& aTarget, std::string_view aHelp);
  /// Words after the flags, such as a command and its arguments.
  void AddWords(std::vector<std::string>& aTarget, std::string_view aName, std::string_view aHelp);
  /// A check over several options, run after all are read; appends to the findings.
  void AddCheck(std::function<void(findings&)> aCheck);

  /// Events and metrics that --catalogue prints, from which the pages in docs are made.
  void AddCatalogue(std::span<const event_kind> aEvents, std::span<const metric_kind> aMetrics);

  using environment = std::function<const char*(const char*)>;

  /// Reads flags and environment and collects every finding. Unknown flags and unknown variables
  /// that start with BRIARWIND_ are findings too (the latter warnings).
  /// @param aArguments without the program's name
  /// @param aVariables names of all variables that are set, to find unknown ones
  findings Parse(std::span<const char* const> aArguments, const environment& aEnvironment,
                 std::span<const std::string> aVariables = {});

  /// For main: parses, and on --help, --version, --catalogue, --check or an error prints and exits
  /// (0 for the first four when nothing is wrong, 2 for errors). Findings go to standard error.
  /// @param aArguments begins with the program's name, as main gets it
  void ParseOrExit(int aCount, const char* const* aArguments);

  /// The text of --help: each option with flag, variable, default and unit.
  std::string Help() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace briarwind
