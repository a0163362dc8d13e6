#include "libjobs/core_state.h"

#include <algorithm>

namespace briarwind {

void job_core::state::SetDemands()
{
  for (job_entry* claim : mCells.SetDemands(DemandsOf(mSettings))) {
    // Its guarantee is gone; it goes on as any other work.
    const tenure held = !claim->Spec().mRepeatable ? tenure::kFirm
                        : claim->Spec().mUrgent    ? tenure::kUrgent
                                                   : tenure::kBorrowed;
    for (const member_state& each : claim->mMembers) {
      if (each.mHolds) {
        mCluster.Retag(each.mWorker, claim->Spec().mShape, claim->mTenure, held);
      }
    }
    claim->mTenure = held;
    claim->mCell = -1;
  }
  Rebind();
}

void job_core::state::Rebind()
{
  if (mOptions.mGuarantees == guarantee_policy::kFirstFit) {
    return;
  }
  const int unmetBefore = mCells.Unmet();
  const std::vector<job_entry*> displaced = mCells.Rebind(mCluster);
  if (mCells.Moved() > 0) {
    Note(decision_kind::kCellsMoved, {}, {}, {}, std::to_string(mCells.Moved()));
  }
  if (mCells.Unmet() > 0 && mCells.Unmet() != unmetBefore) {
    Note(decision_kind::kGuaranteeUnmet, {}, {}, {}, std::to_string(mCells.Unmet()));
  }
  for (job_entry* claim : displaced) {
    StopAttempt(*claim, after_stop::kQueueAgain, "its guaranteed shape has to move",
                mOptions.mCheckpointBound);
    FinishIfOver(*claim);
  }
}

/// Workers for a claim, one share a member.
placement job_core::state::CellPlaceFor(const job_entry& aJob, int aCell)
{
  const placement_request anywhere = RequestFor(aJob, room_kind::kClaimable);
  if (mOptions.mGuarantees == guarantee_policy::kFirstFit) {
    return FindPlace(mCluster, anywhere).mParts;
  }
  if (mOptions.mGuarantees == guarantee_policy::kWitness) {
    // Free room first: then nothing is evicted. The other shapes have to keep a place.
    const placement_result free = FindPlace(mCluster, RequestFor(aJob, room_kind::kFreeFirm));
    if (!free.mParts.empty()) {
      mCells.Move(aCell, free.mParts, mCluster);
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
