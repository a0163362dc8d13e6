#pragma once

#include "briarwind/cluster.h"
#include "briarwind/settings_model.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace briarwind {

/// One guaranteed gang that needs a place.
struct cell_demand
{
  std::string mOrganisation;
  std::string mGuarantee;
  int mCopy = 0;
  int mMembers = 1;
  resource_shape mShape;
  adjacency mAdjacency = adjacency::kNone;
  std::uint64_t mHash = 0;

  bool operator==(const cell_demand&) const = default;
};

/// One worker as the binder sees it: racks and domains are dense numbers.
struct cell_site
{
  resource_shape mCapacity;
  std::uint32_t mRack = 0;
  std::uint32_t mDomain = 0;
  std::uint64_t mHash = 0;       ///< of its name
  std::uint64_t mRackHash = 0;   ///< of its rack's name
  std::uint64_t mDomainHash = 0; ///< of its domain's name
};

struct cell_share
{
  std::uint32_t mSite = 0;
  int mMembers = 0;

  bool operator==(const cell_share&) const = default;
};

/// Where one cell stands; empty is nowhere.
using cell_place = std::vector<cell_share>;

/// All gangs that the settings guarantee, in the order in which they are bound.
std::vector<cell_demand> DemandsOf(const settings_view& aSettings);

/// Hash of a name that is the same on every host.
std::uint64_t NameHash(std::string_view aName);

/// The sites of a list of workers, sorted by name, with the racks and domains numbered.
std::vector<cell_site> SitesOf(std::span<const worker_info> aWorkers);

/// Finds places for cells, one after the other, in what room is left.
class cell_binder
{
public:
  /// aRoom has the room of each site; none for a site that is out.
  cell_binder(std::span<const cell_site> aSites, std::vector<resource_shape> aRoom);

  bool Fits(const cell_demand& aDemand, const cell_place& aPlace) const;
  void Take(const cell_demand& aDemand, const cell_place& aPlace);
  /// Finds a place, ranked by the hashes of demand and site; empty when there is none.
  cell_place Search(const cell_demand& aDemand) const;
  /// As Search, but takes the sites that leave the least room over.
  cell_place SearchTight(const cell_demand& aDemand) const;

private:
  using rank = std::uint64_t (cell_binder::*)(const cell_demand&, std::uint64_t, int) const;
  std::uint64_t RankByHash(const cell_demand& aDemand, std::uint64_t aGroup, int aSurplus) const;
  std::uint64_t RankByFit(const cell_demand& aDemand, std::uint64_t aGroup, int aSurplus) const;
  cell_place SearchBy(const cell_demand& aDemand, rank aRank) const;
  cell_place Fill(const cell_demand& aDemand, std::span<const std::uint32_t> aSites) const;

  std::span<const cell_site> mSites;
  std::vector<resource_shape> mRoom;
  std::vector<std::vector<std::uint32_t>> mRacks;
  std::vector<std::vector<std::uint32_t>> mDomains;
  std::vector<std::uint32_t> mAll;
};

/// Places of all demands with every site in: where the cells stand when nothing is out.
std::vector<cell_place> BindHomes(std::span<const cell_demand> aDemands,
                                  std::span<const cell_site> aSites);

/// Places of all demands with some sites out: cells whose home is whole stay there.
std::vector<cell_place> BindAround(std::span<const cell_demand> aDemands,
                                   std::span<const cell_site> aSites,
                                   std::span<const cell_place> aHomes,
                                   const std::vector<bool>& aOut);

} // namespace briarwind
