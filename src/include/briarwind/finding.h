#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace briarwind {

/// How much a finding matters: an error stops the change or the start, a warning does not.
enum class severity : std::uint8_t
{
  kWarning,
  kError,
};

/// One thing that is wrong with a setting, with its place.
struct finding
{
  severity mSeverity = severity::kError;
  std::string mPlace;    ///< `--flag`, `BRIARWIND_VARIABLE` or `/settings/path`
  std::string mValue;    ///< the value as given
  std::string mExpected; ///< what would have been right, for people
};

/// All findings of one check, reported together.
using findings = std::vector<finding>;

/// Whether at least one finding is an error.
bool HasErrors(std::span<const finding> aFindings);

/// One line a finding: `error --port: "x": expected a number from 0 to 65535`.
std::string ToText(std::span<const finding> aFindings);

} // namespace briarwind
