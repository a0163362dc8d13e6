#pragma once

#include "briarwind/time.h"

#include <cstdint>
#include <random>

namespace briarwind {

/// Exponential backoff with full jitter. Each delay is drawn evenly from zero up to a limit; the
/// limit doubles after each delay, up to a cap. The jitter spreads the retries of processes that
/// failed at the same time.
class backoff
{
public:
  /// @param aFirst limit of the first delay
  /// @param aCap largest value that the limit doubles to
  /// @param aSeed seed of the random delays; equal seeds give equal delays
  backoff(duration aFirst, duration aCap, std::uint64_t aSeed);

  /// Returns the delay before the next attempt, from zero to the current limit, and doubles the
  /// limit.
  duration Next();
  /// Sets the limit back to its first value, for use after a successful attempt.
  void Reset();

private:
  duration mFirst;
  duration mCap;
  duration mLimit;
  std::mt19937_64 mRandom;
};

} // namespace briarwind
