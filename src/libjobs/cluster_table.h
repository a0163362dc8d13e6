#pragma once

#include "briarwind/cluster.h"
#include "briarwind/settings_model.h"
#include "briarwind/time.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace briarwind {

struct job_entry;

using worker_index = std::uint32_t;
using rack_index = std::uint32_t;
using domain_index = std::uint32_t;
inline constexpr worker_index kNoWorker = ~worker_index{ 0 };

/// Which other jobs may evict a job that holds resources.
enum class eviction_class : std::uint8_t
{
  kBorrowed, ///< evictable for claims, urgent jobs and, where allowed, large gangs
  kUrgent,   ///< evictable for claims only
  kPinned,   ///< never evicted; the job must not be repeated
  kClaim,    ///< never evicted; runs in a guarantee cell of its organisation
};
inline constexpr std::size_t kEvictionClasses = 4;

/// One member of a job that holds resources on a worker.
struct occupant
{
  job_entry* mJob = nullptr;
  int mMember = 0;

  bool operator==(const occupant&) const = default;
};

/// Failure history and quarantine of a worker.
struct worker_health
{
  int mFailuresInRow = 0;  ///< failures since the last success; repeats by one job count once
  std::string mLastFailed; ///< the job that failed last
  bool mQuarantined = false;
  bool mProbing = false;          ///< on probation: takes a single probe task
  instant mProbeAfter;            ///< set while mQuarantined
  seconds mQuarantinePeriod{ 0 }; ///< length of the current quarantine
};

struct worker_slot
{
  worker_info mInfo;
  domain_index mDomain = 0;
  rack_index mRack = 0;
  bool mListed = false;
  bool mLost = false;
  worker_health mHealth;
  int mOrphans = 0; ///< leases of unknown size that may still be held on the worker

  resource_shape mUsed; ///< allocated resources, all classes together
  resource_shape mUsedByClass[kEvictionClasses];
  resource_shape mCells; ///< total of the guarantee cells bound to the worker, claimed or not
  /// maximum of mCells now, as planned, and with any one domain out of service.
  resource_shape mCellsWorstCase;
  resource_shape mDrainHeld; ///< held by draining reservations
  std::vector<occupant> mOccupants;
  int mFreeContribution = 0; ///< contribution to mFreeAccelerators of the rack and the domain
};

struct rack_slot
{
  std::string mName;
  domain_index mDomain = 0;
  std::vector<worker_index> mWorkers;
  int mFreeAccelerators = 0; ///< on workers that accept starts
};

struct domain_slot
{
  std::string mName;
  bool mWithdrawn = false;
  std::vector<rack_index> mRacks;
  int mFreeAccelerators = 0;
};

/// Which resources of a worker count as room for a placement.
enum class room_kind : std::uint8_t
{
  kFree,              ///< not allocated and not held by a draining reservation
  kFreeWithDrainHeld, ///< as kFree, plus what draining reservations hold
  /// As kFree, minus what guarantee cells need, also after the outage of one domain.
  kFreeOutsideCells,
  kEvictable, ///< not allocated, or allocated to jobs that urgent jobs may evict
  /// As kEvictable, minus what guarantee cells need, also after the outage of one domain.
  kEvictableOutsideCells,
  kClaimable,      ///< not allocated, or allocated to jobs that a claim may evict
  kLiveCapacity,   ///< total capacity of workers that accept starts
  kListedCapacity, ///< total capacity of listed workers
};

/// The workers of the cluster and the resources allocated on each. The index of a worker stays the
/// same while the worker is listed or has allocations.
class cluster_table
{
public:
  /// Applies a new list of workers. Returns those that are no longer listed or have begun to leave.
  std::vector<worker_index> ReplaceWorkers(const std::vector<worker_info>& aWorkers);
  /// Applies the withdrawals of the settings. Returns the workers of newly withdrawn domains.
  std::vector<worker_index> SetDomains(const std::map<std::string, domain_settings>& aDomains);
  void SetLost(worker_index aWorker, bool aLost);
  void SetQuarantined(worker_index aWorker, bool aQuarantined);

  worker_index Find(std::string_view aName) const;
  const worker_slot& At(worker_index aWorker) const { return mWorkers[aWorker]; }
  worker_slot& At(worker_index aWorker) { return mWorkers[aWorker]; }
  std::span<const worker_slot> Workers() const { return mWorkers; }
  std::span<const rack_slot> Racks() const { return mRacks; }
  std::span<const domain_slot> Domains() const { return mDomains; }

  /// Listed, not lost, not leaving and not in a withdrawn domain.
  bool IsLive(worker_index aWorker) const { return IsLive(mWorkers[aWorker]); }
  bool IsLive(const worker_slot& aWorker) const
  {
    return aWorker.mListed && !aWorker.mLost && !aWorker.mInfo.mLeaving &&
           !mDomains[aWorker.mDomain].mWithdrawn;
  }
  /// Live, not quarantined and not on probation: guarantee cells may be bound to the worker.
  bool AcceptsCells(const worker_slot& aWorker) const
  {
    return AcceptsStarts(aWorker) && !aWorker.mHealth.mProbing;
  }
  /// Live and not quarantined: tasks may be started on the worker.
  bool AcceptsStarts(const worker_slot& aWorker) const
  {
    return IsLive(aWorker) && !aWorker.mHealth.mQuarantined;
  }

  resource_shape Room(const worker_slot& aWorker, room_kind aKind) const;

  void Allocate(worker_index aWorker, const resource_shape& aShape, eviction_class aEvictionClass,
                occupant aWho);
  void Release(worker_index aWorker, const resource_shape& aShape, eviction_class aEvictionClass,
               occupant aWho);
  /// Moves the resources of one member from one eviction class to another.
  void Reclassify(worker_index aWorker, const resource_shape& aShape, eviction_class aFrom,
                  eviction_class aTo);
  void HoldForDrain(worker_index aWorker, const resource_shape& aShape);
  void ReleaseDrainHold(worker_index aWorker, const resource_shape& aShape);

  int FreeAccelerators() const { return mFreeAccelerators; }
  resource_shape LiveCapacity() const { return mLiveCapacity; }
  int LiveWorkers() const { return mLiveWorkers; }
  int ListedWorkers() const { return mListedWorkers; }
  int QuarantinedWorkers() const { return mQuarantined; }
  /// Increases whenever a worker may have been added, removed or changed its availability.
  std::uint64_t Version() const { return mVersion; }

private:
  worker_index AddWorker(const worker_info& aInfo);
  void Relocate(worker_index aWorker, const worker_info& aInfo);
  rack_index RackOf(const worker_info& aInfo);
  domain_index DomainOf(const std::string& aName);
  void UpdateFreeCount(worker_index aWorker);
  void RecountLiveWorkers();

  std::vector<worker_slot> mWorkers;
  std::vector<rack_slot> mRacks;
  std::vector<domain_slot> mDomains;
  std::unordered_map<std::string, worker_index> mByName;
  std::map<std::pair<std::string, std::string>, rack_index> mRackByName;
  std::map<std::string, domain_index> mDomainByName;
  resource_shape mLiveCapacity;
  int mFreeAccelerators = 0;
  int mLiveWorkers = 0;
  int mListedWorkers = 0;
  int mQuarantined = 0;
  std::uint64_t mVersion = 1;
};

} // namespace briarwind
