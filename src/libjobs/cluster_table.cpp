#include "libjobs/cluster_table.h"

#include "libjobs/resources.h"

#include <algorithm>
#include <ranges>
#include <unordered_set>

namespace briarwind {

std::vector<worker_info> WorkersOf(const host_list& aList)
{
  std::map<std::string, worker_info> byName;
  for (const host& each : aList.mHosts) {
    if (each.mKind == host_kind::kWorker) {
      byName[each.mName] = { each.mName,   each.mDomain,   each.mRack,
                             each.mRegion, each.mCapacity, each.mLeaving };
    }
  }
  std::vector<worker_info> workers;
  std::ranges::copy(byName | std::views::values, std::back_inserter(workers));
  return workers;
}

std::vector<worker_index> cluster_table::ReplaceWorkers(const std::vector<worker_info>& aWorkers)
{
  std::vector<worker_index> out;
  std::vector<bool> seen(mWorkers.size(), false);
  for (const worker_info& each : aWorkers) {
    const worker_index known = Find(each.mName);
    if (known == kNoWorker) {
      AddWorker(each);
      continue;
    }
    if (known < seen.size()) {
      seen[known] = true;
    }
    worker_slot& slot = mWorkers[known];
    if (each.mLeaving && !slot.mInfo.mLeaving) {
      out.push_back(known);
    }
    if (slot.mInfo.mDomain != each.mDomain || slot.mInfo.mRack != each.mRack) {
      Relocate(known, each);
    }
    slot.mInfo = each;
    slot.mListed = true;
  }
  for (worker_index i = 0; i < seen.size(); ++i) {
    worker_slot& slot = mWorkers[i];
    if (!seen[i] && slot.mListed) {
      slot.mListed = false;
      out.push_back(i);
    }
  }
  RecountLiveWorkers();
  return out;
}

worker_index cluster_table::AddWorker(const worker_info& aInfo)
{
  // Slots of removed workers without allocations are reused, so that the table does not grow in a
  // cluster whose hosts are replaced all the time.
  const auto reusable = std::ranges::find_if(mWorkers, [](const worker_slot& aSlot) {
    return !aSlot.mListed && aSlot.mOccupants.empty() && aSlot.mDrainHeld == resource_shape{};
  });
  worker_index index = 0;
  if (reusable != mWorkers.end()) {
    index = static_cast<worker_index>(reusable - mWorkers.begin());
    mByName.erase(reusable->mInfo.mName);
    Relocate(index, aInfo);
    const rack_index rack = reusable->mRack;
    const domain_index domain = reusable->mDomain;
    const int counted = reusable->mFreeContribution;
    *reusable = {};
    reusable->mRack = rack;
    reusable->mDomain = domain;
    reusable->mFreeContribution = counted;
  } else {
    index = static_cast<worker_index>(mWorkers.size());
    worker_slot& slot = mWorkers.emplace_back();
    slot.mRack = RackOf(aInfo);
    slot.mDomain = mRacks[slot.mRack].mDomain;
    mRacks[slot.mRack].mWorkers.push_back(index);
  }
  mWorkers[index].mInfo = aInfo;
  mWorkers[index].mListed = true;
  mByName[aInfo.mName] = index;
  return index;
}

void cluster_table::Relocate(worker_index aWorker, const worker_info& aInfo)
{
  worker_slot& slot = mWorkers[aWorker];
  rack_slot& before = mRacks[slot.mRack];
  before.mFreeAccelerators -= slot.mFreeContribution;
  mDomains[slot.mDomain].mFreeAccelerators -= slot.mFreeContribution;
  mFreeAccelerators -= slot.mFreeContribution;
  slot.mFreeContribution = 0;
  std::erase(before.mWorkers, aWorker);
  slot.mRack = RackOf(aInfo);
  slot.mDomain = mRacks[slot.mRack].mDomain;
  mRacks[slot.mRack].mWorkers.push_back(aWorker);
}

rack_index cluster_table::RackOf(const worker_info& aInfo)
{
  const auto [found, added] =
    mRackByName.try_emplace({ aInfo.mDomain, aInfo.mRack }, static_cast<rack_index>(mRacks.size()));
  if (added) {
    const domain_index domain = DomainOf(aInfo.mDomain);
    rack_slot& rack = mRacks.emplace_back();
    rack.mName = aInfo.mRack;
    rack.mDomain = domain;
    mDomains[domain].mRacks.push_back(found->second);
  }
  return found->second;
}

domain_index cluster_table::DomainOf(const std::string& aName)
{
  const auto [found, added] =
    mDomainByName.try_emplace(aName, static_cast<domain_index>(mDomains.size()));
  if (added) {
    mDomains.emplace_back().mName = aName;
  }
  return found->second;
}

std::vector<worker_index> cluster_table::SetDomains(
  const std::map<std::string, domain_settings>& aDomains)
{
  std::vector<worker_index> out;
  for (const auto& [name, settings] : aDomains) {
    DomainOf(name);
  }
  for (domain_slot& each : mDomains) {
    const auto found = aDomains.find(each.mName);
    const bool withdrawn = found != aDomains.end() && found->second.mWithdrawn;
    if (withdrawn && !each.mWithdrawn) {
      for (const rack_index rack : each.mRacks) {
        std::ranges::copy(mRacks[rack].mWorkers, std::back_inserter(out));
      }
    }
    each.mWithdrawn = withdrawn;
  }
  RecountLiveWorkers();
  return out;
}

void cluster_table::SetLost(worker_index aWorker, bool aLost)
{
  mWorkers[aWorker].mLost = aLost;
  RecountLiveWorkers();
}

void cluster_table::SetQuarantined(worker_index aWorker, bool aQuarantined)
{
  mWorkers[aWorker].mHealth.mQuarantined = aQuarantined;
  RecountLiveWorkers();
}

worker_index cluster_table::Find(std::string_view aName) const
{
  const auto found = mByName.find(std::string(aName));
  return found != mByName.end() ? found->second : kNoWorker;
}

resource_shape cluster_table::Room(const worker_slot& aWorker, room_kind aKind) const
{
  const resource_shape& whole = aWorker.mInfo.mCapacity;
  const auto& by = aWorker.mUsedByClass;
  const resource_shape fixed =
    by[static_cast<int>(eviction_class::kPinned)] + by[static_cast<int>(eviction_class::kClaim)];
  switch (aKind) {
    case room_kind::kFree:
      return whole - aWorker.mUsed - aWorker.mDrainHeld;
    case room_kind::kFreeWithDrainHeld:
      return whole - aWorker.mUsed;
    case room_kind::kFreeOutsideCells:
      return MinOf(whole - aWorker.mUsed - aWorker.mDrainHeld,
                   whole - by[static_cast<int>(eviction_class::kPinned)] - aWorker.mCellsWorstCase);
    case room_kind::kEvictable:
      return whole - fixed - by[static_cast<int>(eviction_class::kUrgent)];
    case room_kind::kEvictableOutsideCells:
      return MinOf(whole - fixed - by[static_cast<int>(eviction_class::kUrgent)],
                   whole - by[static_cast<int>(eviction_class::kPinned)] - aWorker.mCellsWorstCase);
    case room_kind::kClaimable:
      return whole - fixed;
    case room_kind::kLiveCapacity:
    case room_kind::kListedCapacity:
      return whole;
  }
  return {};
}

void cluster_table::Allocate(worker_index aWorker, const resource_shape& aShape,
                             eviction_class aEvictionClass, occupant aWho)
{
  worker_slot& slot = mWorkers[aWorker];
  slot.mUsed = slot.mUsed + aShape;
  resource_shape& part = slot.mUsedByClass[static_cast<int>(aEvictionClass)];
  part = part + aShape;
  slot.mOccupants.push_back(aWho);
  UpdateFreeCount(aWorker);
}

void cluster_table::Release(worker_index aWorker, const resource_shape& aShape,
                            eviction_class aEvictionClass, occupant aWho)
{
  worker_slot& slot = mWorkers[aWorker];
  slot.mUsed = slot.mUsed - aShape;
  resource_shape& part = slot.mUsedByClass[static_cast<int>(aEvictionClass)];
  part = part - aShape;
  const auto found = std::ranges::find(slot.mOccupants, aWho);
  if (found != slot.mOccupants.end()) {
    *found = slot.mOccupants.back();
    slot.mOccupants.pop_back();
  }
  UpdateFreeCount(aWorker);
}

void cluster_table::Reclassify(worker_index aWorker, const resource_shape& aShape,
                               eviction_class aFrom, eviction_class aTo)
{
  auto& by = mWorkers[aWorker].mUsedByClass;
  by[static_cast<int>(aFrom)] = by[static_cast<int>(aFrom)] - aShape;
  by[static_cast<int>(aTo)] = by[static_cast<int>(aTo)] + aShape;
}

void cluster_table::HoldForDrain(worker_index aWorker, const resource_shape& aShape)
{
  mWorkers[aWorker].mDrainHeld = mWorkers[aWorker].mDrainHeld + aShape;
}

void cluster_table::ReleaseDrainHold(worker_index aWorker, const resource_shape& aShape)
{
  mWorkers[aWorker].mDrainHeld = mWorkers[aWorker].mDrainHeld - aShape;
}

void cluster_table::UpdateFreeCount(worker_index aWorker)
{
  worker_slot& slot = mWorkers[aWorker];
  const int free = AcceptsStarts(slot)
                     ? std::max(0, slot.mInfo.mCapacity.mAccelerators - slot.mUsed.mAccelerators)
                     : 0;
  const int change = free - slot.mFreeContribution;
  if (change == 0) {
    return;
  }
  slot.mFreeContribution = free;
  mRacks[slot.mRack].mFreeAccelerators += change;
  mDomains[slot.mDomain].mFreeAccelerators += change;
  mFreeAccelerators += change;
}

void cluster_table::RecountLiveWorkers()
{
  ++mVersion;
  mLiveCapacity = {};
  mLiveWorkers = 0;
  mListedWorkers = 0;
  mQuarantined = 0;
  for (worker_index i = 0; i < mWorkers.size(); ++i) {
    const worker_slot& slot = mWorkers[i];
    UpdateFreeCount(i);
    mListedWorkers += slot.mListed ? 1 : 0;
    mQuarantined += slot.mListed && slot.mHealth.mQuarantined ? 1 : 0;
    if (IsLive(slot)) {
      ++mLiveWorkers;
      mLiveCapacity = mLiveCapacity + slot.mInfo.mCapacity;
    }
  }
}

} // namespace briarwind
