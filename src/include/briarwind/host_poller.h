#pragma once

#include "briarwind/fiber_runtime.h"
#include "briarwind/host_list.h"
#include "briarwind/http_client.h"
#include "briarwind/log.h"
#include "briarwind/metrics.h"
#include "briarwind/unreadable_entries.h"

#include <cstddef>
#include <functional>
#include <span>
#include <vector>

namespace briarwind {

inline constexpr event_kind kHostListLost{ 1010, log_level::kWarning, "host-list.lost",
                                           "The host list could not be read; the last one that "
                                           "was read stays in use." };
inline constexpr event_kind kHostListBack{ 1011, log_level::kInfo, "host-list.back",
                                           "The host list can be read again." };
inline constexpr event_kind kHostListOlder{ 1012, log_level::kWarning, "host-list.older",
                                            "The host list that was read is older than the one in "
                                            "use and was ignored." };
inline constexpr event_kind kHostListUnreadable{
  1013, log_level::kWarning, "host-list.unreadable-entries",
  "Entries of the host list describe no host and are ignored; `entries` names the first of the new "
  "ones."
};
inline constexpr metric_kind kHostListUnreadableEntries{
  metric_type::kGauge, "briarwind_host_list_unreadable_entries", "",
  "Entries of the host list that describe no host, as last read."
};
inline constexpr metric_kind kHostListFailures{ metric_type::kCounter,
                                                "briarwind_host_list_failures_total", "",
                                                "Failed reads of the host list." };

/// All event kinds and metric kinds of the host poller.
std::span<const event_kind> HostListEvents();
std::span<const metric_kind> HostListMetrics();

/// Polls the host list service and calls an observer with each list that differs in version from
/// the list in use. A list with an older version is ignored until several in a row were older.
class host_poller
{
public:
  using observer = std::function<void(const host_list&)>;

  /// @param aSources endpoints of the service; the next one is tried after each failed read
  /// @param aInterval wait between two reads
  host_poller(fiber_runtime& aRuntime, std::vector<endpoint> aSources, milliseconds aInterval,
              metrics& aMetrics, observer aObserver);

  /// Polls forever; has to run in a fiber of its own. Returns at once when there are no sources.
  void Run();

private:
  io_result<host_list> FetchList();
  void Accept(const host_list& aList);
  void RecordUnreadable(const std::vector<std::string>& aEntries);
  void HandleFailure(const error& aError);

  std::vector<endpoint> mSources;
  milliseconds mInterval;
  metrics& mMetrics;
  observer mObserver;
  http_pool mPool;
  std::size_t mSourceIndex = 0;
  bool mIsFailing = false;
  bool mHasList = false;
  std::int64_t mVersion = 0;
  int mConsecutiveOlder = 0;
  unreadable_entries mUnreadable;
};

} // namespace briarwind
