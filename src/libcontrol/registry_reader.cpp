#include "registry_reader.h"

#include "control_events.h"

#include <fmt/ranges.h>

#include <algorithm>
#include <ranges>

namespace briarwind {

namespace {

// Most entries that one log line names; the others are only counted.
constexpr std::size_t kMaxNamedEntries = 5;

} // namespace

registry_reader::registry_reader(worker_registry& aRegistry, metrics& aMetrics)
  : mRegistry(aRegistry)
  , mMetrics(aMetrics)
{
}

io_result<std::vector<registered_worker>> registry_reader::Read(instant aDeadline)
{
  auto listing = mRegistry.Read(aDeadline);
  LogReachability(listing.has_value(),
                  listing ? std::string_view() : ToString(listing.error().mKind));
  if (!listing) {
    return boost::outcome_v2::failure(std::move(listing).error());
  }
  RecordUnreadable(listing.value().mUnreadable);
  return std::move(listing).value().mWorkers;
}

void registry_reader::LogReachability(bool aIsReachable, std::string_view aError)
{
  if (std::exchange(mIsReachable, aIsReachable) != aIsReachable) {
    LogEvent(aIsReachable ? kRegistryRegained : kRegistryLost, { Field("error", aError) });
  }
}

// Logs only entries that were not unreadable at the previous read; otherwise each read would log
// the same entries again.
void registry_reader::RecordUnreadable(const std::vector<std::string>& aEntries)
{
  std::set<std::string> entries(aEntries.begin(), aEntries.end());
  std::vector<std::string> added;
  std::ranges::set_difference(entries, mUnreadable, std::back_inserter(added));
  mUnreadable = std::move(entries);
  mMetrics.Set(kRegistryUnreadableEntries, static_cast<double>(mUnreadable.size()));
  if (!added.empty()) {
    const auto named = added | std::views::take(kMaxNamedEntries);
    LogEvent(kRegistryUnreadable, { Field("entries", fmt::format("{}", fmt::join(named, " "))),
                                    Field("new", added.size()), Field("all", mUnreadable.size()) });
  }
}

} // namespace briarwind
