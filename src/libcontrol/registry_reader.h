#pragma once

#include "briarwind/metrics.h"
#include "briarwind/unreadable_entries.h"
#include "briarwind/worker_gateway.h"

#include <string>
#include <vector>

namespace briarwind {

/// Reads the registry of workers, and logs when it becomes unreadable or readable again and which
/// entries cannot be parsed.
class registry_reader
{
public:
  registry_reader(worker_registry& aRegistry, metrics& aMetrics);

  /// The workers listed now, without the entries that cannot be parsed.
  io_result<std::vector<registered_worker>> Read(instant aDeadline);

private:
  void LogReachability(bool aIsReachable, std::string_view aError);
  void RecordUnreadable(const std::vector<std::string>& aEntries);

  worker_registry& mRegistry;
  metrics& mMetrics;
  bool mIsReachable = true;
  unreadable_entries mUnreadable;
};

} // namespace briarwind
