#include "routing_state.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace briarwind {

namespace {

// Largest share of the time to the deadline that the expected time to the answer may take.
constexpr double kMaxWaitShare = 0.75;
// While other requests wait, a request starts only when its deadline is this many mean latencies
// away.
constexpr int kMinLatenciesLeft = 2;
// Weight of the newest answer in the moving average of a service's latency.
constexpr double kServiceLatencyGain = 0.02;
// At most one of this many instances of a service is ejected at the same time.
constexpr std::size_t kInstancesPerEjection = 5;

attempt_health HealthOf(reason aReason, duration aTook, duration aServiceLatency)
{
  if (aReason == reason::kAnswered) {
    return attempt_health::kGood;
  }
  // An attempt that had less than twice the mean latency is not counted against the instance.
  if (aReason == reason::kDeadlineSent && aTook < 2 * aServiceLatency) {
    return attempt_health::kNeutral;
  }
  return attempt_health::kBad;
}

} // namespace

routing_core::state::state(routing_options aOptions, std::unique_ptr<choice_strategy> aChoice)
  : mOptions(std::move(aOptions))
  , mChoice(std::move(aChoice))
  , mRandom(mOptions.mSeed)
  , mShares(mOptions.mSelf, mOptions.mRelease)
{
}

service_state& routing_core::state::Service(const std::string& aName)
{
  return mServices.try_emplace(aName, mOptions.mQueueCapacity).first->second;
}

int routing_core::state::Weight(const std::string& aOrganisation) const
{
  const auto found = mSettings.mOrganisations.find(aOrganisation);
  return found == mSettings.mOrganisations.end() ? 1 : std::max(1, found->second.mWeight);
}

int routing_core::state::SlotLimit(const std::string& aService) const
{
  const auto found = mSettings.mServices.find(aService);
  const service_settings limits =
    found == mSettings.mServices.end() ? service_settings{} : found->second;
  // Each request in flight uses one connection, and idle connections exist only for free slots, so
  // the smaller limit bounds both.
  return std::min(limits.mSlots, limits.mConnections);
}

bool routing_core::state::IsLocallyLeaving(const instance_record& aInstance) const
{
  const auto target = mSettings.mTargets.find(aInstance.Name());
  const bool bySettings = target != mSettings.mTargets.end() && target->second.mLeaving;
  return bySettings || !mListed.contains(aInstance.Name());
}

void routing_core::state::UpdateSlots()
{
  mSlotsGeneration = mShares.Generation();
  for (const auto& [name, each] : mInstances) {
    each->mLeaving = IsLocallyLeaving(*each) || mPeerLeaving.contains(name);
    each->mSlots = mShares.Allowance(name, SlotLimit(each->mService));
  }
  SettleIfWithinShares();
}

void routing_core::state::SettleIfWithinShares()
{
  const bool withinShares = std::ranges::all_of(mInstances, [&](const auto& aEntry) {
    const instance_record& each = *aEntry.second;
    return each.InFlight() <= mShares.NewestShare(aEntry.first, SlotLimit(each.mService));
  });
  if (withinShares) {
    mShares.Settle();
  }
}

void routing_core::state::EraseUnlisted()
{
  for (auto& [name, service] : mServices) {
    std::erase_if(service.mInstances, [&](const instance_record* aEach) {
      return !mListed.contains(aEach->Name()) && aEach->InFlight() == 0;
    });
  }
  std::erase_if(mInstances, [&](const auto& aEntry) {
    return !mListed.contains(aEntry.first) && aEntry.second->InFlight() == 0;
  });
}

bool routing_core::state::WouldMissDeadline(const service_state& aService, const arrival& aArrival,
                                            instant aNow) const
{
  if (aService.mQueue.empty() || aService.mMeanLatency == duration::zero()) {
    return false;
  }
  int slots = 0;
  for (const instance_record* each : aService.mInstances) {
    slots += each->mLeaving ? 0 : each->mSlots;
  }
  const int weight = Weight(aArrival.mOrganisation);
  const double share = aService.mQueue.WeightShare(aArrival.mOrganisation, weight);
  const auto position =
    static_cast<double>(aService.mQueue.CountDueBy(aArrival.mOrganisation, aArrival.mDeadline)) + 1;
  const double rounds = position / (std::max(1, slots) * share) + 1;
  return rounds * aService.mMeanLatency > kMaxWaitShare * (aArrival.mDeadline - aNow);
}

void routing_core::state::Enqueue(const arrival& aArrival, instant aNow)
{
  service_state& service = Service(aArrival.mService);
  const int weight = Weight(aArrival.mOrganisation);
  const auto displaced =
    service.mQueue.Push({ aArrival.mNumber, aArrival.mOrganisation, aArrival.mDeadline }, weight);
  if (displaced) {
    Conclude(displaced->mNumber, reason::kQueueFull);
  }
  Dispatch(aArrival.mService, aNow);
}

std::vector<const instance_record*> routing_core::state::Candidates(const service_state& aService,
                                                                    instant aNow)
{
  std::vector<const instance_record*> ready;
  std::vector<const instance_record*> slowStarting;
  for (const instance_record* each : aService.mInstances) {
    if (each->mLeaving || each->InFlight() >= each->mSlots || each->IsEjected(aNow)) {
      continue;
    }
    const double share = each->SlowStartShare(aNow);
    const bool drawn = share >= 1 || std::uniform_real_distribution<>()(mRandom) < share;
    (drawn ? ready : slowStarting).push_back(each);
  }
  return ready.empty() ? slowStarting : ready;
}

std::vector<const instance_record*> routing_core::state::ExcludeTried(
  const std::vector<const instance_record*>& aCandidates, const pending_request& aRequest)
{
  std::vector<const instance_record*> untried;
  std::ranges::copy_if(aCandidates, std::back_inserter(untried), [&](const instance_record* aEach) {
    return std::ranges::find(aRequest.mTriedInstances, aEach->Name()) ==
           aRequest.mTriedInstances.end();
  });
  return untried.empty() ? aCandidates : untried;
}

void routing_core::state::Dispatch(const std::string& aName, instant aNow)
{
  service_state& service = Service(aName);
  while (!service.mQueue.empty()) {
    const auto candidates = Candidates(service, aNow);
    if (candidates.empty()) {
      return;
    }
    const queued_request next = *service.mQueue.Pop();
    // While others wait, a request that is unlikely to be answered in time gets no slot.
    const bool late =
      next.mDeadline <= aNow ||
      (!service.mQueue.empty() && next.mDeadline < aNow + kMinLatenciesLeft * service.mMeanLatency);
    if (late) {
      Conclude(next.mNumber, reason::kDeadlineQueued);
      continue;
    }
    Start(service, mRequests.at(next.mNumber), candidates, aNow);
  }
}

void routing_core::state::Start(service_state& aService, pending_request& aRequest,
                                const std::vector<const instance_record*>& aCandidates,
                                instant aNow)
{
  const auto untried = ExcludeTried(aCandidates, aRequest);
  const choice_context context{ aNow, aService.mMeanLatency, mOptions.mDomain };
  const instance_record& chosen = *untried.at(mChoice->Choose(untried, context, mRandom));
  instance_record& instance = *mInstances.at(chosen.Name());
  instance.OnStart();
  ++aRequest.mAttempts;
  aRequest.mTriedInstances.push_back(instance.Name());
  const attempt_number number = mNextAttempt++;
  mAttempts[number] = { aRequest.mArrival.mNumber, instance.Name(), aNow, false };
  mActions.emplace_back(
    start_action{ aRequest.mArrival.mNumber, number, instance.Name(), instance.mAddress });
}

bool routing_core::state::MayRetry(const pending_request& aRequest, reason aReason,
                                   instant aNow) const
{
  const outcome result = TraitsOf(aReason).mOutcome;
  const bool notRun = result == outcome::kNotRun;
  const bool mayRepeat = notRun || (aRequest.mArrival.mRepeatable && result != outcome::kOk);
  return mayRepeat && aRequest.mAttempts < mOptions.mMaxAttempts &&
         aNow < aRequest.mArrival.mDeadline;
}

void routing_core::state::RecordResult(const running_attempt& aAttempt, reason aReason,
                                       instant aNow)
{
  const auto found = mInstances.find(aAttempt.mInstance);
  if (found == mInstances.end()) {
    return;
  }
  instance_record& instance = *found->second;
  service_state& service = Service(instance.mService);
  const duration took = aNow - aAttempt.mStarted;
  const attempt_health health = HealthOf(aReason, took, service.mMeanLatency);
  instance.OnEnd(health, took, aNow);
  if (health == attempt_health::kGood) {
    mRetryBudget.OnSuccess();
    const std::chrono::duration<double, std::nano> change = took - service.mMeanLatency;
    service.mMeanLatency =
      service.mMeanLatency == duration::zero()
        ? took
        : service.mMeanLatency + std::chrono::duration_cast<duration>(change * kServiceLatencyGain);
  }
  EjectIfFailing(instance, service, aNow);
}

void routing_core::state::EjectIfFailing(instance_record& aInstance, const service_state& aService,
                                         instant aNow)
{
  const auto ejected = static_cast<std::size_t>(std::ranges::count_if(
    aService.mInstances, [&](const instance_record* aEach) { return aEach->IsEjected(aNow); }));
  const std::size_t total = aService.mInstances.size();
  // With few instances none is ejected: the cost of its failures already keeps most requests away.
  const std::size_t maxEjected = total / kInstancesPerEjection;
  if (mOptions.mEjects && ejected < maxEjected && aInstance.ShouldEject(aNow)) {
    aInstance.Eject(aNow);
    mActions.emplace_back(eject_action{ aInstance.Name() });
  }
}

void routing_core::state::Conclude(request_number aRequest, reason aReason, bool aRetryDenied)
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    return;
  }
  const pending_request& request = found->second;
  // The earlier attempt may have run, so the request must not be answered as not run.
  const bool hidesEarlier =
    TraitsOf(aReason).mOutcome == outcome::kNotRun && request.mEarlierReason.has_value();
  const reason reported = hidesEarlier ? *request.mEarlierReason : aReason;
  mLimiters.Release(request.mArrival.mOrganisation, request.mArrival.mTeam);
  mActions.emplace_back(conclude_action{ aRequest, reported, aRetryDenied });
  mRequests.erase(found);
}

} // namespace briarwind
