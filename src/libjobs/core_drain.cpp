#include "libjobs/core_state.h"

#include "libjobs/resources.h"

#include <algorithm>
#include <map>

namespace briarwind {

/// Updates the candidate for gang eviction or draining: of the jobs that found no room in this pass
/// and have waited long enough for either, the one with the largest product of size and waiting
/// time.
void job_core::state::ConsiderDrainCandidate(job_entry& aJob)
{
  const bool noRoom =
    aJob.mWait == wait_reason::kNoCapacity || aJob.mWait == wait_reason::kNoAdjacency;
  if (!noRoom || !aJob.Spec().mRepeatable || !(MayDrain(aJob) || MayEvictAsGang(aJob))) {
    return;
  }
  const duration waited = mNow - aJob.mArrived;
  const double size = std::max(1, aJob.Accelerators()) +
                      static_cast<double>(aJob.Spec().mMembers * aJob.Spec().mShape.mCores) / 64;
  const double score = size * std::chrono::duration<double>(waited).count();
  if (mDrainCandidate == nullptr || score > mDrainScore) {
    mDrainCandidate = &aJob;
    mDrainScore = score;
  }
}

bool job_core::state::MayDrain(const job_entry& aJob) const
{
  return mOptions.mDrainForGangs && mNow - aJob.mArrived >= mOptions.mDrainAfter &&
         static_cast<int>(mDrains.size()) < mOptions.mMaxDrainingJobs;
}

bool job_core::state::MayEvictAsGang(const job_entry& aJob) const
{
  return mOptions.mGangEviction && mNow - aJob.mArrived >= mOptions.mGangEvictionAfter &&
         aJob.Accelerators() >= mOptions.mLargeGangSize;
}

void job_core::state::BeginDrain()
{
  job_entry* const job = mDrainCandidate;
  mDrainCandidate = nullptr;
  if (job == nullptr || (MayEvictAsGang(*job) && TryGangEviction(*job))) {
    return;
  }
  if (!MayDrain(*job)) {
    return;
  }
  int held = job->Accelerators();
  for (const drain_reservation& each : mDrains) {
    held += each.mJob->Accelerators();
  }
  const int most = mCluster.LiveCapacity().mAccelerators * mOptions.mMaxDrainingPercent / 100;
  if (held > most && !mDrains.empty()) {
    return;
  }
  std::optional<drain_reservation> planned = PlanDrain(*job);
  if (!planned) {
    return;
  }
  mQueue.Remove(*job);
  for (const placement_part& each : planned->mParts) {
    mCluster.HoldForDrain(each.mWorker, job->Spec().mShape * each.mMembers);
  }
  job->mHasDrain = true;
  SetWait(*job, wait_reason::kDraining, "first worker " + NameOf(planned->mParts.front().mWorker));
  EmitDecision(decision_kind::kDraining, job->Spec().mId, NameOf(planned->mParts.front().mWorker));
  mDrains.push_back(std::move(*planned));
}

bool job_core::state::IsReady(const drain_reservation& aDrain) const
{
  return std::ranges::all_of(aDrain.mParts, [&](const placement_part& aPart) {
    const worker_slot& worker = mCluster.At(aPart.mWorker);
    return worker.mOrphans == 0 && FitsInto(aDrain.mJob->Spec().mShape * aPart.mMembers,
                                            mCluster.Room(worker, room_kind::kFreeWithDrainHeld));
  });
}

void job_core::state::AdvanceDrains()
{
  if (!CanPlace()) {
    return;
  }
  std::vector<drain_reservation> drains(mDrains.begin(), mDrains.end());
  for (const drain_reservation& each : drains) {
    const bool out = std::ranges::any_of(each.mParts, [&](const placement_part& aPart) {
      return !mCluster.AcceptsCells(mCluster.At(aPart.mWorker));
    });
    job_entry& job = *each.mJob;
    if (out) {
      EndDrain(job);
      Enqueue(job);
    } else if (IsReady(each) && !IsOverQuota(job)) {
      BeginAttempt(job, each.mParts,
                   job.Spec().mUrgent ? eviction_class::kUrgent : eviction_class::kBorrowed, -1);
      ReserveMembers(job);
    }
  }
}

void job_core::state::EndDrain(job_entry& aJob)
{
  if (!aJob.mHasDrain) {
    return;
  }
  aJob.mHasDrain = false;
  const auto found = std::ranges::find(mDrains, &aJob, &drain_reservation::mJob);
  for (const placement_part& each : found->mParts) {
    mCluster.ReleaseDrainHold(each.mWorker, aJob.Spec().mShape * each.mMembers);
  }
  mDrains.erase(found);
  mRoomChanged = true;
}

/// Number of the worker, rack or domain within which the adjacency requires all members to be.
std::uint32_t job_core::state::GroupOf(adjacency aAdjacency, worker_index aWorker) const
{
  switch (aAdjacency) {
    case adjacency::kWorker:
      return aWorker;
    case adjacency::kRack:
      return mCluster.At(aWorker).mRack;
    case adjacency::kDomain:
      return mCluster.At(aWorker).mDomain;
    case adjacency::kNone:
      return 0;
  }
  return 0;
}

namespace {

/// Additional slots that become free on a worker at one instant.
struct freed_slots
{
  instant mWhen;
  worker_index mWorker = 0;
  int mSlots = 0;
};

using freed_slot_groups = std::map<std::uint32_t, std::vector<freed_slots>>;

/// Picks the group in which the whole gang has room earliest.
std::optional<drain_reservation> PickFirstReady(job_entry& aJob, freed_slot_groups& aGroups)
{
  std::optional<drain_reservation> best;
  for (auto& [name, group] : aGroups) {
    std::ranges::stable_sort(group, {}, &freed_slots::mWhen);
    int missing = aJob.Spec().mMembers;
    std::map<worker_index, int> parts;
    instant ready;
    for (const freed_slots& each : group) {
      const int taken = std::min(missing, each.mSlots);
      parts[each.mWorker] += taken;
      missing -= taken;
      ready = each.mWhen;
      if (missing == 0) {
        break;
      }
    }
    if (missing > 0 || (best && best->mReadyBy <= ready)) {
      continue;
    }
    best = drain_reservation{ &aJob, {}, ready };
    for (const auto& [worker, members] : parts) {
      best->mParts.push_back({ worker, members });
    }
  }
  return best;
}

} // namespace

/// Plans a draining reservation in the group of workers where the gang is expected to have room
/// earliest, according to the estimated ends of the evictable jobs that run there.
std::optional<drain_reservation> job_core::state::PlanDrain(job_entry& aJob) const
{
  const resource_shape& shape = aJob.Spec().mShape;
  freed_slot_groups groups;
  for (worker_index i = 0; i < mCluster.Workers().size(); ++i) {
    const worker_slot& worker = mCluster.At(i);
    resource_shape room = worker.mInfo.mCapacity - worker.mDrainHeld -
                          worker.mUsedByClass[static_cast<int>(eviction_class::kPinned)] -
                          worker.mUsedByClass[static_cast<int>(eviction_class::kClaim)];
    const int most = SlotsIn(room, shape);
    if (!mCluster.AcceptsCells(worker) || most == 0) {
      continue;
    }
    std::vector<std::pair<instant, resource_shape>> ends;
    for (const occupant& each : worker.mOccupants) {
      const eviction_class held = each.mJob->mEvictionClass;
      if (held == eviction_class::kBorrowed || held == eviction_class::kUrgent) {
        ends.emplace_back(mNow + RemainingOf(*each.mJob), each.mJob->Spec().mShape);
        room = room - each.mJob->Spec().mShape;
      }
    }
    std::ranges::sort(ends, {}, &std::pair<instant, resource_shape>::first);
    std::vector<freed_slots>& group = groups[GroupOf(aJob.Spec().mAdjacency, i)];
    int slots = SlotsIn(room, shape);
    if (slots > 0) {
      group.push_back({ mNow, i, slots });
    }
    for (const auto& [when, freed] : ends) {
      room = room + freed;
      const int now = SlotsIn(room, shape);
      if (now > slots) {
        group.push_back({ when, i, now - slots });
        slots = now;
      }
    }
  }
  return PickFirstReady(aJob, groups);
}

} // namespace briarwind
