#include "run_pace.h"

#include <algorithm>

namespace briarwind {

namespace {

// A measurement over a single percent could be wrong by a startup or a late report.
constexpr int kMinGained = 2;
// Workers become up to seven times slower at times; a run that is slowed down is not stalled.
constexpr int kMaxSlowdown = 8;
// How long workers stay that slow: periods of 6 s were seen.
constexpr milliseconds kSlowPeriod{ 6'000 };
// How many times longer than measured one percent may take on a worker of usual speed: tasks of a
// step differ by 30% either way, and workers run at 0.8 to 1.3 of the usual speed.
constexpr double kMaxVariation = 3;
// Declared run times are up to this many times too low.
constexpr double kDeclaredFactor = 20;
// Variation beyond that, between the parts of one run.
constexpr double kDeclaredVariation = 1.5;
// The time doubles with each stop of the task up to this many times: 0.9 s become 16 hours.
constexpr int kMaxDoublings = 16;
constexpr int kPercents = 100;

// Longest time for one percent that usually takes the given time. While a worker is slow, a short
// percent takes kMaxSlowdown times as long; a long one lasts longer than the slow period and is
// delayed by no more than that.
milliseconds LongestStep(std::chrono::duration<double, std::milli> aUsual, double aVariation)
{
  const auto longest = std::min<std::chrono::duration<double, std::milli>>(
    aUsual * kMaxSlowdown, aUsual * aVariation + kSlowPeriod);
  return std::chrono::ceil<milliseconds>(longest);
}

} // namespace

run_pace::run_pace(instant aStartedAt)
  : mBasePercent(0)
  , mBaseAt(aStartedAt)
  , mFromStart(true)
{
}

void run_pace::Observe(int aPercent, instant aAt)
{
  if (aPercent < mPercent) {
    mBasePercent = aPercent;
    mBaseAt = aAt;
    mFromStart = false;
  } else if (aPercent > mPercent && mPercent >= 0 && mBasePercent < 0) {
    mBasePercent = aPercent;
    mBaseAt = aAt;
  }
  if (aPercent != mPercent) {
    mPercent = aPercent;
    mChangedAt = aAt;
  }
}

// A change is reported up to a report interval late, so the measured time may be too short by that.
// The start of a run is known exactly.
std::optional<milliseconds> run_pace::TimePerPercent(milliseconds aReportInterval) const
{
  const int gained = mPercent - mBasePercent;
  if (mBasePercent < 0 || gained < kMinGained) {
    return std::nullopt;
  }
  const auto margin = mFromStart ? milliseconds{ 0 } : aReportInterval;
  return std::chrono::ceil<milliseconds>((mChangedAt - mBaseAt + margin) / gained);
}

// The learned time is a mean over tasks that may differ a hundredfold, so it can show that a
// declared time is too short, not that a run has to be faster.
milliseconds MaxTimeWithoutProgress(const pace_evidence& aEvidence, const work_options& aOptions)
{
  const int remote = aEvidence.mIsRemote ? kRemoteFactor : 1;
  milliseconds longest = aOptions.mMaxStallTime; // nothing indicates how long the run takes
  if (aEvidence.mOwn) {
    longest = LongestStep(*aEvidence.mOwn, kMaxVariation);
  } else if (aEvidence.mPeers) {
    longest = LongestStep(*aEvidence.mPeers * remote, kMaxVariation);
  } else if (aEvidence.mLearned || aEvidence.mDeclared.count() > 0) {
    const std::chrono::duration<double, std::milli> declared = aEvidence.mDeclared;
    const std::chrono::duration<double, std::milli> learned =
      aEvidence.mLearned.value_or(milliseconds{ 0 });
    longest =
      std::max(LongestStep(declared * kDeclaredFactor * remote / kPercents, kDeclaredVariation),
               LongestStep(learned * remote / kPercents, kMaxVariation));
  }
  return std::max(longest, aOptions.mMinStallTime) *
         (std::int64_t{ 1 } << std::min(aEvidence.mEarlierStalls, kMaxDoublings));
}

} // namespace briarwind
