#pragma once

#include "briarwind/endpoint.h"
#include "briarwind/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace briarwind {

using choice_random = std::mt19937_64;

/// Result of one attempt as it counts in the statistics of the instance.
enum class attempt_health : std::uint8_t
{
  kGood,    ///< answered correctly
  kBad,     ///< failed, timed out or answered wrongly
  kNeutral, ///< not caused by the instance and not counted, such as a deadline that was too short
};

/// Statistics of one instance, gathered from the requests that this router sent to it. They decay
/// exponentially, so that recent attempts count most.
class instance_record
{
public:
  explicit instance_record(std::string aName);

  const std::string& Name() const { return mName; }
  int InFlight() const { return mInFlight; }
  /// Whether no attempt has succeeded yet, and none has been counted since the instance was added
  /// or last ejected.
  bool IsUntried() const { return mLatency <= 0 && mAttempts <= 0; }
  /// Moving average of the time that successful attempts took; aServiceLatency, the mean of the
  /// service, before the first success. While the instance is unused the value tends to a part of
  /// aServiceLatency, so that an instance that has recovered is tried again.
  duration Latency(duration aServiceLatency, instant aNow) const;
  /// Failed share of recent attempts, 0 to 1.
  double FailureRate(instant aNow) const;
  bool IsEjected(instant aNow) const { return aNow < mEjectedUntil; }
  /// Share of its normal traffic that the instance gets during slow start: 0 right after an
  /// ejection, rising to 1.
  double SlowStartShare(instant aNow) const;

  /// An attempt starts and occupies a slot.
  void OnStart() { ++mInFlight; }
  /// The slot of an attempt is free again.
  void OnRelease() { --mInFlight; }
  /// Counts the result of an attempt that took aTook.
  void OnEnd(attempt_health aHealth, duration aTook, instant aNow);
  /// Whether enough attempts were made and enough of them failed.
  bool ShouldEject(instant aNow) const;
  /// Ejects the instance for a time that doubles with each ejection in a row, up to a limit.
  void Eject(instant aNow);

  std::string mDomain;
  std::string mService;
  endpoint mAddress;
  bool mLeaving = false;
  int mSlots = 0; ///< how many requests this router may have in flight on the instance

private:
  void Decay(instant aNow);

  std::string mName;
  int mInFlight = 0;
  double mLatency = 0;  ///< seconds; 0 when there is no sample
  double mAttempts = 0; ///< with exponential decay, as of mLastSample
  double mFailures = 0; ///< part of mAttempts
  instant mLastSample;
  instant mEjectedUntil;
  int mEjections = 0; ///< ejections in a row
};

/// Input of a strategy besides the candidates.
struct choice_context
{
  instant mNow;
  duration mServiceLatency; ///< mean over all instances of the service
  std::string_view mDomain; ///< failure domain of this router
};

/// Load-balancing strategy: chooses among the instances that have a free slot.
class choice_strategy
{
public:
  virtual ~choice_strategy() = default;
  virtual std::string_view Name() const = 0;
  /// @return index into aCandidates, which is not empty
  virtual std::size_t Choose(std::span<const instance_record* const> aCandidates,
                             const choice_context& aContext, choice_random& aRandom) = 0;
};

/// Power of two choices: draws two instances at random and takes the one with the lower cost, which
/// grows with requests in flight, latency and failures. Draws from the router's own failure domain,
/// unless the better of two instances in other domains costs much less.
std::unique_ptr<choice_strategy> MakeTwoChoice();
/// Goes through the instances in the order of their names.
std::unique_ptr<choice_strategy> MakeRoundRobin();
/// Takes an instance with the fewest requests in flight, at random among equals.
std::unique_ptr<choice_strategy> MakeLeastInFlight();
/// Draws an instance with a probability that falls exponentially with the same cost that
/// MakeTwoChoice uses.
std::unique_ptr<choice_strategy> MakeExponentialWeighting();

} // namespace briarwind
