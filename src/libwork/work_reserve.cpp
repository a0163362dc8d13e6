#include "work_table.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace briarwind {

namespace {

struct service_room
{
  std::vector<const worker_entry*> mWorkers;
  int mAccelerators = 0;
  int mFree = 0;
};

} // namespace

void work_core::state::UpdateUrgentUse(instant aNow)
{
  for (auto& [service, use] : mUrgentUse) {
    use.mNow = 0;
  }
  for (const auto& [id, worker] : mWorkers) {
    for (const auto& [run, entry] : worker.mRuns) {
      if (entry.mUrgent) {
        mUrgentUse[worker.mInfo.mService].mNow += entry.mDemand.mAccelerators;
      }
    }
  }
  const std::chrono::duration<double> passed = aNow - mUrgentUseAt;
  const std::chrono::duration<double> halfLife = mOptions.mReserveHalfLife;
  const double kept = mUrgentUseAt == instant() ? 0 : std::exp2(-passed / halfLife);
  for (auto& [service, use] : mUrgentUse) {
    use.mPeak = std::max<double>(use.mNow, use.mPeak * kept);
  }
  mUrgentUseAt = aNow;
}

// In a full service the room of an urgent run that ends would go to other work at once, and the
// next urgent run would have to stop that again. The emptiest workers are kept free of new work
// that may be stopped, as many as urgent work has used of late beyond what it uses now.
void work_core::state::HoldBack()
{
  mHeldBack.clear();
  std::map<std::string, service_room> rooms;
  for (const auto& [id, worker] : mWorkers) {
    if (worker.mListed && worker.mInTouch && !worker.mInfo.mLeaving) {
      service_room& room = rooms[worker.mInfo.mService];
      room.mWorkers.push_back(&worker);
      room.mAccelerators += worker.mInfo.mCapacity.mAccelerators;
      room.mFree += worker.Free().mAccelerators;
    }
  }
  for (auto& [service, room] : rooms) {
    const auto use = mUrgentUse.find(service);
    const bool busy = 2 * room.mFree < room.mAccelerators;
    if (use == mUrgentUse.end() || !busy) {
      continue;
    }
    double wanted = use->second.mPeak - use->second.mNow;
    std::ranges::stable_sort(room.mWorkers, std::greater(), [](const worker_entry* aWorker) {
      return aWorker->Free().mAccelerators;
    });
    for (const worker_entry* each : room.mWorkers) {
      if (wanted <= 0) {
        break;
      }
      mHeldBack.insert(each);
      wanted -= each->mInfo.mCapacity.mAccelerators;
    }
  }
}

} // namespace briarwind
