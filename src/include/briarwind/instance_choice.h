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

/// How one attempt on an instance went, for the choice of the next.
enum class attempt_health : std::uint8_t
{
  kGood,
  kBad,     ///< failed, timed out or answered wrongly
  kNeutral, ///< tells nothing about the instance, such as a caller that went away
};

/// What a router knows of one instance from its own requests.
class instance_record
{
public:
  explicit instance_record(std::string aName);

  const std::string& Name() const { return mName; }
  int InFlight() const { return mInFlight; }
  /// No attempt has ended there, well or badly, since it was added or ejected.
  bool IsUntried() const { return mLatency <= 0 && mAttempts <= 0; }
  /// Mean time of good answers; aFleet until there is one. Falls below aFleet while unused, so that
  /// an instance that has recovered is tried again.
  duration Latency(duration aFleet, instant aNow) const;
  /// Share of recent attempts that went badly, 0 to 1.
  double FailureRate(instant aNow) const;
  bool IsEjected(instant aNow) const { return aNow < mEjectedUntil; }
  /// 0 when just back from an ejection, 1 when fully back.
  double ReturnShare(instant aNow) const;

  void OnStart() { ++mInFlight; }
  void OnRelease() { --mInFlight; }
  void OnEnd(attempt_health aHealth, duration aTook, instant aNow);
  bool DeservesEjection(instant aNow) const;
  void Eject(instant aNow);

  std::string mDomain;
  std::string mService;
  endpoint mAddress;
  bool mLeaving = false;
  int mSlots = 0; ///< requests that this router may run on it at once

private:
  void Decay(instant aNow);

  std::string mName;
  int mInFlight = 0;
  double mLatency = 0; ///< seconds; 0 when there is no sample
  double mAttempts = 0;
  double mFailures = 0;
  instant mLastSample;
  instant mEjectedUntil;
  int mEjections = 0;
};

/// What a strategy needs besides the candidates.
struct choice_context
{
  instant mNow;
  duration mFleetLatency; ///< mean over all instances of the service
  std::string_view mDomain;
};

/// Picks one of the candidates, which all have a free slot.
class choice_strategy
{
public:
  virtual ~choice_strategy() = default;
  virtual std::string_view Name() const = 0;
  /// @return index into aCandidates, which is not empty
  virtual std::size_t Choose(std::span<const instance_record* const> aCandidates,
                             const choice_context& aContext, choice_random& aRandom) = 0;
};

/// The cheaper of two drawn at random, by requests in flight, latency and failures. Its own failure
/// domain goes first unless the best of two elsewhere is much cheaper.
std::unique_ptr<choice_strategy> MakeTwoChoice();
std::unique_ptr<choice_strategy> MakeRoundRobin();
std::unique_ptr<choice_strategy> MakeLeastInFlight();
/// Draws with a probability that falls exponentially with latency and failures.
std::unique_ptr<choice_strategy> MakeExponentialWeighting();

} // namespace briarwind
