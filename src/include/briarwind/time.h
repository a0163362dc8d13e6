#pragma once

#include <chrono>
#include <cstdint>

namespace briarwind {

/// The clock for deadlines, leases and timeouts.
using monotonic_clock = std::chrono::steady_clock;

/// A point in time on the monotonic clock. The core logic never reads the clock; its callers pass
/// instants in.
using instant = monotonic_clock::time_point;

/// A span of time in nanoseconds; the standard `std::chrono` units convert to it without loss.
using duration = std::chrono::nanoseconds;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// A clock that, unlike the monotonic clock, keeps advancing while the host is suspended. Grants
/// that expire elsewhere, such as a lease in the store, are measured with it, because they expire
/// during a suspension too.
struct boot_clock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
};
using boot_instant = std::chrono::time_point<boot_clock>;

/// Returns the current time of the boot clock.
boot_instant BootNow() noexcept;

/// Wall-clock time, for logs and records only; never for a deadline.
using wall_time = std::chrono::system_clock::time_point;

/// Wall-clock time that callers choose freely. The nanoseconds of `wall_time` end in the year 2262.
using calendar_time = std::chrono::sys_time<milliseconds>;

/// aTime + aCount * aInterval, or the latest or earliest time of the type if that is out of range.
calendar_time SaturatingAdvance(calendar_time aTime, std::int64_t aCount,
                                milliseconds aInterval) noexcept;

} // namespace briarwind
