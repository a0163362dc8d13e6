#include "gang_reservations.h"

#include "work_placement.h"

#include <algorithm>
#include <functional>
#include <ranges>

namespace briarwind {

namespace {

// Runs end all the time, so a gang that is short of room often finds it within this time.
constexpr milliseconds kWaitBeforeReservation{ 1'000 };
// At most one in this many racks is held, so that a few wide gangs cannot idle the fleet.
constexpr std::size_t kRacksPerReservation = 8;
// Each estimate goes through all runs of a rack, so their number in a pass is limited.
constexpr int kMaxEstimatesPerPass = 16;
// A run may take this many times its expected time: tasks of one step differ by 30%, and slow
// workers take 1.25 times as long.
constexpr double kRunTimeMargin = 1.5;

int FittingTasks(const ready_unit& aUnit, const std::vector<worker_entry*>& aWorkers)
{
  int fitting = 0;
  for (const worker_entry* each : aWorkers) {
    const int slots =
      std::min(FitCount(each->Free(), CapacityDemand(aUnit.Spec())), StepLimit(*each, aUnit));
    fitting += std::min(slots, aUnit.Spec().mCount);
  }
  return fitting;
}

struct reservable_rack
{
  const worker_group* mGroup = nullptr;
  int mFitting = 0; ///< tasks that fit now
};

} // namespace

bool NeedsReservation(const ready_unit& aUnit, instant aNow)
{
  return aUnit.Spec().mGang && !aUnit.mIsLate &&
         aNow - aUnit.Entry().mReadySince > kWaitBeforeReservation;
}

bool EndsBy(const ready_unit& aUnit, bool aIsRemote, instant aBy, instant aNow)
{
  if (aUnit.Spec().mLongRunning || aUnit.mExpectedTime.count() == 0) {
    return false;
  }
  const int remote = aIsRemote ? kRemoteFactor : 1;
  return aNow + kRunTimeMargin * remote * aUnit.mExpectedTime <= aBy;
}

// A gang that has room for all its tasks now is kept back by something that a reservation does not
// change.
std::string gang_reservations::Hold(const ready_unit& aUnit,
                                    const std::vector<worker_entry*>& aWorkers,
                                    const room_estimate& aRoomAt)
{
  const std::vector<worker_group> groups = GroupByRack(aWorkers);
  mRacks = std::max(mRacks, groups.size());
  if (mHeldRacks >= std::max<std::size_t>(1, mRacks / kRacksPerReservation)) {
    return {};
  }
  const int needed = static_cast<int>(aUnit.Entry().mTasks.size());
  std::vector<reservable_rack> racks;
  for (const worker_group& each : groups) {
    const bool isHeld = std::ranges::any_of(
      each.mWorkers, [&](const worker_entry* aWorker) { return mHeld.contains(aWorker); });
    if (isHeld || !CanEverFit(aUnit, each.mWorkers, needed)) {
      continue;
    }
    const int fitting = FittingTasks(aUnit, each.mWorkers);
    if (fitting < needed) {
      racks.push_back({ &each, fitting });
    }
  }
  std::ranges::stable_sort(racks, std::ranges::greater(), &reservable_rack::mFitting);
  for (const reservable_rack& each : racks) {
    if (++mEstimates > kMaxEstimatesPerPass) {
      return {};
    }
    if (const auto roomAt = aRoomAt(each.mGroup->mWorkers)) {
      ++mHeldRacks;
      for (const worker_entry* worker : each.mGroup->mWorkers) {
        mHeld[worker] = { &aUnit.Entry(), aUnit.mRank, *roomAt };
      }
      return each.mGroup->mRack;
    }
  }
  return {};
}

bool gang_reservations::MayUse(const ready_unit& aUnit, const worker_entry& aWorker) const
{
  const auto held = mHeld.find(&aWorker);
  return held == mHeld.end() || held->second.mGang == &aUnit.Entry() ||
         aUnit.mRank < held->second.mRank ||
         EndsBy(aUnit, IsRemote(aWorker, aUnit.Spec()), held->second.mNeededAt, mNow);
}

void limit_holds::Add(const ready_unit& aGang, instant aStartsAt)
{
  mHolds.emplace(aGang.mJob->mSpec.mOrganisation, hold{ aGang.mRank, aStartsAt });
}

bool limit_holds::HoldsBack(const ready_unit& aUnit) const
{
  const auto found = mHolds.find(aUnit.mJob->mSpec.mOrganisation);
  return found != mHolds.end() && aUnit.mRank >= found->second.mRank &&
         !EndsBy(aUnit, !aUnit.Spec().mDataRack.empty(), found->second.mStartsAt, mNow);
}

} // namespace briarwind
