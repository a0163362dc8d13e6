#include "pace_control.h"

#include <algorithm>
#include <array>

namespace briarwind {

namespace {

// A serving task must not miss its target for 4 s in a row because of best-effort tasks. Reports
// come every 0.8 s, so the last step is ordered after 2.4 s and shows in the tail by 3 s.
constexpr std::array kSteps{ 100, 50, 20, 0 };
constexpr int kLastStep = static_cast<int>(kSteps.size()) - 1;
// An order takes effect after 100 ms, and the tail covers half a second: an earlier report still
// shows the time before the order.
constexpr milliseconds kEffectTime{ 600 };
// Below this share of its target a serving task has slack.
constexpr double kSlackLoad = 0.8;
// How long there must be slack before the pace is raised.
constexpr milliseconds kFirstRaiseWait{ 2'000 };
constexpr milliseconds kMaxRaiseWait{ 64'000 };
// A target that is missed this soon after a raise was missed because of it: the next raise waits
// twice as long, so that the target is missed ever more seldom.
constexpr milliseconds kRaiseTrial{ 3'000 };

} // namespace

int pace_control::Percent() const
{
  return kSteps.at(static_cast<std::size_t>(mStep));
}

void pace_control::SetLowest(instant aNow)
{
  mStep = kLastStep;
  mChangedAt = aNow;
  mRaiseWait = kFirstRaiseWait;
}

void pace_control::Apply(double aLoad, instant aNow)
{
  if (mStep > 0 && aNow - mChangedAt < kEffectTime) {
    return;
  }
  if (aLoad > 1) {
    mSlackSince = {};
    if (mRaisedAt != instant() && aNow - mRaisedAt < kRaiseTrial) {
      mRaiseWait = std::min(2 * mRaiseWait, kMaxRaiseWait);
      mRaisedAt = {};
    }
    mRaiseWait = std::max(mRaiseWait, kFirstRaiseWait);
    if (mStep < kLastStep) {
      ++mStep;
      mChangedAt = aNow;
    }
    return;
  }
  if (aLoad > kSlackLoad || mStep == 0) {
    mSlackSince = {};
    return;
  }
  if (mSlackSince == instant()) {
    mSlackSince = aNow;
  }
  if (aNow - mSlackSince >= mRaiseWait) {
    --mStep;
    mChangedAt = aNow;
    mRaisedAt = aNow;
    mSlackSince = {};
  }
}

} // namespace briarwind
