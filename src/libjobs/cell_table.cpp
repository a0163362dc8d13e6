#include "libjobs/cell_table.h"

#include "libjobs/job_entry.h"
#include "libjobs/resources.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <tuple>

namespace briarwind {

namespace {

bool SameDemand(const cell_demand& aLeft, const cell_demand& aRight)
{
  return aLeft.mOrganisation == aRight.mOrganisation && aLeft.mGuarantee == aRight.mGuarantee &&
         aLeft.mCopy == aRight.mCopy;
}

bool CanHold(const cell_demand& aDemand, const job_spec& aSpec)
{
  return aDemand.mOrganisation == aSpec.mOrganisation && aDemand.mMembers >= aSpec.mMembers &&
         FitsInto(aSpec.mShape, aDemand.mShape) && aDemand.mAdjacency >= aSpec.mAdjacency;
}

} // namespace

std::vector<job_entry*> cell_table::SetDemands(std::vector<cell_demand> aDemands)
{
  std::vector<job_entry*> unbacked;
  std::vector<bound_cell> cells;
  for (const cell_demand& each : aDemands) {
    cells.push_back({ each, {}, nullptr });
  }
  for (bound_cell& before : mCells) {
    const auto same = [&](const bound_cell& aCell) {
      return SameDemand(aCell.mDemand, before.mDemand);
    };
    const auto found = std::ranges::find_if(cells, same);
    const bool kept = found != cells.end() && found->mDemand == before.mDemand;
    if (kept) {
      found->mPlace = std::move(before.mPlace);
      found->mClaim = before.mClaim;
      if (found->mClaim != nullptr) {
        found->mClaim->mCell = static_cast<int>(found - cells.begin());
      }
    } else if (before.mClaim != nullptr) {
      unbacked.push_back(before.mClaim);
    }
  }
  mCells = std::move(cells);
  mDemands = std::move(aDemands);
  mPlanned = false;
  return unbacked;
}

int cell_table::FindCellFor(const job_entry& aJob) const
{
  int best = -1;
  const auto cost = [](const bound_cell& aCell) {
    return std::tuple(aCell.mPlace.empty(),
                      aCell.mDemand.mMembers * aCell.mDemand.mShape.mAccelerators,
                      aCell.mDemand.mMembers * aCell.mDemand.mShape.mCores);
  };
  for (std::size_t i = 0; i < mCells.size(); ++i) {
    if (mCells[i].mClaim != nullptr || !CanHold(mCells[i].mDemand, aJob.Spec())) {
      continue;
    }
    if (best < 0 || cost(mCells[i]) < cost(mCells[static_cast<std::size_t>(best)])) {
      best = static_cast<int>(i);
    }
  }
  return best;
}

bool cell_table::IsPlanCurrent(const cluster_table& aCluster) const
{
  if (!mPlanned) {
    return false;
  }
  std::size_t listed = 0;
  const auto workers = aCluster.Workers();
  for (worker_index i = 0; i < workers.size(); ++i) {
    if (!workers[i].mListed) {
      continue;
    }
    ++listed;
    if (i >= mSiteOf.size() || mSiteOf[i] >= mPlannedFor.size()) {
      return false;
    }
    const worker_info& before = mPlannedFor[mSiteOf[i]];
    const worker_info& now = workers[i].mInfo;
    // mLeaving is not compared, because home places do not depend on which workers are leaving.
    if (before.mName != now.mName || before.mDomain != now.mDomain || before.mRack != now.mRack ||
        before.mCapacity != now.mCapacity) {
      return false;
    }
  }
  return listed == mPlannedFor.size();
}

void cell_table::PlanCells(const cluster_table& aCluster)
{
  mPlanned = true;
  const auto workers = aCluster.Workers();
  mWorkerOf.clear();
  for (worker_index i = 0; i < workers.size(); ++i) {
    if (workers[i].mListed) {
      mWorkerOf.push_back(i);
    }
  }
  std::ranges::sort(mWorkerOf, {}, [&](worker_index aWorker) -> const std::string& {
    return workers[aWorker].mInfo.mName;
  });
  mPlannedFor.clear();
  mSiteOf.assign(workers.size(), ~std::uint32_t{ 0 });
  for (std::uint32_t site = 0; site < mWorkerOf.size(); ++site) {
    mPlannedFor.push_back(workers[mWorkerOf[site]].mInfo);
    mSiteOf[mWorkerOf[site]] = site;
  }
  mSites = SitesOf(mPlannedFor);
  mHomes = BindHomes(mDemands, mSites);
  mPlannedWorstCase.assign(mSites.size(), {});
  const auto raiseWorstCase = [&](const std::vector<cell_place>& aPlaces) {
    std::vector<resource_shape> total(mSites.size());
    for (std::size_t i = 0; i < aPlaces.size(); ++i) {
      for (const cell_share& each : aPlaces[i]) {
        total[each.mSite] = total[each.mSite] + mDemands[i].mShape * each.mMembers;
      }
    }
    std::ranges::transform(mPlannedWorstCase, total, mPlannedWorstCase.begin(), MaxOf);
  };
  raiseWorstCase(mHomes);
  mAlternates.clear();
  std::uint32_t domains = 0;
  for (const cell_site& each : mSites) {
    domains = std::max(domains, each.mDomain + 1);
  }
  for (std::uint32_t domain = 0; domain < domains && !mDemands.empty(); ++domain) {
    std::vector<bool> out;
    std::ranges::transform(mSites, std::back_inserter(out),
                           [&](const cell_site& aSite) { return aSite.mDomain == domain; });
    mAlternates.push_back(BindAround(mDemands, mSites, mHomes, out));
    raiseWorstCase(mAlternates.back());
  }
}

cell_place cell_table::ToPlace(const placement& aPlacement) const
{
  cell_place place;
  for (const placement_part& each : aPlacement) {
    if (each.mWorker >= mSiteOf.size() || mSiteOf[each.mWorker] >= mSites.size()) {
      return {};
    }
    place.push_back({ mSiteOf[each.mWorker], each.mMembers });
  }
  return place;
}

placement cell_table::ToPlacement(const cell_place& aPlace) const
{
  placement parts;
  for (const cell_share& each : aPlace) {
    parts.push_back({ mWorkerOf[each.mSite], each.mMembers });
  }
  return parts;
}

const cell_place* cell_table::AlternateFor(std::size_t aCell, const cluster_table& aCluster) const
{
  std::uint32_t domain = ~std::uint32_t{ 0 };
  for (const cell_share& each : mHomes[aCell]) {
    if (aCluster.AcceptsCells(aCluster.At(mWorkerOf[each.mSite]))) {
      continue;
    }
    if (domain != ~std::uint32_t{ 0 } && domain != mSites[each.mSite].mDomain) {
      return nullptr;
    }
    domain = mSites[each.mSite].mDomain;
  }
  return domain < mAlternates.size() ? &mAlternates[domain][aCell] : nullptr;
}

/// The domain that contains all workers unfit for cells. None when all workers are fit or when the
/// unfit ones are in several domains.
std::optional<std::uint32_t> cell_table::SingleOutageDomain(const cluster_table& aCluster) const
{
  std::optional<std::uint32_t> outage;
  for (std::uint32_t site = 0; site < mSites.size(); ++site) {
    if (aCluster.AcceptsCells(aCluster.At(mWorkerOf[site]))) {
      continue;
    }
    if (outage && *outage != mSites[site].mDomain) {
      return std::nullopt;
    }
    outage = mSites[site].mDomain;
  }
  return outage;
}

std::vector<cell_place> cell_table::BindWith(const cluster_table& aCluster,
                                             binding_strategy aStrategy, bool aKeepClaims) const
{
  std::vector<resource_shape> room;
  for (const worker_index worker : mWorkerOf) {
    const worker_slot& slot = aCluster.At(worker);
    const resource_shape& pinnedUse = slot.mUsedByClass[static_cast<int>(eviction_class::kPinned)];
    room.push_back(aCluster.AcceptsCells(slot) ? slot.mInfo.mCapacity - pinnedUse
                                               : resource_shape{});
  }
  cell_binder binder(mSites, std::move(room));
  std::vector<cell_place> places(mCells.size());
  const auto allocate = [&](std::size_t aCell, const cell_place& aPlace) {
    places[aCell] = aPlace;
    binder.Allocate(mCells[aCell].mDemand, aPlace);
  };
  const auto allocateIfFits = [&](std::size_t aCell, const cell_place& aPlace) {
    if (places[aCell].empty() && binder.Fits(mCells[aCell].mDemand, aPlace)) {
      allocate(aCell, aPlace);
    }
  };
  const auto forAll = [&](const auto& aDo) {
    for (std::size_t i = 0; i < mCells.size(); ++i) {
      aDo(i);
    }
  };
  forAll([&](std::size_t aCell) {
    const job_entry* claim = mCells[aCell].mClaim;
    if (claim != nullptr && (aKeepClaims || !claim->Spec().mRepeatable)) {
      allocate(aCell, ToPlace(mCells[aCell].mPlace));
    }
  });
  if (aStrategy == binding_strategy::kPlanned) {
    const std::optional<std::uint32_t> outage = SingleOutageDomain(aCluster);
    if (outage && *outage < mAlternates.size()) {
      forAll([&](std::size_t aCell) { allocateIfFits(aCell, mAlternates[*outage][aCell]); });
    }
  }
  if (aStrategy != binding_strategy::kRepack) {
    forAll([&](std::size_t aCell) { allocateIfFits(aCell, mHomes[aCell]); });
    forAll([&](std::size_t aCell) {
      const cell_place* alternate = AlternateFor(aCell, aCluster);
      if (alternate != nullptr) {
        allocateIfFits(aCell, *alternate);
      }
    });
    forAll([&](std::size_t aCell) { allocateIfFits(aCell, ToPlace(mCells[aCell].mPlace)); });
  }
  forAll([&](std::size_t aCell) {
    if (places[aCell].empty()) {
      const cell_demand& demand = mCells[aCell].mDemand;
      allocate(aCell, aStrategy == binding_strategy::kRepack ? binder.SearchBestFit(demand)
                                                             : binder.Search(demand));
    }
  });
  return places;
}

/// Tries the strategies in order, first with all claimed cells fixed and then with only the claims
/// of non-repeatable jobs fixed, until every cell has a place. Otherwise returns the binding with
/// the fewest cells unplaced.
std::vector<cell_place> cell_table::BindBest(const cluster_table& aCluster) const
{
  std::vector<cell_place> best;
  std::ptrdiff_t fewestUnmet = 0;
  for (const bool keepClaims : { true, false }) {
    for (const binding_strategy strategy :
         { binding_strategy::kLeastMoves, binding_strategy::kPlanned, binding_strategy::kRepack }) {
      std::vector<cell_place> places = BindWith(aCluster, strategy, keepClaims);
      const std::ptrdiff_t unmet = std::ranges::count_if(places, &cell_place::empty);
      if (best.empty() || unmet < fewestUnmet) {
        best = std::move(places);
        fewestUnmet = unmet;
      }
      if (fewestUnmet == 0) {
        return best;
      }
    }
  }
  return best;
}

std::vector<job_entry*> cell_table::RebindCells(cluster_table& aCluster)
{
  if (!IsPlanCurrent(aCluster)) {
    PlanCells(aCluster);
  }
  const std::vector<cell_place> places = BindBest(aCluster);
  std::vector<job_entry*> displaced;
  mMovedCells = 0;
  for (std::size_t i = 0; i < mCells.size(); ++i) {
    bound_cell& cell = mCells[i];
    const bool same = ToPlace(cell.mPlace) == places[i];
    if (same) {
      continue;
    }
    ++mMovedCells;
    cell.mPlace = ToPlacement(places[i]);
    if (cell.mClaim != nullptr) {
      displaced.push_back(cell.mClaim);
    }
  }
  WriteTotals(aCluster);
  return displaced;
}

void cell_table::MoveCell(int aCell, placement aPlace, cluster_table& aCluster)
{
  mCells[static_cast<std::size_t>(aCell)].mPlace = std::move(aPlace);
  WriteTotals(aCluster);
}

void cell_table::WriteTotals(cluster_table& aCluster) const
{
  for (worker_index i = 0; i < aCluster.Workers().size(); ++i) {
    aCluster.At(i).mCells = {};
    aCluster.At(i).mCellsWorstCase = {};
  }
  for (std::uint32_t site = 0; site < mWorkerOf.size(); ++site) {
    aCluster.At(mWorkerOf[site]).mCellsWorstCase = mPlannedWorstCase[site];
  }
  for (const bound_cell& each : mCells) {
    for (const placement_part& part : each.mPlace) {
      worker_slot& slot = aCluster.At(part.mWorker);
      slot.mCells = slot.mCells + each.mDemand.mShape * part.mMembers;
    }
  }
  for (worker_index i = 0; i < aCluster.Workers().size(); ++i) {
    worker_slot& slot = aCluster.At(i);
    slot.mCellsWorstCase = MaxOf(slot.mCellsWorstCase, slot.mCells);
  }
}

int cell_table::UnmetCells() const
{
  return static_cast<int>(
    std::ranges::count_if(mCells, [](const bound_cell& aCell) { return aCell.mPlace.empty(); }));
}

} // namespace briarwind
