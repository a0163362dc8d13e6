#include "briarwind/time.h"

#include <ctime>

namespace briarwind {

boot_instant BootNow() noexcept
{
  timespec read{};
  ::clock_gettime(CLOCK_BOOTTIME, &read);
  return boot_instant(seconds(read.tv_sec) + std::chrono::nanoseconds(read.tv_nsec));
}

} // namespace briarwind
