#include "libjobs/core_state.h"

#include <algorithm>

namespace briarwind {

void job_core::state::UpdateGuarantees()
{
  for (job_entry* claim : mCells.SetDemands(DemandsOf(mSettings))) {
    // The guarantee was removed or changed. The job keeps running as ordinary work.
    const eviction_class held = !claim->Spec().mRepeatable ? eviction_class::kPinned
                                : claim->Spec().mUrgent    ? eviction_class::kUrgent
                                                           : eviction_class::kBorrowed;
    for (const member_state& each : claim->mMembers) {
      if (each.mHoldsResources) {
        mCluster.Reclassify(each.mWorker, claim->Spec().mShape, claim->mEvictionClass, held);
      }
    }
    claim->mEvictionClass = held;
    claim->mCell = -1;
  }
  RebindCells();
}

void job_core::state::RebindCells()
{
  if (mOptions.mGuarantees == guarantee_policy::kFirstFit) {
    return;
  }
  const int unmetBefore = mCells.UnmetCells();
  const std::vector<job_entry*> displaced = mCells.RebindCells(mCluster);
  if (mCells.MovedCells() > 0) {
    EmitDecision(decision_kind::kCellsMoved, {}, {}, {}, std::to_string(mCells.MovedCells()));
  }
  if (mCells.UnmetCells() > 0 && mCells.UnmetCells() != unmetBefore) {
    EmitDecision(decision_kind::kGuaranteeUnmet, {}, {}, {}, std::to_string(mCells.UnmetCells()));
  }
  for (job_entry* claim : displaced) {
    StopAttempt(*claim, after_stop::kRequeue, "its guaranteed shape has to move",
                mOptions.mCheckpointBound);
    CompleteAttemptIfOver(*claim);
  }
}

/// Workers on which a claim is to be placed; empty when there is no place.
placement job_core::state::PlaceForClaim(const job_entry& aJob, int aCell)
{
  const placement_request anywhere = MakePlacementRequest(aJob, room_kind::kClaimable);
  if (mOptions.mGuarantees == guarantee_policy::kFirstFit) {
    return FindPlace(mCluster, anywhere).mParts;
  }
  if (mOptions.mGuarantees == guarantee_policy::kMovableCells) {
    // Free room is preferred, because nothing has to be evicted. Room that other cells may need is
    // left out.
    const placement_result free =
      FindPlace(mCluster, MakePlacementRequest(aJob, room_kind::kFreeOutsideCells));
    if (!free.mParts.empty()) {
      mCells.MoveCell(aCell, free.mParts, mCluster);
      return free.mParts;
    }
  }
  const placement& cell = mCells.Cells()[static_cast<std::size_t>(aCell)].mPlace;
  placement parts;
  int missing = aJob.Spec().mMembers;
  for (const placement_part& each : cell) {
    const int taken = std::min(missing, each.mMembers);
    if (taken > 0) {
      parts.push_back({ each.mWorker, taken });
      missing -= taken;
    }
  }
  return missing == 0 ? parts : placement{};
}

} // namespace briarwind
