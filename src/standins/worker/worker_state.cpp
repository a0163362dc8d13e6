#include "standins/worker/worker_state.h"

#include <algorithm>
#include <array>
#include <ranges>

namespace briarwind {

namespace {

bool HasEnded(const worker_lease& aLease)
{
  return aLease.mPhase != lease_phase::kReserved && aLease.mPhase != lease_phase::kRunning;
}

void EndLease(worker_lease& aLease, lease_phase aPhase, instant aTime)
{
  aLease.mProgress = worker_state::Progress(aLease, aTime);
  aLease.mPhase = aPhase;
}

resource_shape Sum(resource_shape aLeft, const resource_shape& aRight)
{
  aLeft.mAccelerators += aRight.mAccelerators;
  aLeft.mCores += aRight.mCores;
  aLeft.mMemoryMb += aRight.mMemoryMb;
  return aLeft;
}

auto Conflict(std::string_view aReason)
{
  return MakeError(error_kind::kConflict, "worker", std::string(aReason));
}

auto NoSuchLease(std::string_view aLease)
{
  return MakeError(error_kind::kNotFound, std::string(aLease), "no such lease, or it has ended");
}

} // namespace

std::string_view ToString(lease_phase aPhase)
{
  static constexpr std::array<std::string_view, 6> kNames{
    "reserved", "running", "finished", "failed", "stopped", "lapsed",
  };
  return kNames.at(static_cast<std::size_t>(aPhase));
}

worker_state::worker_state(resource_shape aCapacity, milliseconds aUsageLag)
  : mCapacity(aCapacity)
  , mUsageLag(aUsageLag)
{
}

void worker_state::AdvanceTo(instant aNow)
{
  for (auto& [id, each] : mLeases) {
    AdvanceLease(each, aNow);
  }
  mUsageSamples.push_back({ aNow, ReservedResources() });
  while (mUsageSamples.size() > 1 && mUsageSamples[1].mTime <= aNow - mUsageLag) {
    mUsageSamples.pop_front();
  }
}

// A task whose run time was over before its lease expired has finished, even if AdvanceTo was not
// called in between.
void worker_state::AdvanceLease(worker_lease& aLease, instant aNow) const
{
  const instant finish = aLease.mStarted + aLease.mRunTime;
  if (aLease.mPhase == lease_phase::kRunning && finish <= std::min(aNow, aLease.mExpires)) {
    EndLease(aLease, aLease.mWillFail ? lease_phase::kFailed : lease_phase::kFinished, finish);
  } else if (!HasEnded(aLease) && aLease.mExpires <= aNow) {
    EndLease(aLease, lease_phase::kLapsed, aLease.mExpires);
  }
}

result<void> worker_state::CheckAndRecordEpoch(std::int64_t aEpoch)
{
  if (aEpoch < mHighestEpoch) {
    return Conflict("stale-epoch");
  }
  mHighestEpoch = aEpoch;
  return {};
}

result<void> worker_state::CheckAttempt(const std::string& aJob, std::int64_t aAttempt) const
{
  const auto highest = mHighestAttempts.find(aJob);
  if (highest != mHighestAttempts.end() && aAttempt < highest->second) {
    return Conflict("stale-attempt");
  }
  return {};
}

result<worker_lease> worker_state::Reserve(const reservation_request& aRequest, instant aNow)
{
  BOOST_LEAF_CHECK(CheckAndRecordEpoch(aRequest.mEpoch));
  BOOST_LEAF_CHECK(CheckAttempt(aRequest.mJob, aRequest.mAttempt));
  mHighestAttempts[aRequest.mJob] = aRequest.mAttempt;
  if (worker_lease* existing = FindMemberLease(aRequest)) {
    if (existing->mPhase != lease_phase::kReserved) {
      return Conflict("stale-attempt");
    }
    existing->mExpires = aNow + aRequest.mTimeToLive;
    return *existing;
  }
  if (!FitsInto(Sum(ReservedResources(), aRequest.mShape), mCapacity)) {
    return Conflict("busy");
  }
  worker_lease granted;
  granted.mId = "l" + std::to_string(++mLastLeaseNumber);
  granted.mReservation = aRequest;
  granted.mExpires = aNow + aRequest.mTimeToLive;
  return mLeases[granted.mId] = granted;
}

result<start_result> worker_state::Start(std::string_view aLease, const start_request& aRequest,
                                         instant aNow)
{
  BOOST_LEAF_CHECK(CheckAndRecordEpoch(aRequest.mEpoch));
  worker_lease* lease = FindLease(aLease);
  if (lease == nullptr || lease->mPhase == lease_phase::kStopped ||
      lease->mPhase == lease_phase::kLapsed) {
    return NoSuchLease(aLease);
  }
  if (lease->mPhase != lease_phase::kReserved) {
    return start_result{ lease->mPhase, false };
  }
  BOOST_LEAF_CHECK(CheckAttempt(lease->mReservation.mJob, lease->mReservation.mAttempt));
  if (mFaults.mRefuseStarts) {
    return Conflict("refused");
  }
  lease->mPhase = lease_phase::kRunning;
  lease->mStarted = aNow;
  lease->mExpires = aNow + aRequest.mLeaseTime;
  lease->mWillFail = mFaults.mFailAll;
  lease->mRunTime = mFaults.mFailAll ? milliseconds{ 0 } : aRequest.mRunTime;
  return start_result{ lease_phase::kRunning, true };
}

const worker_lease* worker_state::Renew(std::string_view aLease, milliseconds aTimeToLive,
                                        instant aNow)
{
  worker_lease* lease = FindLease(aLease);
  if (lease != nullptr && !HasEnded(*lease)) {
    lease->mExpires = aNow + aTimeToLive;
  }
  return lease;
}

result<worker_lease> worker_state::Stop(std::string_view aLease, instant aNow)
{
  worker_lease* lease = FindLease(aLease);
  if (lease == nullptr) {
    return NoSuchLease(aLease);
  }
  if (!HasEnded(*lease)) {
    EndLease(*lease, lease_phase::kStopped, aNow);
  }
  return *lease;
}

result<void> worker_state::Forget(std::string_view aLease)
{
  const worker_lease* lease = FindLease(aLease);
  if (lease == nullptr) {
    return {};
  }
  if (!HasEnded(*lease)) {
    return Conflict("running");
  }
  mLeases.erase(lease->mId);
  return {};
}

worker_lease* worker_state::FindLease(std::string_view aLease)
{
  const auto found = mLeases.find(aLease);
  return found != mLeases.end() ? &found->second : nullptr;
}

const worker_lease* worker_state::Find(std::string_view aLease) const
{
  const auto found = mLeases.find(aLease);
  return found != mLeases.end() ? &found->second : nullptr;
}

// Skips a lease that ended before its task was started, so that the member can be reserved again.
worker_lease* worker_state::FindMemberLease(const reservation_request& aRequest)
{
  const auto isSame = [&](const auto& aEntry) {
    const worker_lease& lease = aEntry.second;
    const bool endedBeforeStart = lease.mStarted == instant{} && HasEnded(lease);
    return lease.mReservation.mJob == aRequest.mJob &&
           lease.mReservation.mAttempt == aRequest.mAttempt &&
           lease.mReservation.mMember == aRequest.mMember && !endedBeforeStart;
  };
  const auto found = std::ranges::find_if(mLeases, isSame);
  return found != mLeases.end() ? &found->second : nullptr;
}

std::vector<worker_lease> worker_state::Leases() const
{
  const auto values = std::views::values(mLeases);
  return { values.begin(), values.end() };
}

milliseconds worker_state::Progress(const worker_lease& aLease, instant aNow)
{
  if (aLease.mPhase != lease_phase::kRunning) {
    return aLease.mProgress;
  }
  const auto elapsed = std::chrono::floor<milliseconds>(aNow - aLease.mStarted);
  return std::clamp(elapsed, milliseconds{ 0 }, aLease.mRunTime);
}

resource_shape worker_state::ReservedResources() const
{
  resource_shape used;
  for (const auto& [id, each] : mLeases) {
    used = HasEnded(each) ? used : Sum(used, each.mReservation.mShape);
  }
  return used;
}

resource_shape worker_state::Usage(instant aNow) const
{
  const auto isOldEnough = [&](const usage_sample& aSample) {
    return aSample.mTime <= aNow - mUsageLag;
  };
  const auto newestFirst = std::views::reverse(mUsageSamples);
  const auto found = std::ranges::find_if(newestFirst, isOldEnough);
  return found != newestFirst.end() ? found->mUsed : resource_shape{};
}

} // namespace briarwind
