#include "briarwind/instance_choice.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarwind {

namespace {

constexpr double kLatencyGain = 0.2; // weight of the newest sample in the moving average
constexpr std::chrono::duration<double> kDecayHalfLife = seconds(10);
// The latency estimate of an unused instance tends to this share of the service's mean latency. The
// share is below 1, because an idle service would otherwise never try again the instance that was
// the slowest when it was last used.
constexpr double kUnusedLatencyShare = 0.5;
constexpr double kMinAttemptsToEject = 4;
constexpr double kMinFailureRateToEject = 0.5;
constexpr seconds kBaseEjectionTime{ 1 };
constexpr int kMaxEjectionDoublings = 5;
constexpr seconds kSlowStartTime{ 5 };

/// Weight that samples of aSince still have at aNow.
double DecayFactor(instant aSince, instant aNow)
{
  const std::chrono::duration<double> passed = std::max(aNow - aSince, instant::duration::zero());
  return std::exp2(-passed / kDecayHalfLife);
}

} // namespace

instance_record::instance_record(std::string aName)
  : mName(std::move(aName))
{
}

duration instance_record::Latency(duration aServiceLatency, instant aNow) const
{
  if (mLatency <= 0) {
    return aServiceLatency;
  }
  const double serviceLatency = std::chrono::duration<double>(aServiceLatency).count();
  const double decay = DecayFactor(mLastSample, aNow);
  const double unusedLatency = serviceLatency * kUnusedLatencyShare;
  const double blended =
    serviceLatency > 0 ? unusedLatency + (mLatency - unusedLatency) * decay : mLatency;
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(blended));
}

double instance_record::FailureRate(instant aNow) const
{
  if (mAttempts <= 0) {
    return 0;
  }
  // One success is added to the counted attempts, so that a single failure gives no rate of 1.
  const double decay = DecayFactor(mLastSample, aNow);
  return mFailures * decay / (mAttempts * decay + 1);
}

double instance_record::SlowStartShare(instant aNow) const
{
  if (mEjections == 0 || aNow >= mEjectedUntil + kSlowStartTime) {
    return 1;
  }
  const std::chrono::duration<double> sinceEjection = aNow - mEjectedUntil;
  return std::clamp(sinceEjection / std::chrono::duration<double>(kSlowStartTime), 0.0, 1.0);
}

void instance_record::Decay(instant aNow)
{
  const double decay = DecayFactor(mLastSample, aNow);
  mAttempts *= decay;
  mFailures *= decay;
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
    // Failures give no latency sample: an instance that fails at once would look fast.
    mFailures += 1;
    return;
  }
  const double took = std::chrono::duration<double>(aTook).count();
  mLatency = mLatency <= 0 ? took : mLatency + kLatencyGain * (took - mLatency);
  if (SlowStartShare(aNow) >= 1) {
    mEjections = 0;
  }
}

bool instance_record::ShouldEject(instant aNow) const
{
  return !IsEjected(aNow) && mAttempts >= kMinAttemptsToEject &&
         mFailures / mAttempts >= kMinFailureRateToEject;
}

void instance_record::Eject(instant aNow)
{
  mEjectedUntil = aNow + kBaseEjectionTime * (1 << std::min(mEjections, kMaxEjectionDoublings));
  ++mEjections;
  mAttempts = 0;
  mFailures = 0;
}

} // namespace briarwind
