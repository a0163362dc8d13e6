#include "gang_reservations.h"
#include "work_placement.h"
#include "work_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace briarwind {

namespace {

// Shorter waits are common while runs end and orders are stored.
constexpr milliseconds kMinIdleWait{ 2'000 };
constexpr milliseconds kIdleWaitInterval{ 2'000 };
// Each check goes through all workers, so their number in a pass is limited.
constexpr int kMaxChecksPerPass = 8;

} // namespace

// The checks are in the order of wait_reason, so that the greatest reason over all workers is that
// of the worker which is closest to receiving a task.
wait_reason work_core::state::IdleWaitReason(const worker_entry& aWorker, const ready_unit& aUnit,
                                             const gang_reservations& aReservations,
                                             instant aNow) const
{
  const wait_reason ineligible = Ineligibility(aWorker, aUnit, aNow);
  if (ineligible != wait_reason::kNone) {
    return ineligible;
  }
  if (!IsApproved(aWorker, aUnit, aNow)) {
    return wait_reason::kAdvice;
  }
  if (!aReservations.MayUse(aUnit, aWorker)) {
    return wait_reason::kReserved;
  }
  if (ProbeLimit(aWorker, aUnit) == 0) {
    return wait_reason::kRecentFailure;
  }
  if (StepLimit(aWorker, aUnit) == 0) {
    return wait_reason::kPerWorkerLimit;
  }
  if (IsRemote(aWorker, aUnit.Spec())) {
    return wait_reason::kLocality;
  }
  return aUnit.Spec().mGang ? wait_reason::kGang : wait_reason::kNone;
}

void work_core::state::RecordIdleWait(ready_unit& aUnit, const gang_reservations& aReservations,
                                      bool aHeldBack, instant aNow)
{
  const step_entry& step = aUnit.Entry();
  wait_record& wait = aUnit.Entry().mWait;
  if (WaitingTasks(aUnit).empty()) {
    wait.mReason = wait_reason::kNone;
    return;
  }
  const bool isDue = aNow - step.mReadySince >= kMinIdleWait &&
                     aNow - wait.mCheckedAt >= kIdleWaitInterval &&
                     mIdleWaitChecks < kMaxChecksPerPass;
  if (isDue) {
    ++mIdleWaitChecks;
    wait.mCheckedAt = aNow;
    const task_demand demand = CapacityDemand(aUnit.Spec());
    const worker_entry* closest = nullptr;
    wait_reason reason = wait_reason::kNone;
    for (const auto& [id, worker] : mWorkers) {
      if (!worker.mListed || worker.mInfo.mService != aUnit.mQueue->mService ||
          FitCount(worker.Free(), demand) < 1) {
        continue;
      }
      const wait_reason each = IdleWaitReason(worker, aUnit, aReservations, aNow);
      if (closest == nullptr || each > reason) {
        closest = &worker;
        reason = each;
      }
    }
    if (closest != nullptr && aHeldBack) {
      reason = wait_reason::kOrganisationHeldBack;
    } else if (closest != nullptr && aUnit.mJob->mWaitsForLimit) {
      reason = wait_reason::kOrganisationLimitUsed;
    }
    if (std::exchange(wait.mReason, reason) != reason && reason != wait_reason::kNone) {
      EmitEvent(work_event_kind::kWaitsBesideIdle, aUnit.mJob->mSpec.mId, ToString(aUnit.Task(0)),
                closest->mInfo.mId, ToString(reason),
                std::chrono::duration_cast<milliseconds>(aNow - step.mReadySince));
    }
  }
  if (wait.mReason != wait_reason::kNone) {
    ++mIdleWaits[wait.mReason];
  }
}

void work_core::state::RecordReservation(const ready_unit& aUnit, const std::string& aRack,
                                         instant aNow)
{
  wait_record& wait = aUnit.Entry().mWait;
  if (aRack.empty()) {
    wait.mReservedRack.clear();
  } else if (aRack != wait.mReservedRack && aNow - wait.mReservationLoggedAt >= kIdleWaitInterval) {
    wait.mReservedRack = aRack;
    wait.mReservationLoggedAt = aNow;
    EmitEvent(work_event_kind::kRackReserved, aUnit.mJob->mSpec.mId, ToString(aUnit.Task(0)), {},
              aRack, std::chrono::duration_cast<milliseconds>(aNow - aUnit.Entry().mReadySince));
  }
}

std::vector<idle_wait> work_core::IdleWaits() const
{
  std::vector<idle_wait> waits;
  std::ranges::transform(mState->mIdleWaits, std::back_inserter(waits),
                         [](const auto& aEach) { return idle_wait{ aEach.first, aEach.second }; });
  return waits;
}

std::size_t work_core::ReservedRacks() const
{
  return mState->mReservedRacks;
}

} // namespace briarwind
