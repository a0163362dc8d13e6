#pragma once

#include "leader_quorum.h"
#include "scheduler_engine.h"
#include "scheduler_options.h"

#include "briarwind/config_store.h"
#include "briarwind/endpoint.h"
#include "briarwind/job_core.h"

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace briarwind {

/// Elects the scheduler that manages the job queue, by a key under a lease in the store. The epoch
/// is the store revision at which the key was created, so it rises with each election and serves as
/// a fencing epoch: a worker that has received a successor's epoch refuses calls of an older
/// leader. A leader that cannot reach the store keeps leading while a majority of the members
/// confirms its epoch.
class queue_leader
{
public:
  using job_list_observer = std::function<void(std::vector<job_spec>)>;

  /// @param aSelf address at which this scheduler serves HTTP; followers forward calls to it
  /// @param aOnUnrecorded called after a step-down with the jobs that have not ended and whose
  ///   current state is not in the store; not called when there are none
  queue_leader(config_store& aStore, scheduler_engine& aEngine, const scheduler_options& aOptions,
               endpoint aSelf, leader_quorum& aQuorum, job_list_observer aOnUnrecorded);

  /// Campaigns, leads and follows until Resign. Needs a fiber of its own.
  void Run();
  /// Steps down and revokes the lease of the leader key, so that another scheduler can be elected
  /// without waiting for the lease to lapse. Ends Run.
  void Resign();

  bool IsLeader() const { return mEpoch != 0; }
  /// Whether the store or a majority of the members confirmed this leader within its time to live
  /// before aNow. While that holds, no successor counts a worker lease as lapsed that this leader
  /// renews at aNow.
  bool IsConfirmed(instant aNow) const;
  /// The epoch of this leader; 0 while this scheduler does not lead.
  epoch_number Epoch() const { return mEpoch; }
  /// HTTP address of the leader as last read from the store; nullopt when none is known.
  std::optional<endpoint> Leader() const { return mLeader; }

private:
  void Follow();
  void Campaign();
  void Lead();
  void StepDown(const std::string& aReason);
  void SendHeartbeat();
  void ConfirmByMajority();
  bool MayTakeOver();
  bool WaitForPendingRecords();
  void UpdateLeader(const stored_value& aValue);

  config_store& mStore;
  scheduler_engine& mEngine;
  milliseconds mTimeToLive;
  std::string mName;
  endpoint mSelf;
  leader_quorum& mQuorum;
  job_list_observer mOnUnrecorded;
  instant mLastConfirmed{}; ///< start of the last store heartbeat or majority round that succeeded
  std::mt19937_64 mRandom;
  store_lease mLease = 0;
  epoch_number mEpoch = 0;
  bool mEpochSuperseded = false;  ///< a member or a worker has recorded a later epoch
  bool mStoreUnreachable = false; ///< no store heartbeat has succeeded since kLeaderUnconfirmed
  instant mElectedAt{};
  bool mResigned = false;
  std::optional<endpoint> mLeader;
};

} // namespace briarwind
