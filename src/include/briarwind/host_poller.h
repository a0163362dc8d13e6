#pragma once

#include "briarwind/fiber_runtime.h"
#include "briarwind/host_list.h"
#include "briarwind/http_client.h"
#include "briarwind/log.h"
#include "briarwind/metrics.h"

#include <cstddef>
#include <functional>
#include <span>
#include <vector>

namespace briarwind {

inline constexpr event_kind kHostListLost{ 1010, log_level::kWarning, "host-list.lost",
                                           "The host list could not be read; the last one is "
                                           "kept." };
inline constexpr event_kind kHostListBack{ 1011, log_level::kInfo, "host-list.back",
                                           "The host list can be read again." };
inline constexpr event_kind kHostListOlder{ 1012, log_level::kWarning, "host-list.older",
                                            "The host list went back to an older version and was "
                                            "ignored." };
inline constexpr metric_kind kHostListFailures{ metric_type::kCounter,
                                                "briarwind_host_list_failures_total", "",
                                                "Failed reads of the host list." };

/// All of the above.
std::span<const event_kind> HostListEvents();
std::span<const metric_kind> HostListMetrics();

/// Reads the host list again and again and hands over each one that is not older than the last.
class host_poller
{
public:
  using observer = std::function<void(const host_list&)>;

  host_poller(fiber_runtime& aRuntime, std::vector<endpoint> aSources, milliseconds aEvery,
              metrics& aMetrics, observer aObserver);

  /// Reads forever; to be run in a fiber.
  void Run();

private:
  io_result<host_list> Read();
  void Accept(const host_list& aList);
  void NoteFailure(const error& aError);

  std::vector<endpoint> mSources;
  milliseconds mEvery;
  metrics& mMetrics;
  observer mObserver;
  http_pool mPool;
  std::size_t mSource = 0;
  bool mLost = false;
  bool mHasList = false;
  std::int64_t mVersion = 0;
  int mOlderInRow = 0;
};

} // namespace briarwind
