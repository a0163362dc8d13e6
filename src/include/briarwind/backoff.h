#pragma once

#include "briarwind/time.h"

#include <cstdint>
#include <random>

namespace briarwind {

/// Waits between attempts: random up to a limit that doubles from a first value to a cap (full
/// jitter), so that many processes that failed together do not come back together.
class backoff
{
public:
  backoff(duration aFirst, duration aCap, std::uint64_t aSeed);

  /// The wait before the next attempt, from zero to the limit.
  duration Next();
  /// Starts again from the first value, after an attempt that worked.
  void Reset();

private:
  duration mFirst;
  duration mCap;
  duration mLimit;
  std::mt19937_64 mRandom;
};

} // namespace briarwind
