#include "registry_reader.h"

#include "control_events.h"

#include <fmt/ranges.h>

#include <algorithm>
#include <ranges>

namespace briarwind {

namespace {

// Entries that one log line names; it counts the others.
constexpr std::size_t kMostNamed = 5;

} // namespace

registry_reader::registry_reader(worker_registry& aRegistry, metrics& aMetrics)
  : mRegistry(aRegistry)
  , mMetrics(aMetrics)
{
}

io_result<std::vector<registered_worker>> registry_reader::Read(instant aDeadline)
{
  auto listing = mRegistry.Read(aDeadline);
  NoteReached(listing.has_value(), listing ? std::string_view() : ToString(listing.error().mKind));
  if (!listing) {
    return boost::outcome_v2::failure(std::move(listing).error());
  }
  NoteUnreadable(listing.value().mUnreadable);
  return std::move(listing).value().mWorkers;
}

void registry_reader::NoteReached(bool aReached, std::string_view aError)
{
  if (std::exchange(mReached, aReached) != aReached) {
    LogEvent(aReached ? kRegistryRegained : kRegistryLost, { Field("error", aError) });
  }
}

// An entry that stays as it is would be told of with each reading; only what is new is logged.
void registry_reader::NoteUnreadable(const std::vector<std::string>& aEntries)
{
  std::set<std::string> entries(aEntries.begin(), aEntries.end());
  std::vector<std::string> fresh;
  std::ranges::set_difference(entries, mUnreadable, std::back_inserter(fresh));
  mUnreadable = std::move(entries);
  mMetrics.Set(kRegistryUnreadableEntries, static_cast<double>(mUnreadable.size()));
  if (!fresh.empty()) {
    const auto named = fresh | std::views::take(kMostNamed);
    LogEvent(kRegistryUnreadable, { Field("entries", fmt::format("{}", fmt::join(named, " "))),
                                    Field("new", fresh.size()), Field("all", mUnreadable.size()) });
  }
}

} // namespace briarwind
