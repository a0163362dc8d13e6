#include "briarwind/time.h"

#include <ctime>

namespace briarwind {

boot_clock::time_point boot_clock::now() noexcept
{
  timespec read{};
  ::clock_gettime(CLOCK_BOOTTIME, &read);
  return time_point(seconds(read.tv_sec) + std::chrono::nanoseconds(read.tv_nsec));
}

} // namespace briarwind
