#include "briarwind/finding.h"

#include <fmt/format.h>

#include <algorithm>

namespace briarwind {

bool HasErrors(std::span<const finding> aFindings)
{
  return std::ranges::any_of(
    aFindings, [](const finding& aFinding) { return aFinding.mSeverity == severity::kError; });
}

std::string ToText(std::span<const finding> aFindings)
{
  std::string text;
  for (const finding& each : aFindings) {
    const char* word = each.mSeverity == severity::kError ? "error" : "warning";
    text += fmt::format("{} {}: \"{}\": {}\n", word, each.mPlace, each.mValue, each.mExpected);
  }
  return text;
}

} // namespace briarwind
