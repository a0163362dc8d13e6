#pragma once

#include "libjobs/cell_binder.h"
#include "libjobs/cluster_table.h"
#include "libjobs/placement.h"

#include <optional>
#include <string>
#include <vector>

namespace briarwind {

/// A guarantee cell: one guaranteed gang and the workers that it is bound to.
struct bound_cell
{
  cell_demand mDemand;
  placement mPlace;            ///< empty when no place was found
  job_entry* mClaim = nullptr; ///< the job that runs in it
};

enum class binding_strategy : std::uint8_t
{
  kLeastMoves, ///< cells whose home workers are all in service stay there
  kPlanned,    ///< every cell as precomputed for the outage of the one affected domain
  kRepack,     ///< ignores present places and packs all cells again by best fit
};

/// Binds guarantee cells to workers and moves as few of them as possible when workers change.
class cell_table
{
public:
  /// Replaces the demands of the settings. Returns the claims whose guarantee was removed or
  /// changed.
  std::vector<job_entry*> SetDemands(std::vector<cell_demand> aDemands);
  /// Recomputes the binding after workers came or went. Claimed cells stay where possible; returns
  /// the claims whose cells moved because otherwise some cell would have no place.
  std::vector<job_entry*> RebindCells(cluster_table& aCluster);

  /// Index of the smallest unclaimed cell that the job fits into, cells with a place first; -1 when
  /// there is none.
  int FindCellFor(const job_entry& aJob) const;
  void Claim(int aCell, job_entry& aJob) { mCells[aCell].mClaim = &aJob; }
  void Unclaim(int aCell) { mCells[aCell].mClaim = nullptr; }

  /// Moves one cell to another place.
  void MoveCell(int aCell, placement aPlace, cluster_table& aCluster);

  const std::vector<bound_cell>& Cells() const { return mCells; }
  /// Number of cells that the last rebinding moved.
  int MovedCells() const { return mMovedCells; }
  /// Number of cells without a place.
  int UnmetCells() const;

private:
  void PlanCells(const cluster_table& aCluster);
  bool IsPlanCurrent(const cluster_table& aCluster) const;
  std::optional<std::uint32_t> SingleOutageDomain(const cluster_table& aCluster) const;
  std::vector<cell_place> BindWith(const cluster_table& aCluster, binding_strategy aStrategy,
                                   bool aKeepClaims) const;
  std::vector<cell_place> BindBest(const cluster_table& aCluster) const;
  cell_place ToPlace(const placement& aPlacement) const;
  placement ToPlacement(const cell_place& aPlace) const;
  const cell_place* AlternateFor(std::size_t aCell, const cluster_table& aCluster) const;
  void WriteTotals(cluster_table& aCluster) const;

  std::vector<bound_cell> mCells;
  std::vector<cell_demand> mDemands;

  // Precomputed places. They depend only on the settings and the listed workers, so that they do
  // not change when workers go out of service.
  bool mPlanned = false;
  std::vector<worker_info> mPlannedFor;
  std::vector<worker_index> mWorkerOf; ///< worker index of each site
  std::vector<std::uint32_t> mSiteOf;  ///< site of each worker index
  std::vector<cell_site> mSites;
  std::vector<cell_place> mHomes; ///< of each cell, with every site in service
  /// Of each cell, by the domain that is out of service.
  std::vector<std::vector<cell_place>> mAlternates;
  std::vector<resource_shape> mPlannedWorstCase;
  int mMovedCells = 0;
};

} // namespace briarwind
