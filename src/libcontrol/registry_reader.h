#pragma once

#include "briarwind/metrics.h"
#include "briarwind/worker_gateway.h"

#include <set>
#include <string>
#include <vector>

namespace briarwind {

/// Reads the registry of workers and tells in the log what changes about reading it.
class registry_reader
{
public:
  registry_reader(worker_registry& aRegistry, metrics& aMetrics);

  /// The workers listed now. Entries that cannot be read are left out.
  io_result<std::vector<registered_worker>> Read(instant aDeadline);

private:
  void NoteReached(bool aReached, std::string_view aError);
  void NoteUnreadable(const std::vector<std::string>& aEntries);

  worker_registry& mRegistry;
  metrics& mMetrics;
  bool mReached = true;
  std::set<std::string> mUnreadable;
};

} // namespace briarwind
