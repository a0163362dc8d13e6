#include "briarwind/time_text.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <limits>

namespace briarwind {

namespace {

struct time_unit
{
  std::string_view mName;
  milliseconds mLength;
};

constexpr std::array<time_unit, 3> kUnits{ {
  { "m", minutes{ 1 } },
  { "s", seconds{ 1 } },
  { "ms", milliseconds{ 1 } },
} };

} // namespace

result<milliseconds> ParseTime(std::string_view aText)
{
  std::int64_t number = 0;
  const char* last = aText.data() + aText.size();
  const auto [end, code] = std::from_chars(aText.data(), last, number);
  const std::string_view name(end, static_cast<std::size_t>(last - end));
  const auto* unit = std::ranges::find(kUnits, name, &time_unit::mName);
  if (code != std::errc{} || unit == kUnits.end()) {
    return MakeError(error_kind::kInvalid, std::string(aText),
                     "expected a whole number with its unit ms, s or m, such as 250ms");
  }
  const std::int64_t limit = std::numeric_limits<std::int64_t>::max() / unit->mLength.count();
  if (number < 0 || number > limit) {
    return MakeError(error_kind::kInvalid, std::string(aText), "the time is negative or too long");
  }
  return number * unit->mLength;
}

std::string ToString(milliseconds aTime)
{
  const auto* unit = std::ranges::find_if(
    kUnits, [&](const time_unit& aUnit) { return aTime % aUnit.mLength == milliseconds{ 0 }; });
  if (aTime == milliseconds{ 0 }) {
    return "0ms";
  }
  return fmt::format("{}{}", aTime / unit->mLength, unit->mName);
}

} // namespace briarwind
