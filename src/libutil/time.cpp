#include "briarwind/time.h"

#include <ctime>

namespace briarwind {

boot_instant BootNow() noexcept
{
  timespec read{};
  ::clock_gettime(CLOCK_BOOTTIME, &read);
  return boot_instant(seconds(read.tv_sec) + std::chrono::nanoseconds(read.tv_nsec));
}

calendar_time SaturatingAdvance(calendar_time aTime, std::int64_t aCount,
                                milliseconds aInterval) noexcept
{
  using rep = milliseconds::rep;
  constexpr calendar_time kLatest = calendar_time::max();
  constexpr calendar_time kEarliest = calendar_time::min();
  rep offset = 0;
  if (__builtin_mul_overflow(rep{ aCount }, aInterval.count(), &offset)) {
    return (aCount < 0) == (aInterval.count() < 0) ? kLatest : kEarliest;
  }
  rep sum = 0;
  if (__builtin_add_overflow(aTime.time_since_epoch().count(), offset, &sum)) {
    return offset > 0 ? kLatest : kEarliest;
  }
  return calendar_time(milliseconds(sum));
}

} // namespace briarwind
