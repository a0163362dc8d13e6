#include "briarwind/instance_choice.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace briarwind {

namespace {

using candidate_list = std::span<const instance_record* const>;

// Another failure domain is chosen when the own one costs this many times as much.
constexpr double kSpillFactor = 2.0;
constexpr double kFailurePenalty = 4.0;
constexpr double kSmallestLatency = 1e-6;

double Seconds(duration aTime)
{
  return std::max(std::chrono::duration<double>(aTime).count(), kSmallestLatency);
}

/// Expected time of one more request, failures counted as further requests.
double Cost(const instance_record& aInstance, const choice_context& aContext)
{
  const double latency = Seconds(aInstance.Latency(aContext.mFleetLatency, aContext.mNow));
  const double failures = aInstance.FailureRate(aContext.mNow);
  const double load = (aInstance.InFlight() + 1.0) / std::max(1, aInstance.mSlots);
  return latency * load * (1 + kFailurePenalty * failures / std::max(0.05, 1 - failures));
}

// An instance that was never tried gets one request, to show how fast it is: taken to be as slow as
// the fleet it would lose to each instance that is faster than the mean, and a service whose
// callers come one by one would never use it.
double TrialCost(const instance_record& aInstance, const choice_context& aContext)
{
  const bool untried = aInstance.IsUntried() && aInstance.InFlight() == 0;
  return untried ? 0 : Cost(aInstance, aContext);
}

std::size_t Draw(std::size_t aCount, choice_random& aRandom)
{
  return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(aRandom);
}

class two_choice : public choice_strategy
{
public:
  std::string_view Name() const override { return "two-choice"; }

  std::size_t Choose(candidate_list aCandidates, const choice_context& aContext,
                     choice_random& aRandom) override
  {
    mNear.clear();
    mFar.clear();
    for (std::size_t index = 0; index < aCandidates.size(); ++index) {
      auto& side = aCandidates[index]->mDomain == aContext.mDomain ? mNear : mFar;
      side.push_back(index);
    }
    if (mNear.empty() || mFar.empty()) {
      return BestOfTwo(mNear.empty() ? mFar : mNear, aCandidates, aContext, aRandom);
    }
    const std::size_t near = BestOfTwo(mNear, aCandidates, aContext, aRandom);
    const std::size_t far = BestOfTwo(mFar, aCandidates, aContext, aRandom);
    const double limit = kSpillFactor * Cost(*aCandidates[far], aContext);
    return Cost(*aCandidates[near], aContext) <= limit ? near : far;
  }

private:
  static std::size_t BestOfTwo(const std::vector<std::size_t>& aSide, candidate_list aCandidates,
                               const choice_context& aContext, choice_random& aRandom)
  {
    const std::size_t first = Draw(aSide.size(), aRandom);
    if (aSide.size() == 1) {
      return aSide[first];
    }
    const std::size_t second = (first + 1 + Draw(aSide.size() - 1, aRandom)) % aSide.size();
    const double firstCost = TrialCost(*aCandidates[aSide[first]], aContext);
    const double secondCost = TrialCost(*aCandidates[aSide[second]], aContext);
    return firstCost <= secondCost ? aSide[first] : aSide[second];
  }

  std::vector<std::size_t> mNear;
  std::vector<std::size_t> mFar;
};

class round_robin : public choice_strategy
{
public:
  std::string_view Name() const override { return "round-robin"; }

  std::size_t Choose(candidate_list aCandidates, const choice_context& /*aContext*/,
                     choice_random& /*aRandom*/) override
  {
    // The first candidate after the last one chosen, in the order of names.
    const auto next = std::ranges::find_if(
      aCandidates, [&](const instance_record* aEach) { return aEach->Name() > mLast; });
    const auto index = next == aCandidates.end() ? 0 : next - aCandidates.begin();
    mLast = aCandidates[static_cast<std::size_t>(index)]->Name();
    return static_cast<std::size_t>(index);
  }

private:
  std::string mLast;
};

class least_in_flight : public choice_strategy
{
public:
  std::string_view Name() const override { return "least-in-flight"; }

  std::size_t Choose(candidate_list aCandidates, const choice_context& /*aContext*/,
                     choice_random& aRandom) override
  {
    const auto least = std::ranges::min(aCandidates, {}, &instance_record::InFlight)->InFlight();
    mTied.clear();
    for (std::size_t index = 0; index < aCandidates.size(); ++index) {
      if (aCandidates[index]->InFlight() == least) {
        mTied.push_back(index);
      }
    }
    return mTied[Draw(mTied.size(), aRandom)];
  }

private:
  std::vector<std::size_t> mTied;
};

class exponential_weighting : public choice_strategy
{
public:
  std::string_view Name() const override { return "exponential-weighting"; }

  std::size_t Choose(candidate_list aCandidates, const choice_context& aContext,
                     choice_random& aRandom) override
  {
    mWeights.clear();
    const double fleet = Seconds(aContext.mFleetLatency);
    std::ranges::transform(
      aCandidates, std::back_inserter(mWeights),
      [&](const instance_record* aEach) { return std::exp(-Cost(*aEach, aContext) / fleet); });
    if (std::accumulate(mWeights.begin(), mWeights.end(), 0.0) <= 0) {
      return Draw(aCandidates.size(), aRandom);
    }
    return std::discrete_distribution<std::size_t>(mWeights.begin(), mWeights.end())(aRandom);
  }

private:
  std::vector<double> mWeights;
};

} // namespace

std::unique_ptr<choice_strategy> MakeTwoChoice()
{
  return std::make_unique<two_choice>();
}

std::unique_ptr<choice_strategy> MakeRoundRobin()
{
  return std::make_unique<round_robin>();
}

std::unique_ptr<choice_strategy> MakeLeastInFlight()
{
  return std::make_unique<least_in_flight>();
}

std::unique_ptr<choice_strategy> MakeExponentialWeighting()
{
  return std::make_unique<exponential_weighting>();
}

} // namespace briarwind
