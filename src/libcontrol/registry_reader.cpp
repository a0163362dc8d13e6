#include "registry_reader.h"

#include "control_events.h"

#include <utility>

namespace briarwind {

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

void registry_reader::RecordUnreadable(const std::vector<std::string>& aEntries)
{
  const std::vector<std::string> added = mUnreadable.Replace(aEntries);
  mMetrics.Set(kRegistryUnreadableEntries, static_cast<double>(mUnreadable.Count()));
  if (!added.empty()) {
    LogEvent(kRegistryUnreadable,
             { Field("entries", unreadable_entries::Summarise(added)), Field("new", added.size()),
               Field("all", mUnreadable.Count()) });
  }
}

} // namespace briarwind
