#include "briarwind/routing_core.h"

#include "routing_state.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace briarwind {

namespace {

// Each router repeats its report every second, and less often when there are more than 20 routers.
// A target that no router has reported for this time is no longer leaving.
constexpr seconds kPeerReportLifetime{ 5 };

} // namespace

routing_core::routing_core(routing_options aOptions, std::unique_ptr<choice_strategy> aChoice)
  : mState(std::make_unique<state>(std::move(aOptions), std::move(aChoice)))
{
}

routing_core::~routing_core() = default;

void routing_core::SetHosts(const host_list& aHosts, instant aNow)
{
  mState->mListed.clear();
  for (auto& [name, service] : mState->mServices) {
    service.mInstances.clear();
  }
  for (const host& each : aHosts.mHosts) {
    if (each.mKind != host_kind::kTarget) {
      continue;
    }
    auto& record = mState->mInstances[each.mName];
    if (!record) {
      record = std::make_unique<instance_record>(each.mName);
    }
    record->mDomain = each.mDomain;
    record->mService = each.mService;
    record->mAddress = each.mAddress;
    if (!each.mLeaving) {
      mState->mListed.insert(each.mName);
    }
    mState->Service(each.mService);
  }
  mState->EraseUnlisted();
  for (const auto& [name, record] : mState->mInstances) {
    mState->Service(record->mService).mInstances.push_back(record.get());
  }
  Refresh(aNow);
}

void routing_core::SetSettings(const settings_view& aSettings, instant aNow)
{
  if (aSettings.mRevision < mState->mSettings.mRevision) {
    return;
  }
  mState->mSettings = aSettings;
  Refresh(aNow);
}

void routing_core::OnPeerLeavingTargets(const std::vector<std::string>& aTargets, instant aNow)
{
  const std::size_t sizeBefore = mState->mPeerLeaving.size();
  for (const std::string& each : aTargets) {
    mState->mPeerLeaving[each] = aNow + kPeerReportLifetime;
  }
  if (mState->mPeerLeaving.size() != sizeBefore) {
    Refresh(aNow);
  }
}

share_ledger& routing_core::Shares()
{
  return mState->mShares;
}

void routing_core::Refresh(instant aNow)
{
  mState->UpdateSlots();
  for (const auto& name : std::views::keys(mState->mServices)) {
    mState->Dispatch(name, aNow);
  }
}

void routing_core::Arrive(const arrival& aArrival, instant aNow)
{
  const auto refuse = [&](reason aReason) {
    mState->mActions.emplace_back(conclude_action{ aArrival.mNumber, aReason, false });
  };
  const auto service = mState->mServices.find(aArrival.mService);
  if (service == mState->mServices.end()) {
    return refuse(reason::kUnknownService);
  }
  if (Slots(aArrival.mService) == 0) {
    return refuse(reason::kNoInstance);
  }
  if (mState->WouldMissDeadline(service->second, aArrival, aNow)) {
    return refuse(reason::kShed);
  }
  const auto exceeded = mState->mLimiters.Admit(mState->mSettings, aArrival.mOrganisation,
                                                aArrival.mTeam, mState->mShares.Members(), aNow);
  if (exceeded) {
    return refuse(*exceeded);
  }
  mState->mRequests[aArrival.mNumber].mArrival = aArrival;
  mState->Enqueue(aArrival, aNow);
}

void routing_core::Abandon(request_number aRequest, instant aNow)
{
  const auto found = mState->mRequests.find(aRequest);
  if (found == mState->mRequests.end()) {
    return;
  }
  const arrival& abandoned = found->second.mArrival;
  mState->Service(abandoned.mService).mQueue.Remove(aRequest);
  mState->mLimiters.Release(abandoned.mOrganisation, abandoned.mTeam);
  const std::string service = abandoned.mService;
  mState->mRequests.erase(found);
  mState->Dispatch(service, aNow);
}

void routing_core::OnAttemptEnded(attempt_number aAttempt, reason aReason, instant aNow)
{
  const auto found = mState->mAttempts.find(aAttempt);
  if (found == mState->mAttempts.end() || std::exchange(found->second.mEnded, true)) {
    return;
  }
  const running_attempt attempt = found->second;
  mState->RecordResult(attempt, aReason, aNow);
  const auto request = mState->mRequests.find(attempt.mRequest);
  if (request == mState->mRequests.end()) {
    return;
  }
  pending_request& pending = request->second;
  if (!mState->MayRetry(pending, aReason, aNow)) {
    return mState->Conclude(attempt.mRequest, aReason);
  }
  // A failed connection put no load on an instance, so its retry does not count against the budget.
  if (aReason != reason::kConnectFailed && !mState->mRetryBudget.TryAcquire()) {
    return mState->Conclude(attempt.mRequest, aReason, true);
  }
  if (TraitsOf(aReason).mOutcome != outcome::kNotRun) {
    pending.mEarlierReason = aReason;
  }
  mState->mActions.emplace_back(retry_action{ attempt.mRequest, aReason });
  mState->Enqueue(pending.mArrival, aNow);
}

void routing_core::OnAttemptReleased(attempt_number aAttempt, instant aNow)
{
  const auto found = mState->mAttempts.find(aAttempt);
  if (found == mState->mAttempts.end()) {
    return;
  }
  const std::string name = found->second.mInstance;
  mState->mAttempts.erase(found);
  const auto instance = mState->mInstances.find(name);
  if (instance == mState->mInstances.end()) {
    return;
  }
  instance->second->OnRelease();
  const std::string service = instance->second->mService;
  if (!mState->mListed.contains(name)) {
    mState->EraseUnlisted();
  }
  mState->SettleIfWithinShares();
  mState->Dispatch(service, aNow);
}

void routing_core::Tick(instant aNow)
{
  mState->mShares.Advance(aNow);
  const auto expiredReports =
    std::erase_if(mState->mPeerLeaving, [&](const auto& aEntry) { return aEntry.second <= aNow; });
  if (expiredReports > 0 || mState->mSlotsGeneration != mState->mShares.Generation()) {
    mState->UpdateSlots();
  }
  for (auto& [name, service] : mState->mServices) {
    while (const auto expired = service.mQueue.PopExpired(aNow)) {
      mState->Conclude(expired->mNumber, reason::kDeadlineQueued);
    }
    mState->Dispatch(name, aNow);
  }
}

std::vector<routing_action> routing_core::TakeActions()
{
  return std::exchange(mState->mActions, {});
}

bool routing_core::HasService(std::string_view aService) const
{
  return mState->mServices.contains(aService);
}

const settings_view& routing_core::Settings() const
{
  return mState->mSettings;
}

std::size_t routing_core::Queued() const
{
  std::size_t total = 0;
  for (const auto& [name, service] : mState->mServices) {
    total += service.mQueue.size();
  }
  return total;
}

std::size_t routing_core::Running() const
{
  return mState->mAttempts.size();
}

int routing_core::Slots(std::string_view aService) const
{
  const auto service = mState->mServices.find(aService);
  if (service == mState->mServices.end()) {
    return 0;
  }
  int slots = 0;
  for (const instance_record* each : service->second.mInstances) {
    slots += each->mLeaving ? 0 : each->mSlots;
  }
  return slots;
}

int routing_core::InstanceSlots(std::string_view aInstance) const
{
  const auto found = mState->mInstances.find(aInstance);
  const bool usable = found != mState->mInstances.end() && !found->second->mLeaving;
  return usable ? found->second->mSlots : 0;
}

std::vector<std::string> routing_core::LeavingTargets() const
{
  std::vector<std::string> names;
  for (const auto& [name, each] : mState->mInstances) {
    if (mState->IsLocallyLeaving(*each)) {
      names.push_back(name);
    }
  }
  return names;
}

std::size_t routing_core::LiveInstances() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mState->mInstances, [](const auto& aEntry) { return !aEntry.second->mLeaving; }));
}

} // namespace briarwind
