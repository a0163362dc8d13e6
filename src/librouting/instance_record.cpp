#include "briarwind/instance_choice.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarwind {

namespace {

constexpr double kLatencyGain = 0.2; // weight of the newest sample
constexpr std::chrono::duration<double> kMemory = seconds(10);
// What an unused instance is taken for in the end, as a share of the fleet's latency. Below 1, or
// an idle service would never try the instance that was the slowest when it was last used.
constexpr double kUnusedShare = 0.5;
constexpr double kAttemptsToJudge = 4;
constexpr double kFailuresToEject = 0.5;
constexpr seconds kFirstEjection{ 1 };
constexpr int kMostDoublings = 5;
constexpr seconds kReturnTime{ 5 };

double Remaining(instant aSince, instant aNow)
{
  const std::chrono::duration<double> passed = std::max(aNow - aSince, instant::duration::zero());
  return std::exp2(-passed / kMemory);
}

} // namespace

instance_record::instance_record(std::string aName)
  : mName(std::move(aName))
{
}

duration instance_record::Latency(duration aFleet, instant aNow) const
{
  if (mLatency <= 0) {
    return aFleet;
  }
  const double fleet = std::chrono::duration<double>(aFleet).count();
  const double kept = Remaining(mLastSample, aNow);
  const double unused = fleet * kUnusedShare;
  const double blended = fleet > 0 ? unused + (mLatency - unused) * kept : mLatency;
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(blended));
}

double instance_record::FailureRate(instant aNow) const
{
  if (mAttempts <= 0) {
    return 0;
  }
  // One good attempt is assumed beside the seen ones: a single failure is no verdict.
  const double kept = Remaining(mLastSample, aNow);
  return mFailures * kept / (mAttempts * kept + 1);
}

double instance_record::ReturnShare(instant aNow) const
{
  if (mEjections == 0 || aNow >= mEjectedUntil + kReturnTime) {
    return 1;
  }
  const std::chrono::duration<double> back = aNow - mEjectedUntil;
  return std::clamp(back / std::chrono::duration<double>(kReturnTime), 0.0, 1.0);
}

void instance_record::Decay(instant aNow)
{
  const double kept = Remaining(mLastSample, aNow);
  mAttempts *= kept;
  mFailures *= kept;
  mLastSample = aNow;
}

void instance_record::OnEnd(attempt_health aHealth, duration aTook, instant aNow)
{
  if (aHealth == attempt_health::kNeutral) {
    return;
  }
  Decay(aNow);
  mAttempts += 1;
  if (aHealth == attempt_health::kBad) {
    // The time of a failure is no sample: an instance that fails fast is not a fast instance.
    mFailures += 1;
    return;
  }
  const double took = std::chrono::duration<double>(aTook).count();
  mLatency = mLatency <= 0 ? took : mLatency + kLatencyGain * (took - mLatency);
  if (ReturnShare(aNow) >= 1) {
    mEjections = 0;
  }
}

bool instance_record::DeservesEjection(instant aNow) const
{
  return !IsEjected(aNow) && mAttempts >= kAttemptsToJudge &&
         mFailures / mAttempts >= kFailuresToEject;
}

void instance_record::Eject(instant aNow)
{
  mEjectedUntil = aNow + kFirstEjection * (1 << std::min(mEjections, kMostDoublings));
  ++mEjections;
  mAttempts = 0;
  mFailures = 0;
}

} // namespace briarwind
