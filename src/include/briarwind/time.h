#pragma once

#include <chrono>

namespace briarwind {

/// The clock that every deadline, lease and timeout is measured by.
using monotonic_clock = std::chrono::steady_clock;

/// A point on the monotonic clock. The core never reads the clock: it is handed instants.
using instant = monotonic_clock::time_point;

/// A span of time; holds every finer `std::chrono` unit without loss.
using duration = std::chrono::nanoseconds;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Counts on while the host is suspended, as the monotonic clock does not: what others may rely on
/// only for a time, such as a store lease, is measured by it.
struct boot_clock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
};
using boot_instant = std::chrono::time_point<boot_clock>;

boot_instant BootNow() noexcept;

/// Time of day for logs and records only; never for a deadline.
using wall_time = std::chrono::system_clock::time_point;

} // namespace briarwind
