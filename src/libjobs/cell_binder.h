#pragma once

#include "briarwind/cluster.h"
#include "briarwind/settings_model.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace briarwind {

/// One guaranteed gang that is to be bound to workers.
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

/// A worker as input of the binder; racks and domains are numbered from 0.
struct cell_site
{
  resource_shape mCapacity;
  std::uint32_t mRack = 0;
  std::uint32_t mDomain = 0;
  std::uint64_t mHash = 0;       ///< hash of the worker name
  std::uint64_t mRackHash = 0;   ///< hash of domain and rack name
  std::uint64_t mDomainHash = 0; ///< hash of the domain name
};

/// Number of members of a cell placed on one site.
struct cell_share
{
  std::uint32_t mSite = 0;
  int mMembers = 0;

  bool operator==(const cell_share&) const = default;
};

/// Sites of one cell; empty when the cell has no place.
using cell_place = std::vector<cell_share>;

/// All gangs that the settings guarantee, in the order in which they are to be bound.
std::vector<cell_demand> DemandsOf(const settings_view& aSettings);

/// Hash of a name. Every process computes the same value.
std::uint64_t NameHash(std::string_view aName);

/// One site for each worker, in the same order. aWorkers must be sorted by name, so that racks and
/// domains get the same numbers in every process.
std::vector<cell_site> SitesOf(std::span<const worker_info> aWorkers);

/// Finds places for cells one after another in the remaining room.
class cell_binder
{
public:
  /// aRoom holds the room of each site, zero for a site that is out of service.
  cell_binder(std::span<const cell_site> aSites, std::vector<resource_shape> aRoom);

  bool Fits(const cell_demand& aDemand, const cell_place& aPlace) const;
  void Allocate(const cell_demand& aDemand, const cell_place& aPlace);
  /// Finds a place by rendezvous hashing of the demand and the worker, rack or domain; empty when
  /// there is none.
  cell_place Search(const cell_demand& aDemand) const;
  /// As Search, but chooses the group of sites that leaves the least room unused.
  cell_place SearchBestFit(const cell_demand& aDemand) const;

private:
  using rank = std::uint64_t (cell_binder::*)(const cell_demand&, std::uint64_t, int) const;
  std::uint64_t RankByHash(const cell_demand& aDemand, std::uint64_t aGroup, int aSurplus) const;
  std::uint64_t RankByFit(const cell_demand& aDemand, std::uint64_t aGroup, int aSurplus) const;
  cell_place SearchBy(const cell_demand& aDemand, rank aRank) const;
  cell_place AssignMembers(const cell_demand& aDemand, std::span<const std::uint32_t> aSites) const;

  std::span<const cell_site> mSites;
  std::vector<resource_shape> mRoom;
  std::vector<std::vector<std::uint32_t>> mRacks;
  std::vector<std::vector<std::uint32_t>> mDomains;
  std::vector<std::uint32_t> mAll;
};

/// Places of all demands with every site in service (the home places).
std::vector<cell_place> BindHomes(std::span<const cell_demand> aDemands,
                                  std::span<const cell_site> aSites);

/// Places of all demands with some sites out of service. Cells whose home sites are all in service
/// stay there, unless only a new binding gives every demand a place.
std::vector<cell_place> BindAround(std::span<const cell_demand> aDemands,
                                   std::span<const cell_site> aSites,
                                   std::span<const cell_place> aHomes,
                                   const std::vector<bool>& aOut);

} // namespace briarwind
