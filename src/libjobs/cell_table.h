#pragma once

#include "libjobs/cell_binder.h"
#include "libjobs/cluster_table.h"
#include "libjobs/placement.h"

#include <optional>
#include <string>
#include <vector>

namespace briarwind {

/// One guaranteed gang with its present place.
struct bound_cell
{
  cell_demand mDemand;
  placement mPlace;            ///< empty when it has none
  job_entry* mClaim = nullptr; ///< the job that runs in it
};

enum class binding_way : std::uint8_t
{
  kLeastMoves, ///< cells whose home is whole stay there
  kPlanned,    ///< all as planned for the domain that is in trouble
  kTight,      ///< anew, packed as tightly as possible
};

/// Where the guaranteed shapes stand, which moves as little as possible.
class cell_table
{
public:
  /// Takes over the settings' guarantees. Claims whose guarantee is gone are returned.
  std::vector<job_entry*> SetDemands(std::vector<cell_demand> aDemands);
  /// Binds anew after workers came or went. Claims stay where they are when they can; those that
  /// have to move so that all shapes have a place are returned. Sets mMoved.
  std::vector<job_entry*> Rebind(cluster_table& aCluster);

  /// The free cell that fits the job with the least left over; -1 when there is none.
  int FindFor(const job_entry& aJob) const;
  void Claim(int aCell, job_entry& aJob) { mCells[aCell].mClaim = &aJob; }
  void Unclaim(int aCell) { mCells[aCell].mClaim = nullptr; }

  /// Moves one unclaimed cell to another place.
  void Move(int aCell, placement aPlace, cluster_table& aCluster);

  const std::vector<bound_cell>& Cells() const { return mCells; }
  int Moved() const { return mMoved; }
  int Unmet() const;

private:
  void Plan(const cluster_table& aCluster);
  bool IsPlanFor(const cluster_table& aCluster) const;
  std::optional<std::uint32_t> TroubledDomain(const cluster_table& aCluster) const;
  std::vector<cell_place> BindNow(const cluster_table& aCluster, binding_way aWay,
                                  bool aPinned) const;
  std::vector<cell_place> BindBest(const cluster_table& aCluster) const;
  cell_place ToPlace(const placement& aPlacement) const;
  placement ToPlacement(const cell_place& aPlace) const;
  const cell_place* AlternateFor(std::size_t aCell, const cluster_table& aCluster) const;
  void WriteTotals(cluster_table& aCluster) const;

  std::vector<bound_cell> mCells;
  std::vector<cell_demand> mDemands;

  // The plan depends on the settings and the listed workers alone.
  bool mPlanned = false;
  std::vector<worker_info> mPlannedFor;
  std::vector<worker_index> mWorkerOf; ///< worker of each site
  std::vector<std::uint32_t> mSiteOf;  ///< site of each worker
  std::vector<cell_site> mSites;
  std::vector<cell_place> mHomes;
  std::vector<std::vector<cell_place>> mAlternates; ///< with each domain out
  std::vector<resource_shape> mAheadPlanned;
  int mMoved = 0;
};

} // namespace briarwind
