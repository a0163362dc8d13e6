#include "routing_state.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace briarwind {

namespace {

constexpr double kWaitPart = 0.75;  // of the time to the deadline that a wait may be planned for
constexpr int kLatencyMargin = 2;   // mean latencies to the deadline that a start needs
constexpr double kFleetGain = 0.02; // weight of the newest answer in a service's mean
constexpr std::size_t kEjectedPart = 5; // at most one of so many instances is out at once

attempt_health HealthOf(reason aReason, duration aTook, duration aFleet)
{
  if (aReason == reason::kAnswered) {
    return attempt_health::kGood;
  }
  // A deadline that nobody could have met says nothing about the instance.
  if (aReason == reason::kDeadlineSent && aTook < 2 * aFleet) {
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
  return mServices.try_emplace(aName, mOptions.mQueued).first->second;
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
  // Each running request has one connection, and idle connections are kept only for free slots.
  return std::min(limits.mSlots, limits.mConnections);
}

bool routing_core::state::KnowsLeaving(const instance_record& aInstance) const
{
  const auto setting = mSettings.mTargets.find(aInstance.Name());
  const bool bySetting = setting != mSettings.mTargets.end() && setting->second.mLeaving;
  return bySetting || !mListed.contains(aInstance.Name());
}

void routing_core::state::ShareSlots()
{
  mSharedAt = mShares.Generation();
  for (const auto& [name, each] : mInstances) {
    each->mLeaving = KnowsLeaving(*each) || mHeard.contains(name);
    each->mSlots = mShares.Allowance(name, SlotLimit(each->mService));
  }
  SettleShares();
}

void routing_core::state::SettleShares()
{
  const bool within = std::ranges::all_of(mInstances, [&](const auto& aEntry) {
    const instance_record& each = *aEntry.second;
    return each.InFlight() <= mShares.NewestShare(aEntry.first, SlotLimit(each.mService));
  });
  if (within) {
    mShares.Settle();
  }
}

void routing_core::state::DropUnused()
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

bool routing_core::state::WouldBeLate(const service_state& aService, const arrival& aArrival,
                                      instant aNow) const
{
  if (aService.mQueue.empty() || aService.mLatency == duration::zero()) {
    return false;
  }
  int slots = 0;
  for (const instance_record* each : aService.mInstances) {
    slots += each->mLeaving ? 0 : each->mSlots;
  }
  const int weight = Weight(aArrival.mOrganisation);
  const double share = aService.mQueue.Share(aArrival.mOrganisation, weight);
  const auto ahead =
    static_cast<double>(aService.mQueue.Ahead(aArrival.mOrganisation, aArrival.mDeadline)) + 1;
  const double rounds = ahead / (std::max(1, slots) * share) + 1;
  return rounds * aService.mLatency > kWaitPart * (aArrival.mDeadline - aNow);
}

void routing_core::state::Enqueue(const arrival& aArrival, instant aNow)
{
  service_state& service = Service(aArrival.mService);
  const int weight = Weight(aArrival.mOrganisation);
  const auto pushedOut =
    service.mQueue.Push({ aArrival.mNumber, aArrival.mOrganisation, aArrival.mDeadline }, weight);
  if (pushedOut) {
    Conclude(pushedOut->mNumber, reason::kQueueFull);
  }
  Dispatch(aArrival.mService, aNow);
}

std::vector<const instance_record*> routing_core::state::Candidates(const service_state& aService,
                                                                    instant aNow)
{
  std::vector<const instance_record*> full;
  std::vector<const instance_record*> returning;
  for (const instance_record* each : aService.mInstances) {
    if (each->mLeaving || each->InFlight() >= each->mSlots || each->IsEjected(aNow)) {
      continue;
    }
    const double share = each->ReturnShare(aNow);
    const bool drawn = share >= 1 || std::uniform_real_distribution<>()(mRandom) < share;
    (drawn ? full : returning).push_back(each);
  }
  return full.empty() ? returning : full;
}

std::vector<const instance_record*> routing_core::state::Untried(
  const std::vector<const instance_record*>& aCandidates, const pending_request& aRequest)
{
  std::vector<const instance_record*> untried;
  std::ranges::copy_if(aCandidates, std::back_inserter(untried), [&](const instance_record* aEach) {
    return std::ranges::find(aRequest.mTried, aEach->Name()) == aRequest.mTried.end();
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
    // A request that cannot be answered in time any more takes no slot from one that can.
    const bool late =
      next.mDeadline <= aNow ||
      (!service.mQueue.empty() && next.mDeadline < aNow + kLatencyMargin * service.mLatency);
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
  const auto untried = Untried(aCandidates, aRequest);
  const choice_context context{ aNow, aService.mLatency, mOptions.mDomain };
  const instance_record& chosen = *untried.at(mChoice->Choose(untried, context, mRandom));
  instance_record& instance = *mInstances.at(chosen.Name());
  instance.OnStart();
  ++aRequest.mAttempts;
  aRequest.mTried.push_back(instance.Name());
  const attempt_number number = mNextAttempt++;
  mAttempts[number] = { aRequest.mArrival.mNumber, instance.Name(), aNow, false };
  mActions.emplace_back(
    start_action{ aRequest.mArrival.mNumber, number, instance.Name(), instance.mAddress });
}

bool routing_core::state::MayRetry(const pending_request& aRequest, reason aReason,
                                   instant aNow) const
{
  const outcome result = TraitsOf(aReason).mOutcome;
  const bool harmless = result == outcome::kNotRun;
  const bool wanted = harmless || (aRequest.mArrival.mRepeatable && result != outcome::kOk);
  return wanted && aRequest.mAttempts < mOptions.mAttempts && aNow < aRequest.mArrival.mDeadline;
}

void routing_core::state::Judge(const running_attempt& aAttempt, reason aReason, instant aNow)
{
  const auto found = mInstances.find(aAttempt.mInstance);
  if (found == mInstances.end()) {
    return;
  }
  instance_record& instance = *found->second;
  service_state& service = Service(instance.mService);
  const duration took = aNow - aAttempt.mStarted;
  const attempt_health health = HealthOf(aReason, took, service.mLatency);
  instance.OnEnd(health, took, aNow);
  if (health == attempt_health::kGood) {
    mRetries.OnSuccess();
    const std::chrono::duration<double, std::nano> change = took - service.mLatency;
    service.mLatency =
      service.mLatency == duration::zero()
        ? took
        : service.mLatency + std::chrono::duration_cast<duration>(change * kFleetGain);
  }
  EjectIfBad(instance, service, aNow);
}

void routing_core::state::EjectIfBad(instance_record& aInstance, const service_state& aService,
                                     instant aNow)
{
  const auto out = static_cast<std::size_t>(std::ranges::count_if(
    aService.mInstances, [&](const instance_record* aEach) { return aEach->IsEjected(aNow); }));
  const std::size_t all = aService.mInstances.size();
  const std::size_t most = all / kEjectedPart; // none of a few: those are avoided, not shut out
  if (mOptions.mEjects && out < most && aInstance.DeservesEjection(aNow)) {
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
  const bool hidesEarlier =
    TraitsOf(aReason).mOutcome == outcome::kNotRun && request.mEarlier.has_value();
  const reason told = hidesEarlier ? *request.mEarlier : aReason;
  mLimits.Release(request.mArrival.mOrganisation, request.mArrival.mTeam);
  mActions.emplace_back(conclude_action{ aRequest, told, aRetryDenied });
  mRequests.erase(found);
}

} // namespace briarwind
