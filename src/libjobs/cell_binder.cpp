#include "libjobs/cell_binder.h"

#include "libjobs/resources.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <ranges>
#include <tuple>

namespace briarwind {

namespace {

std::uint64_t CombineHashes(std::uint64_t aLeft, std::uint64_t aRight)
{
  return XXH3_64bits_withSeed(&aLeft, sizeof aLeft, aRight);
}

/// Weight of all members together in core units, where an accelerator counts as
/// kCoresPerAccelerator cores. Used only to order the demands.
std::int64_t SizeOf(const cell_demand& aDemand)
{
  constexpr std::int64_t kCoresPerAccelerator = 16;
  return aDemand.mMembers *
         (aDemand.mShape.mAccelerators * kCoresPerAccelerator + aDemand.mShape.mCores);
}

} // namespace

std::uint64_t NameHash(std::string_view aName)
{
  return XXH3_64bits(aName.data(), aName.size());
}

std::vector<cell_demand> DemandsOf(const settings_view& aSettings)
{
  std::vector<cell_demand> demands;
  for (const auto& [name, organisation] : aSettings.mOrganisations) {
    for (const guarantee& each : organisation.mGuarantees) {
      for (int copy = 0; copy < each.mCount; ++copy) {
        const std::uint64_t hash = CombineHashes(
          CombineHashes(NameHash(name), NameHash(each.mName)), static_cast<std::uint64_t>(copy));
        demands.push_back(
          { name, each.mName, copy, each.mMembers, each.mShape, each.mAdjacency, hash });
      }
    }
  }
  // Demands with the tightest adjacency and the largest size go first; the later ones have more
  // possible places.
  std::ranges::stable_sort(demands, [](const cell_demand& aLeft, const cell_demand& aRight) {
    return std::tuple(aLeft.mAdjacency, SizeOf(aLeft)) >
           std::tuple(aRight.mAdjacency, SizeOf(aRight));
  });
  return demands;
}

std::vector<cell_site> SitesOf(std::span<const worker_info> aWorkers)
{
  std::map<std::pair<std::string, std::string>, std::uint32_t> racks;
  std::map<std::string, std::uint32_t> domains;
  std::vector<cell_site> sites;
  for (const worker_info& each : aWorkers) {
    const auto rack =
      racks.try_emplace({ each.mDomain, each.mRack }, static_cast<std::uint32_t>(racks.size()));
    const auto domain =
      domains.try_emplace(each.mDomain, static_cast<std::uint32_t>(domains.size()));
    const std::uint64_t domainHash = NameHash(each.mDomain);
    sites.push_back({ each.mCapacity, rack.first->second, domain.first->second,
                      NameHash(each.mName), CombineHashes(domainHash, NameHash(each.mRack)),
                      domainHash });
  }
  return sites;
}

cell_binder::cell_binder(std::span<const cell_site> aSites, std::vector<resource_shape> aRoom)
  : mSites(aSites)
  , mRoom(std::move(aRoom))
  , mAll(aSites.size())
{
  std::iota(mAll.begin(), mAll.end(), 0U);
  for (const std::uint32_t site : mAll) {
    const cell_site& each = mSites[site];
    mRacks.resize(std::max<std::size_t>(mRacks.size(), each.mRack + 1));
    mDomains.resize(std::max<std::size_t>(mDomains.size(), each.mDomain + 1));
    mRacks[each.mRack].push_back(site);
    mDomains[each.mDomain].push_back(site);
  }
}

bool cell_binder::Fits(const cell_demand& aDemand, const cell_place& aPlace) const
{
  return !aPlace.empty() && std::ranges::all_of(aPlace, [&](const cell_share& aShare) {
    return FitsInto(aDemand.mShape * aShare.mMembers, mRoom[aShare.mSite]);
  });
}

void cell_binder::Allocate(const cell_demand& aDemand, const cell_place& aPlace)
{
  for (const cell_share& each : aPlace) {
    mRoom[each.mSite] = mRoom[each.mSite] - aDemand.mShape * each.mMembers;
  }
}

cell_place cell_binder::Search(const cell_demand& aDemand) const
{
  return SearchBy(aDemand, &cell_binder::RankByHash);
}

cell_place cell_binder::SearchBestFit(const cell_demand& aDemand) const
{
  return SearchBy(aDemand, &cell_binder::RankByFit);
}

std::uint64_t cell_binder::RankByHash(const cell_demand& aDemand, std::uint64_t aGroup,
                                      int /*aSurplus*/) const
{
  return CombineHashes(aDemand.mHash, aGroup);
}

std::uint64_t cell_binder::RankByFit(const cell_demand& /*aDemand*/, std::uint64_t /*aGroup*/,
                                     int aSurplus) const
{
  return ~static_cast<std::uint64_t>(aSurplus);
}

cell_place cell_binder::SearchBy(const cell_demand& aDemand, rank aRank) const
{
  std::uint64_t bestRank = 0;
  std::span<const std::uint32_t> best;
  const auto consider = [&](std::span<const std::uint32_t> aSites, std::uint64_t aGroup) {
    std::int64_t slots = 0;
    for (const std::uint32_t site : aSites) {
      slots += SlotsIn(mRoom[site], aDemand.mShape);
    }
    if (slots < aDemand.mMembers) {
      return;
    }
    const auto surplus =
      static_cast<int>(std::min<std::int64_t>(slots, 1 << 30)) - aDemand.mMembers;
    const std::uint64_t ranked = (this->*aRank)(aDemand, aGroup, surplus);
    if (best.empty() || ranked > bestRank) {
      best = aSites;
      bestRank = ranked;
    }
  };
  const auto considerAll = [&](const std::vector<std::vector<std::uint32_t>>& aGroups,
                               std::uint64_t cell_site::* aHash) {
    for (const std::vector<std::uint32_t>& each : aGroups) {
      consider(each, each.empty() ? 0 : mSites[each.front()].*aHash);
    }
  };
  switch (aDemand.mAdjacency) {
    case adjacency::kWorker:
      std::ranges::for_each(
        mAll, [&](const std::uint32_t& aSite) { consider({ &aSite, 1 }, mSites[aSite].mHash); });
      break;
    case adjacency::kRack:
      considerAll(mRacks, &cell_site::mRackHash);
      break;
    case adjacency::kDomain:
      considerAll(mDomains, &cell_site::mDomainHash);
      break;
    case adjacency::kNone:
      // A single domain is preferred, so that the withdrawal of one domain moves the fewest cells.
      considerAll(mDomains, &cell_site::mDomainHash);
      if (best.empty()) {
        consider(mAll, 0);
      }
      break;
  }
  return AssignMembers(aDemand, best);
}

cell_place cell_binder::AssignMembers(const cell_demand& aDemand,
                                      std::span<const std::uint32_t> aSites) const
{
  // Sites with the fewest free slots go first, so that empty workers stay available to demands that
  // need whole workers.
  std::vector<std::pair<int, std::uint32_t>> bySlots;
  for (const std::uint32_t site : aSites) {
    const int slots = SlotsIn(mRoom[site], aDemand.mShape);
    if (slots > 0) {
      bySlots.emplace_back(slots, site);
    }
  }
  std::ranges::sort(bySlots);
  cell_place place;
  int missing = aDemand.mMembers;
  for (const auto& [slots, site] : bySlots) {
    if (missing == 0) {
      break;
    }
    const int taken = std::min(slots, missing);
    place.push_back({ site, taken });
    missing -= taken;
  }
  return missing == 0 ? place : cell_place{};
}

namespace {

using search = cell_place (cell_binder::*)(const cell_demand&) const;

std::vector<resource_shape> RoomOf(std::span<const cell_site> aSites, const std::vector<bool>& aOut)
{
  std::vector<resource_shape> room;
  for (std::size_t i = 0; i < aSites.size(); ++i) {
    room.push_back(aOut[i] ? resource_shape{} : aSites[i].mCapacity);
  }
  return room;
}

std::vector<cell_place> BindFrom(std::span<const cell_demand> aDemands,
                                 std::span<const cell_site> aSites,
                                 std::span<const cell_place> aHomes, const std::vector<bool>& aOut,
                                 search aSearch)
{
  cell_binder binder(aSites, RoomOf(aSites, aOut));
  std::vector<cell_place> places(aDemands.size());
  for (std::size_t i = 0; i < aHomes.size(); ++i) {
    if (binder.Fits(aDemands[i], aHomes[i])) {
      places[i] = aHomes[i];
      binder.Allocate(aDemands[i], places[i]);
    }
  }
  for (std::size_t i = 0; i < aDemands.size(); ++i) {
    if (places[i].empty()) {
      places[i] = (binder.*aSearch)(aDemands[i]);
      binder.Allocate(aDemands[i], places[i]);
    }
  }
  return places;
}

bool IsWhole(std::span<const cell_place> aPlaces)
{
  return std::ranges::none_of(aPlaces, &cell_place::empty);
}

/// Tries the strategies from the one that moves the fewest cells to the one that packs tightest,
/// and falls back to the first when none places every demand.
std::vector<cell_place> BindBest(std::span<const cell_demand> aDemands,
                                 std::span<const cell_site> aSites,
                                 std::span<const cell_place> aHomes, const std::vector<bool>& aOut)
{
  std::vector<cell_place> first = BindFrom(aDemands, aSites, aHomes, aOut, &cell_binder::Search);
  if (IsWhole(first)) {
    return first;
  }
  std::vector<cell_place> tight =
    BindFrom(aDemands, aSites, aHomes, aOut, &cell_binder::SearchBestFit);
  if (IsWhole(tight) || aHomes.empty()) {
    return IsWhole(tight) ? tight : first;
  }
  std::vector<cell_place> repacked =
    BindFrom(aDemands, aSites, {}, aOut, &cell_binder::SearchBestFit);
  return IsWhole(repacked) ? repacked : first;
}

} // namespace

std::vector<cell_place> BindHomes(std::span<const cell_demand> aDemands,
                                  std::span<const cell_site> aSites)
{
  return BindBest(aDemands, aSites, {}, std::vector<bool>(aSites.size(), false));
}

std::vector<cell_place> BindAround(std::span<const cell_demand> aDemands,
                                   std::span<const cell_site> aSites,
                                   std::span<const cell_place> aHomes,
                                   const std::vector<bool>& aOut)
{
  return BindBest(aDemands, aSites, aHomes, aOut);
}

} // namespace briarwind
