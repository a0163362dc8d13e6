#include "run_time_estimates.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarwind {

namespace {

// Tasks of one queue differ by about a third, so the mean of this many is off by a sixth.
constexpr int kMinSamples = 4;
// The mean follows about this many of the latest runs.
constexpr int kMemory = 32;
// Several times the queues and shapes of a fleet with 40 organisations.
constexpr std::size_t kMaxKinds = 512;

} // namespace

run_kind KindOf(const work_job& aJob, const work_step& aStep)
{
  return { aJob.mQueue, aStep.mDemand.mAccelerators, aStep.mDemand.mMilliCores, aStep.mGang };
}

void run_time_estimates::Add(const run_kind& aKind, milliseconds aTime)
{
  if (!mKinds.contains(aKind) && mKinds.size() >= kMaxKinds) {
    mKinds.erase(std::ranges::min_element(
      mKinds, {}, [](const auto& aEach) { return aEach.second.mLastUsed; }));
  }
  estimate& known = mKinds[aKind];
  known.mCount = std::min(known.mCount + 1, kMemory);
  known.mMean += (static_cast<double>(aTime.count()) - known.mMean) / known.mCount;
  known.mLastUsed = ++mAdded;
}

std::optional<milliseconds> run_time_estimates::Find(const run_kind& aKind) const
{
  const auto found = mKinds.find(aKind);
  if (found == mKinds.end() || found->second.mCount < kMinSamples) {
    return std::nullopt;
  }
  return milliseconds(std::llround(found->second.mMean));
}

} // namespace briarwind
