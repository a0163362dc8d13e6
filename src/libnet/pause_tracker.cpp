#include "briarwind/pause_tracker.h"

namespace briarwind {

namespace {

// A tick may come this much late on a busy host without a pause.
constexpr milliseconds kTolerance{ 500 };
// Connections and requests that have waited in the kernel are read within this time after a pause.
constexpr milliseconds kSettleTime{ 500 };

} // namespace

void pause_tracker::OnTick(boot_instant aNow)
{
  if (aNow - mLastTick > kTickInterval + kTolerance) {
    mLastPause = pause{ mLastTick, aNow };
  }
  mLastTick = aNow;
}

duration pause_tracker::UnreadFor(boot_instant aNow) const
{
  // Input may be read before the tick that is due.
  if (aNow - mLastTick > kTickInterval + kTolerance) {
    return aNow - mLastTick;
  }
  return mLastPause && aNow - mLastPause->mEnded < kSettleTime ? aNow - mLastPause->mBegan
                                                               : duration(0);
}

} // namespace briarwind
