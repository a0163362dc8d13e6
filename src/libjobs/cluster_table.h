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

/// What may be done with a job that holds resources.
enum class tenure : std::uint8_t
{
  kBorrowed, ///< evictable for claims and for urgent work
  kUrgent,   ///< evictable for claims only
  kFirm,     ///< not evictable
  kClaim,    ///< runs inside its organisation's guarantee
};
inline constexpr std::size_t kTenures = 4;

/// One member of a job that holds resources on a worker.
struct occupant
{
  job_entry* mJob = nullptr;
  int mMember = 0;

  bool operator==(const occupant&) const = default;
};

/// How far a worker is trusted with starts.
struct worker_health
{
  int mFailuresInRow = 0;  ///< of different jobs, without a success in between
  std::string mLastFailed; ///< the job that failed last
  bool mQuarantined = false;
  bool mProbing = false;    ///< one task runs there to find out
  instant mProbeAfter;      ///< when mQuarantined
  seconds mQuarantine{ 0 }; ///< how long the present one lasts before its probe
};

struct worker_slot
{
  worker_info mInfo;
  domain_index mDomain = 0;
  rack_index mRack = 0;
  bool mListed = false;
  bool mLost = false;
  worker_health mHealth;
  int mOrphans = 0; ///< leases of unknown size that are being stopped here

  resource_shape mUsed; ///< all that is given out, over any tenure
  resource_shape mByTenure[kTenures];
  resource_shape mCells;      ///< guaranteed shapes bound here, claimed or not
  resource_shape mCellsAhead; ///< the most that is bound here with any one domain out
  resource_shape mHeld;       ///< draining reservations
  std::vector<occupant> mOccupants;
  int mFreeCounted = 0; ///< what this worker adds to its rack's free accelerators
};

struct rack_slot
{
  std::string mName;
  domain_index mDomain = 0;
  std::vector<worker_index> mWorkers;
  int mFreeAccelerators = 0; ///< of its live workers
};

struct domain_slot
{
  std::string mName;
  bool mWithdrawn = false;
  std::vector<rack_index> mRacks;
  int mFreeAccelerators = 0;
};

/// Which part of a worker counts as room.
enum class room_kind : std::uint8_t
{
  kFree,          ///< nobody holds it
  kFreeHeld,      ///< as kFree, with what draining reservations hold
  kFreeFirm,      ///< as kFree, and no guaranteed shape will ever need it
  kEvictable,     ///< free, or held by borrowers that urgent work may evict
  kEvictableFirm, ///< as kEvictable, and no guaranteed shape will ever need it
  kClaimable,     ///< free, or held by anybody that a claim may evict
  kWholeLive,     ///< everything, on live workers
  kWholeListed,   ///< everything, on every listed worker
};

/// The workers with what is given out on each. Indices stay the same while a worker is listed or
/// holds anything.
class cluster_table
{
public:
  /// Takes over a new list; returns the workers that are no longer listed or began to leave.
  std::vector<worker_index> Replace(const std::vector<worker_info>& aWorkers);
  /// Returns the workers of the domains that were withdrawn just now.
  std::vector<worker_index> SetDomains(const std::map<std::string, domain_settings>& aDomains);
  void SetLost(worker_index aWorker, bool aLost);
  void SetQuarantined(worker_index aWorker, bool aQuarantined);

  worker_index Find(std::string_view aName) const;
  const worker_slot& At(worker_index aWorker) const { return mWorkers[aWorker]; }
  worker_slot& At(worker_index aWorker) { return mWorkers[aWorker]; }
  std::span<const worker_slot> Workers() const { return mWorkers; }
  std::span<const rack_slot> Racks() const { return mRacks; }
  std::span<const domain_slot> Domains() const { return mDomains; }

  /// Listed, not lost, not leaving, domain not withdrawn.
  bool IsLive(worker_index aWorker) const { return IsLive(mWorkers[aWorker]); }
  bool IsLive(const worker_slot& aWorker) const
  {
    return aWorker.mListed && !aWorker.mLost && !aWorker.mInfo.mLeaving &&
           !mDomains[aWorker.mDomain].mWithdrawn;
  }
  /// Live, trusted and not on probation: guaranteed shapes may stand here.
  bool IsSound(const worker_slot& aWorker) const
  {
    return IsOpen(aWorker) && !aWorker.mHealth.mProbing;
  }
  /// Live and trusted with starts.
  bool IsOpen(const worker_slot& aWorker) const
  {
    return IsLive(aWorker) && !aWorker.mHealth.mQuarantined;
  }

  resource_shape Room(const worker_slot& aWorker, room_kind aKind) const;

  void Take(worker_index aWorker, const resource_shape& aShape, tenure aTenure, occupant aWho);
  void Give(worker_index aWorker, const resource_shape& aShape, tenure aTenure, occupant aWho);
  /// Changes what may be done with what one member holds.
  void Retag(worker_index aWorker, const resource_shape& aShape, tenure aFrom, tenure aTo);
  void Hold(worker_index aWorker, const resource_shape& aShape);
  void Unhold(worker_index aWorker, const resource_shape& aShape);

  int FreeAccelerators() const { return mFreeAccelerators; }
  resource_shape LiveCapacity() const { return mLiveCapacity; }
  int LiveWorkers() const { return mLiveWorkers; }
  int ListedWorkers() const { return mListedWorkers; }
  int Quarantined() const { return mQuarantined; }
  /// Rises whenever a worker comes or goes in any way.
  std::uint64_t Version() const { return mVersion; }

private:
  worker_index AddWorker(const worker_info& aInfo);
  void Relocate(worker_index aWorker, const worker_info& aInfo);
  rack_index RackOf(const worker_info& aInfo);
  domain_index DomainOf(const std::string& aName);
  void CountFree(worker_index aWorker);
  void LivenessChanged();

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
