#pragma once

#include "briarwind/time.h"

namespace briarwind {

/// Sets how fast the best-effort tasks of one worker may go, by the response times of the serving
/// tasks beside them.
class pace_control
{
public:
  /// Applies one measurement of the worker's serving tasks.
  /// @param aLoad tail of the response times as a share of its target, of the task that is worst
  ///        off; above 1 the target is missed
  void Apply(double aLoad, instant aNow);
  /// Goes to the lowest pace at once.
  void SetLowest(instant aNow);
  /// Called when the worker has no serving task any more.
  void Reset() { *this = {}; }
  /// Share of the full pace in percent, 0 to 100.
  int Percent() const;

private:
  int mStep = 0; ///< 0 is the full pace
  instant mChangedAt;
  instant mRaisedAt;
  instant mSlackSince; ///< instant() without slack
  milliseconds mRaiseWait{ 0 };
};

} // namespace briarwind
