#include "briarwind/backoff.h"

#include <algorithm>

namespace briarwind {

backoff::backoff(duration aFirst, duration aCap, std::uint64_t aSeed)
  : mFirst(aFirst)
  , mCap(aCap)
  , mLimit(aFirst)
  , mRandom(aSeed)
{
}

duration backoff::Next()
{
  std::uniform_int_distribution<duration::rep> distribution(0, mLimit.count());
  const duration delay{ distribution(mRandom) };
  mLimit = std::min(mCap, mLimit * 2);
  return delay;
}

void backoff::Reset()
{
  mLimit = mFirst;
}

} // namespace briarwind
