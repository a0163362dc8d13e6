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

void End(worker_lease& aLease, lease_phase aPhase, instant aWhen)
{
  aLease.mProgress = worker_state::Progress(aLease, aWhen);
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

auto Gone(std::string_view aLease)
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

void worker_state::Advance(instant aNow)
{
  for (auto& [id, each] : mLeases) {
    AdvanceOne(each, aNow);
  }
  mSamples.push_back({ aNow, Used() });
  while (mSamples.size() > 1 && mSamples[1].mTime <= aNow - mUsageLag) {
    mSamples.pop_front();
  }
}

// A task that ran its whole time before its lease was over has ended by itself, even when nobody
// looked in between.
void worker_state::AdvanceOne(worker_lease& aLease, instant aNow) const
{
  const instant finish = aLease.mStarted + aLease.mRunTime;
  if (aLease.mPhase == lease_phase::kRunning && finish <= std::min(aNow, aLease.mExpires)) {
    End(aLease, aLease.mFails ? lease_phase::kFailed : lease_phase::kFinished, finish);
  } else if (!HasEnded(aLease) && aLease.mExpires <= aNow) {
    End(aLease, lease_phase::kLapsed, aLease.mExpires);
  }
}

result<void> worker_state::AdmitEpoch(std::int64_t aEpoch)
{
  if (aEpoch < mHighestEpoch) {
    return Conflict("stale-epoch");
  }
  mHighestEpoch = aEpoch;
  return {};
}

result<void> worker_state::AdmitAttempt(const std::string& aJob, std::int64_t aAttempt) const
{
  const auto highest = mHighestAttempts.find(aJob);
  if (highest != mHighestAttempts.end() && aAttempt < highest->second) {
    return Conflict("stale-attempt");
  }
  return {};
}

result<worker_lease> worker_state::Reserve(const reservation_request& aRequest, instant aNow)
{
  BOOST_LEAF_CHECK(AdmitEpoch(aRequest.mEpoch));
  BOOST_LEAF_CHECK(AdmitAttempt(aRequest.mJob, aRequest.mAttempt));
  mHighestAttempts[aRequest.mJob] = aRequest.mAttempt;
  if (worker_lease* same = FindMember(aRequest)) {
    if (same->mPhase != lease_phase::kReserved) {
      return Conflict("stale-attempt");
    }
    same->mExpires = aNow + aRequest.mTimeToLive;
    return *same;
  }
  if (!FitsInto(Sum(Used(), aRequest.mShape), mCapacity)) {
    return Conflict("busy");
  }
  worker_lease made;
  made.mId = "l" + std::to_string(++mLastLease);
  made.mReservation = aRequest;
  made.mExpires = aNow + aRequest.mTimeToLive;
  return mLeases[made.mId] = made;
}

result<start_outcome> worker_state::Start(std::string_view aLease, const start_request& aRequest,
                                          instant aNow)
{
  BOOST_LEAF_CHECK(AdmitEpoch(aRequest.mEpoch));
  worker_lease* lease = FindLease(aLease);
  if (lease == nullptr || lease->mPhase == lease_phase::kStopped ||
      lease->mPhase == lease_phase::kLapsed) {
    return Gone(aLease);
  }
  if (lease->mPhase != lease_phase::kReserved) {
    return start_outcome{ lease->mPhase, false };
  }
  BOOST_LEAF_CHECK(AdmitAttempt(lease->mReservation.mJob, lease->mReservation.mAttempt));
  if (mFaults.mRefuseStarts) {
    return Conflict("refused");
  }
  lease->mPhase = lease_phase::kRunning;
  lease->mStarted = aNow;
  lease->mExpires = aNow + aRequest.mLease;
  lease->mFails = mFaults.mFailAll;
  lease->mRunTime = mFaults.mFailAll ? milliseconds{ 0 } : aRequest.mRunTime;
  return start_outcome{ lease_phase::kRunning, true };
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
    return Gone(aLease);
  }
  if (!HasEnded(*lease)) {
    End(*lease, lease_phase::kStopped, aNow);
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

// Only a member whose lease has not ended without a start, so that it can be reserved anew.
worker_lease* worker_state::FindMember(const reservation_request& aRequest)
{
  const auto isSame = [&](const auto& aEntry) {
    const worker_lease& lease = aEntry.second;
    const bool neverRan = lease.mStarted == instant{} && HasEnded(lease);
    return lease.mReservation.mJob == aRequest.mJob &&
           lease.mReservation.mAttempt == aRequest.mAttempt &&
           lease.mReservation.mMember == aRequest.mMember && !neverRan;
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
  const auto ran = std::chrono::floor<milliseconds>(aNow - aLease.mStarted);
  return std::clamp(ran, milliseconds{ 0 }, aLease.mRunTime);
}

resource_shape worker_state::Used() const
{
  resource_shape used;
  for (const auto& [id, each] : mLeases) {
    used = HasEnded(each) ? used : Sum(used, each.mReservation.mShape);
  }
  return used;
}

resource_shape worker_state::Usage(instant aNow) const
{
  const auto late = [&](const usage_sample& aSample) { return aSample.mTime <= aNow - mUsageLag; };
  const auto newestFirst = std::views::reverse(mSamples);
  const auto found = std::ranges::find_if(newestFirst, late);
  return found != newestFirst.end() ? found->mUsed : resource_shape{};
}

} // namespace briarwind
