#include "libjobs/placement.h"

#include "libjobs/resources.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace briarwind {

namespace {

struct candidate
{
  worker_index mWorker = 0;
  int mSlots = 0;
  int mCost = 0; ///< workers with a lower cost are preferred
};

/// One placement search: collects the workers with room, then compares groups of them.
class placement_search
{
public:
  placement_search(const cluster_table& aCluster, const placement_request& aRequest)
    : mCluster(aCluster)
    , mRequest(aRequest)
  {
  }

  placement_result Run()
  {
    if (ExceedsFreeAccelerators()) {
      return {};
    }
    CollectCandidates();
    if (mTotalSlots < mRequest.mMembers) {
      return {};
    }
    if (mRequest.mAdjacency != adjacency::kNone) {
      KeepBestGroupOrNone();
    } else if (mRequest.mMembers > 1 && mRequest.mPacking == packing::kBestFit) {
      PreferOneDomain();
    }
    return { AssignMembers(), placement_failure::kNoAdjacency };
  }

private:
  /// Rejects a request for free room without a scan when the cluster has too few free accelerators.
  bool ExceedsFreeAccelerators() const
  {
    const int needed = mRequest.mMembers * mRequest.mShape.mAccelerators;
    const bool plain =
      mRequest.mRoom == room_kind::kFree || mRequest.mRoom == room_kind::kFreeOutsideCells;
    return plain && needed > mCluster.FreeAccelerators();
  }

  void CollectCandidates()
  {
    const bool listedOnly = mRequest.mRoom == room_kind::kListedCapacity;
    const auto workers = mCluster.Workers();
    for (worker_index i = 0; i < workers.size(); ++i) {
      const worker_slot& worker = workers[i];
      const bool counts = listedOnly ? worker.mListed : mCluster.AcceptsStarts(worker);
      if (!counts || std::ranges::find(mRequest.mAvoid, i) != mRequest.mAvoid.end()) {
        continue;
      }
      const bool whole =
        mRequest.mRoom == room_kind::kLiveCapacity || mRequest.mRoom == room_kind::kListedCapacity;
      if (worker.mOrphans > 0 && !whole) {
        continue;
      }
      resource_shape room = mCluster.Room(worker, mRequest.mRoom);
      if (!whole && mRequest.mPacking == packing::kBestFit) {
        room = room - ReservedForAccelerators(worker);
      }
      int slots = SlotsIn(room, mRequest.mShape);
      if (worker.mHealth.mProbing && !listedOnly) {
        slots = mRequest.mMayProbe && worker.mOccupants.empty() ? std::min(slots, 1) : 0;
      }
      if (slots > 0) {
        mCandidates.push_back({ i, slots, CostOf(worker) });
        mTotalSlots += slots;
      }
    }
  }

  /// Cores and memory that jobs without accelerators must leave unused: half of the proportional
  /// share of each free accelerator, since an accelerator without cores and memory is unusable.
  resource_shape ReservedForAccelerators(const worker_slot& aWorker) const
  {
    const resource_shape& whole = aWorker.mInfo.mCapacity;
    const int free = whole.mAccelerators - aWorker.mUsed.mAccelerators;
    if (mRequest.mShape.mAccelerators > 0 || free <= 0) {
      return {};
    }
    const int parts = 2 * whole.mAccelerators;
    return { 0, whole.mCores * free / parts, whole.mMemoryMb * free / parts };
  }

  int CostOf(const worker_slot& aWorker) const
  {
    if (mRequest.mPacking == packing::kFirstFit) {
      return 0;
    }
    // Jobs without accelerators avoid workers that have them. Workers with guarantee cells are
    // avoided too, so that later claims have fewer jobs to evict. Workers on probation go first.
    const bool hasUnneededAccelerators =
      mRequest.mShape.mAccelerators == 0 && aWorker.mInfo.mCapacity.mAccelerators > 0;
    const bool hasCells = aWorker.mCells != resource_shape{};
    const bool probe = aWorker.mHealth.mProbing;
    return (hasUnneededAccelerators ? 2 : 0) + (hasCells ? 1 : 0) - (probe ? 4 : 0);
  }

  std::uint32_t GroupOf(const candidate& aCandidate) const
  {
    const worker_slot& worker = mCluster.At(aCandidate.mWorker);
    switch (mRequest.mAdjacency) {
      case adjacency::kWorker:
        return aCandidate.mWorker;
      case adjacency::kRack:
        return worker.mRack;
      case adjacency::kDomain:
      case adjacency::kNone:
        return worker.mDomain;
    }
    return 0;
  }

  /// Keeps only the candidates of the group that fits the gang and leaves the least room unused.
  /// Returns false, and keeps all candidates, when no group fits.
  bool KeepBestGroup()
  {
    std::vector<std::pair<std::int64_t, int>> groups; // slots and cost
    for (const candidate& each : mCandidates) {
      const std::uint32_t group = GroupOf(each);
      groups.resize(std::max<std::size_t>(groups.size(), group + 1));
      groups[group].first += each.mSlots;
      groups[group].second = std::max(groups[group].second, each.mCost);
    }
    std::size_t best = groups.size();
    for (std::size_t i = 0; i < groups.size(); ++i) {
      if (groups[i].first < mRequest.mMembers) {
        continue;
      }
      const bool better =
        best == groups.size() || (mRequest.mPacking == packing::kBestFit &&
                                  std::tuple(groups[i].second, groups[i].first) <
                                    std::tuple(groups[best].second, groups[best].first));
      best = better ? i : best;
    }
    if (best == groups.size()) {
      return false;
    }
    std::erase_if(mCandidates, [&](const candidate& aEach) { return GroupOf(aEach) != best; });
    return true;
  }

  void KeepBestGroupOrNone()
  {
    if (!KeepBestGroup()) {
      mCandidates.clear();
    }
  }

  void PreferOneDomain() { KeepBestGroup(); }

  placement AssignMembers()
  {
    if (mRequest.mPacking == packing::kBestFit) {
      SortCandidates();
    }
    placement parts;
    int missing = mRequest.mMembers;
    for (const candidate& each : mCandidates) {
      const int taken = std::min(each.mSlots, missing);
      parts.push_back({ each.mWorker, taken });
      missing -= taken;
      if (missing == 0) {
        return parts;
      }
    }
    return {};
  }

  /// Best fit for a single member: the worker with the fewest slots. A gang starts with the workers
  /// with the most slots, so that it spans few workers and racks.
  void SortCandidates()
  {
    const bool gang = mRequest.mMembers > 1;
    const auto before = [&](const candidate& aLeft, const candidate& aRight) {
      const int left = gang ? -aLeft.mSlots : aLeft.mSlots;
      const int right = gang ? -aRight.mSlots : aRight.mSlots;
      return std::tuple(aLeft.mCost, left, aLeft.mWorker) <
             std::tuple(aRight.mCost, right, aRight.mWorker);
    };
    if (gang) {
      std::ranges::sort(mCandidates, before);
    } else {
      std::iter_swap(mCandidates.begin(), std::ranges::min_element(mCandidates, before));
    }
  }

  const cluster_table& mCluster;
  const placement_request& mRequest;
  std::vector<candidate> mCandidates;
  std::int64_t mTotalSlots = 0;
};

} // namespace

placement_result FindPlace(const cluster_table& aCluster, const placement_request& aRequest)
{
  return placement_search(aCluster, aRequest).Run();
}

} // namespace briarwind
