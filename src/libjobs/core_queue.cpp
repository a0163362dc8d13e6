#include "libjobs/core_state.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace briarwind {

namespace {

// Weighted shares are compared in steps of 1 / kShareSteps. Between organisations in the same step
// the order of their jobs decides.
constexpr double kShareSteps = 10;

// Order in which queue classes are tried: claims first, then urgent jobs, then all others; within a
// tier by the weighted share of the organisation, lowest first, then by the key of the first job.
struct class_rank
{
  int mTier = 0;
  int mShareStep = 0;
  queue_key mHead;

  auto operator<=>(const class_rank&) const = default;
};

} // namespace

bool job_core::state::CanPlace() const
{
  return mActing && mFresh && mCluster.LiveWorkers() > 0;
}

void job_core::state::Schedule()
{
  if (!CanPlace()) {
    return;
  }
  for (int i = 0; i < mOptions.mMaxPlacementsPerEvent; ++i) {
    if (mQueue.Untried().empty()) {
      BeginDrain();
      if (!mRoomChanged) {
        return;
      }
      mRoomChanged = false;
      mQueue.BeginPass();
    }
    queue_class* const next = NextClass();
    if (next == nullptr) {
      return;
    }
    if (!TryPlaceHead(*next)) {
      mQueue.MarkTried(*next);
    }
  }
}

queue_class* job_core::state::NextClass() const
{
  const auto rank = [&](const queue_class* aClass) {
    const job_entry& head = aClass->Head();
    const int tier = aClass->mId.mGuaranteed ? 0 : aClass->mId.mUrgent ? 1 : 2;
    const int step = static_cast<int>(WeightedShareOf(*head.mOrganisation) * kShareSteps);
    return class_rank{ tier, step, head.mKey };
  };
  const auto& untried = mQueue.Untried();
  const auto best = std::ranges::min_element(untried, {}, rank);
  return best != untried.end() ? *best : nullptr;
}

double job_core::state::WeightedShareOf(const organisation_state& aOrganisation) const
{
  const resource_shape whole = mCluster.LiveCapacity();
  const auto part = [](std::int64_t aUsed, std::int64_t aWhole) {
    return aWhole > 0 ? static_cast<double>(aUsed) / static_cast<double>(aWhole) : 0;
  };
  const double share = std::max({ part(aOrganisation.mUsed.mAccelerators, whole.mAccelerators),
                                  part(aOrganisation.mUsed.mCores, whole.mCores),
                                  part(aOrganisation.mUsed.mMemoryMb, whole.mMemoryMb) });
  return share / aOrganisation.mWeight;
}

/// Tries to place the first job of a class. Returns false when the job stays queued.
bool job_core::state::TryPlaceHead(queue_class& aClass)
{
  job_entry& job = aClass.Head();
  const bool placed = (job.Spec().mGuaranteed && TryPlaceClaim(job)) || TryPlaceOrdinary(job);
  if (!placed) {
    aClass.mWait = job.mWait;
    aClass.mWaitDetail = job.mWaitDetail;
    ConsiderDrainCandidate(job);
  }
  return placed;
}

bool job_core::state::TryPlaceClaim(job_entry& aJob)
{
  const int cell = mCells.FindCellFor(aJob);
  if (cell < 0) {
    return false;
  }
  if (!mStoreReachable && !aJob.Spec().mRepeatable) {
    return false;
  }
  const placement place = PlaceForClaim(aJob, cell);
  if (place.empty()) {
    return false;
  }
  BeginAttempt(aJob, place, eviction_class::kClaim, cell);
  MakeRoom(aJob, mOptions.mCheckpointBound);
  return true;
}

bool job_core::state::TryPlaceOrdinary(job_entry& aJob)
{
  const job_spec& spec = aJob.Spec();
  if (!mStoreReachable && !spec.mRepeatable) {
    SetWait(aJob, wait_reason::kStoreAway, "its attempt cannot be recorded");
    return false;
  }
  if (IsOverQuota(aJob)) {
    SetWait(aJob, wait_reason::kQuota,
            fmt::format("team {} holds {} of {} accelerators", aJob.mTeam->mName,
                        aJob.mTeam->mUsedAccelerators, aJob.mTeam->mQuota));
    return false;
  }
  if (mInFlight > 0 && mInFlight + spec.mMembers > mOptions.mMaxMembersInFlight && !spec.mUrgent) {
    // Members in flight settle soon, so the job is tried again in the next pass.
    SetWait(aJob, wait_reason::kNotTried, "many others are being started");
    mRoomChanged = true;
    return false;
  }
  const placement_request request =
    MakePlacementRequest(aJob, spec.mRepeatable ? room_kind::kFree : room_kind::kFreeOutsideCells);
  const placement_result found = FindPlace(mCluster, request);
  if (!found.mParts.empty()) {
    const eviction_class held = !spec.mRepeatable ? eviction_class::kPinned
                                : spec.mUrgent    ? eviction_class::kUrgent
                                                  : eviction_class::kBorrowed;
    BeginAttempt(aJob, found.mParts, held, -1);
    ReserveMembers(aJob);
    return true;
  }
  if (spec.mUrgent && TryPlaceByEviction(aJob, request)) {
    return true;
  }
  if (TryBackfill(aJob, request)) {
    return true;
  }
  const wait_reason why = DiagnoseNoRoom(aJob, found.mFailure);
  SetWait(aJob, why,
          spec.mRepeatable ? "" : "it may not stand where guaranteed shapes may be needed");
  return false;
}

bool job_core::state::TryPlaceByEviction(job_entry& aJob, const placement_request& aRequest)
{
  placement_request request = aRequest;
  request.mRoom =
    aJob.Spec().mRepeatable ? room_kind::kEvictable : room_kind::kEvictableOutsideCells;
  const placement_result found = FindPlace(mCluster, request);
  if (found.mParts.empty()) {
    return false;
  }
  BeginAttempt(aJob, found.mParts,
               aJob.Spec().mRepeatable ? eviction_class::kUrgent : eviction_class::kPinned, -1);
  MakeRoom(aJob, mOptions.mUrgentCheckpointBound);
  return true;
}

/// Places the job on resources that draining reservations hold, if the job is expected to end
/// before every reservation is ready.
bool job_core::state::TryBackfill(job_entry& aJob, placement_request aRequest)
{
  if (mDrains.empty() || !aJob.Spec().mRepeatable) {
    return false;
  }
  const instant until = mNow + RemainingOf(aJob);
  const bool inTime = std::ranges::all_of(
    mDrains, [&](const drain_reservation& aDrain) { return until <= aDrain.mReadyBy; });
  if (!inTime) {
    return false;
  }
  aRequest.mRoom = room_kind::kFreeWithDrainHeld;
  const placement_result found = FindPlace(mCluster, aRequest);
  if (found.mParts.empty()) {
    return false;
  }
  BeginAttempt(aJob, found.mParts,
               aJob.Spec().mUrgent ? eviction_class::kUrgent : eviction_class::kBorrowed, -1);
  ReserveMembers(aJob);
  return true;
}

bool job_core::state::IsOverQuota(const job_entry& aJob) const
{
  const team_state* const team = aJob.mTeam;
  return team != nullptr && team->mQuota > 0 &&
         team->mUsedAccelerators + aJob.Accelerators() > team->mQuota;
}

wait_reason job_core::state::DiagnoseNoRoom(job_entry& aJob, placement_failure aFailure)
{
  const placement_request whole = MakePlacementRequest(aJob, room_kind::kLiveCapacity);
  if (FindPlace(mCluster, whole).mParts.empty()) {
    if (!aJob.mAvoid.empty()) {
      // Without the workers on which the job failed it has no place, so they are allowed again.
      aJob.mAvoid.clear();
      mRoomChanged = true;
      return wait_reason::kNoCapacity;
    }
    if (aJob.mWait != wait_reason::kDomainOut) {
      EmitDecision(decision_kind::kImpossibleForNow, aJob.Spec().mId);
    }
    return wait_reason::kDomainOut;
  }
  return aFailure == placement_failure::kNoAdjacency ? wait_reason::kNoAdjacency
                                                     : wait_reason::kNoCapacity;
}

placement_request job_core::state::MakePlacementRequest(const job_entry& aJob,
                                                        room_kind aRoom) const
{
  const job_spec& spec = aJob.Spec();
  placement_request request;
  request.mMembers = spec.mMembers;
  request.mShape = spec.mShape;
  request.mAdjacency = spec.mAdjacency;
  request.mRoom = aRoom;
  request.mPacking = mOptions.mPacking;
  request.mAvoid = aJob.mAvoid;
  request.mMayProbe = spec.mRepeatable && spec.mMembers == 1 && !spec.mUrgent;
  return request;
}

void job_core::state::SetWait(job_entry& aJob, wait_reason aReason, std::string aDetail)
{
  aJob.mWait = aReason;
  aJob.mWaitDetail = std::move(aDetail);
}

milliseconds job_core::state::EstimateOf(const job_entry& aJob) const
{
  const job_spec& spec = aJob.Spec();
  if (!mOptions.mLearnRunTimes) {
    return spec.mExpected;
  }
  return mRunTimes.Estimate(spec.mOrganisation, aJob.Accelerators(), spec.mExpected);
}

milliseconds job_core::state::RemainingOf(const job_entry& aJob) const
{
  milliseconds done = aJob.mRecord.mProgress;
  if (aJob.mPhase == job_phase::kRunning) {
    done =
      aJob.mProgressAtStart + std::chrono::duration_cast<milliseconds>(mNow - aJob.mRunningSince);
  }
  const milliseconds estimate = EstimateOf(aJob);
  // A job past its estimate is assumed to need at least another quarter of its run time so far.
  return std::max(estimate - done, done / 4);
}

void job_core::state::Enqueue(job_entry& aJob)
{
  aJob.mPhase = job_phase::kQueued;
  const auto arrived =
    std::chrono::duration_cast<milliseconds>(aJob.mArrived.time_since_epoch()).count();
  switch (mOptions.mOrder) {
    case queue_order::kArrival:
      aJob.mKey.mOrder = arrived;
      break;
    case queue_order::kShortestEstimate: {
      const auto left = static_cast<double>(RemainingOf(aJob).count());
      aJob.mKey.mOrder = arrived + static_cast<std::int64_t>(left * mOptions.mEstimateWeight);
      break;
    }
    case queue_order::kLeastAttained:
      aJob.mKey.mOrder = aJob.mRecord.mProgress.count() * std::max(1, aJob.Accelerators());
      break;
  }
  aJob.mKey.mSequence = aJob.mSequence;
  SetWait(aJob, wait_reason::kNotTried);
  mQueue.Add(aJob, EstimateOf(aJob));
}

void job_core::state::Dequeue(job_entry& aJob)
{
  EndDrain(aJob);
  mQueue.Remove(aJob);
  aJob.mDelayed = false;
  if (mDrainCandidate == &aJob) {
    mDrainCandidate = nullptr;
  }
}

} // namespace briarwind
