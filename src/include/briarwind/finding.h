#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace briarwind {

/// Severity of a finding. An error prevents the settings change or the start of the program; a
/// warning does not.
enum class severity : std::uint8_t
{
  kWarning,
  kError,
};

/// One problem with a setting, and where the setting was given.
struct finding
{
  severity mSeverity = severity::kError;
  std::string mPlace;    ///< `--flag`, `BRIARWIND_VARIABLE` or `/settings/path`
  std::string mValue;    ///< the offending value as given
  std::string mExpected; ///< human-readable description of a valid value
};

/// All findings of one validation.
using findings = std::vector<finding>;

/// Returns whether at least one finding is an error.
bool HasErrors(std::span<const finding> aFindings);

/// Formats each finding as one line: `error --port: "x": expected a number from 0 to 65535`.
std::string ToText(std::span<const finding> aFindings);

} // namespace briarwind
