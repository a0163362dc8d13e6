#include "briarwind/instance_choice.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace briarwind {

namespace {

using candidate_list = std::span<const instance_record* const>;

// An instance of another failure domain is chosen when the local one costs more than this multiple.
constexpr double kMaxLocalCostRatio = 2.0;
// Cost of a failure in attempts.
constexpr double kFailurePenalty = 4.0;
// Keeps the cost above zero and the division by the mean latency defined.
constexpr double kMinLatency = 1e-6; // seconds

/// aTime in seconds, at least kMinLatency.
double ClampedSeconds(duration aTime)
{
  return std::max(std::chrono::duration<double>(aTime).count(), kMinLatency);
}

/// Expected time of one more request on the instance. Latency is scaled by the load after that
/// request and by the failures, each counted as further requests.
double Cost(const instance_record& aInstance, const choice_context& aContext)
{
  const double latency = ClampedSeconds(aInstance.Latency(aContext.mServiceLatency, aContext.mNow));
  const double failures = aInstance.FailureRate(aContext.mNow);
  const double load = (aInstance.InFlight() + 1.0) / std::max(1, aInstance.mSlots);
  return latency * load * (1 + kFailurePenalty * failures / std::max(0.05, 1 - failures));
}

/// Cost, or 0 for an idle instance that was never tried, so that it gets one request, which
/// measures its latency. Estimated at the mean latency of the service, the instance would lose to
/// every instance that is faster than the mean, and a service whose requests arrive one by one
/// would never use it.
double TrialCost(const instance_record& aInstance, const choice_context& aContext)
{
  const bool untried = aInstance.IsUntried() && aInstance.InFlight() == 0;
  return untried ? 0 : Cost(aInstance, aContext);
}

std::size_t DrawIndex(std::size_t aCount, choice_random& aRandom)
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
    mLocal.clear();
    mRemote.clear();
    for (std::size_t index = 0; index < aCandidates.size(); ++index) {
      auto& group = aCandidates[index]->mDomain == aContext.mDomain ? mLocal : mRemote;
      group.push_back(index);
    }
    if (mLocal.empty() || mRemote.empty()) {
      return BestOfTwo(mLocal.empty() ? mRemote : mLocal, aCandidates, aContext, aRandom);
    }
    const std::size_t local = BestOfTwo(mLocal, aCandidates, aContext, aRandom);
    const std::size_t remote = BestOfTwo(mRemote, aCandidates, aContext, aRandom);
    const double limit = kMaxLocalCostRatio * Cost(*aCandidates[remote], aContext);
    return Cost(*aCandidates[local], aContext) <= limit ? local : remote;
  }

private:
  static std::size_t BestOfTwo(const std::vector<std::size_t>& aGroup, candidate_list aCandidates,
                               const choice_context& aContext, choice_random& aRandom)
  {
    const std::size_t first = DrawIndex(aGroup.size(), aRandom);
    if (aGroup.size() == 1) {
      return aGroup[first];
    }
    const std::size_t second = (first + 1 + DrawIndex(aGroup.size() - 1, aRandom)) % aGroup.size();
    const double firstCost = TrialCost(*aCandidates[aGroup[first]], aContext);
    const double secondCost = TrialCost(*aCandidates[aGroup[second]], aContext);
    return firstCost <= secondCost ? aGroup[first] : aGroup[second];
  }

  std::vector<std::size_t> mLocal;
  std::vector<std::size_t> mRemote;
};

class round_robin : public choice_strategy
{
public:
  std::string_view Name() const override { return "round-robin"; }

  std::size_t Choose(candidate_list aCandidates, const choice_context& /*aContext*/,
                     choice_random& /*aRandom*/) override
  {
    // Candidates are sorted by name: takes the first one after the last choice, or wraps around.
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
    return mTied[DrawIndex(mTied.size(), aRandom)];
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
    const double serviceLatency = ClampedSeconds(aContext.mServiceLatency);
    std::ranges::transform(aCandidates, std::back_inserter(mWeights),
                           [&](const instance_record* aEach) {
                             return std::exp(-Cost(*aEach, aContext) / serviceLatency);
                           });
    if (std::accumulate(mWeights.begin(), mWeights.end(), 0.0) <= 0) {
      return DrawIndex(aCandidates.size(), aRandom);
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
