#pragma once

#include "briarwind/time.h"

#include <optional>

namespace briarwind {

/// Detects that the process has stood still: stopped, suspended, or without processor time. Input
/// that is read afterwards may have waited unread all the while. Times are of the boot clock, which
/// counts suspensions.
class pause_tracker
{
public:
  /// Time between two calls of OnTick.
  static constexpr milliseconds kTickInterval{ 500 };

  explicit pause_tracker(boot_instant aNow)
    : mLastTick(aNow)
  {
  }

  /// To be called regularly while the process runs.
  void OnTick(boot_instant aNow);
  /// How long input that is read now may have waited; 0 unless the process has stood still.
  duration UnreadFor(boot_instant aNow) const;

private:
  /// A pause that has ended a moment ago.
  struct pause
  {
    boot_instant mBegan;
    boot_instant mEnded;
  };

  boot_instant mLastTick;
  std::optional<pause> mLastPause;
};

} // namespace briarwind
