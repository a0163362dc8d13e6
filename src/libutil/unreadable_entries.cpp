#include "briarwind/unreadable_entries.h"

#include <fmt/ranges.h>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace briarwind {

namespace {

// Most entries that one log line names, and most bytes of a name; the other entries are only
// counted.
constexpr std::size_t kMaxNamedEntries = 5;
constexpr std::size_t kMaxNameLength = 64;

} // namespace

std::vector<std::string> unreadable_entries::Replace(const std::vector<std::string>& aNames)
{
  std::set<std::string> names(aNames.begin(), aNames.end());
  std::vector<std::string> added;
  std::ranges::set_difference(names, mNames, std::back_inserter(added));
  mNames = std::move(names);
  mCount = aNames.size();
  return added;
}

std::string unreadable_entries::Summarise(const std::vector<std::string>& aNames)
{
  const auto named =
    aNames | std::views::take(kMaxNamedEntries) |
    std::views::transform([](const std::string& aName) { return aName.substr(0, kMaxNameLength); });
  return fmt::format("{}", fmt::join(named, " "));
}

} // namespace briarwind
