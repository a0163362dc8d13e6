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

/// Elects, by a key under a lease in the store, which scheduler acts for the queue. The epoch is
/// the revision at which the key was made, so it rises with each election. A leader that cannot
/// reach the store goes on: the workers refuse it once a successor has spoken to them.
class queue_leader
{
public:
  using job_list_observer = std::function<void(std::vector<job_spec>)>;

  /// @param aSelf where this scheduler serves HTTP; others forward calls there
  /// @param aOnUnsaved gets the jobs that only this process knew of when it stepped down
  queue_leader(config_store& aStore, scheduler_engine& aEngine, const scheduler_options& aOptions,
               endpoint aSelf, leader_quorum& aQuorum, job_list_observer aOnUnsaved);

  /// Runs until Resign; in a fiber of its own.
  void Run();
  /// Gives the queue up so that another takes over at once.
  void Resign();

  bool IsLeader() const { return mEpoch != 0; }
  /// Whether no successor can count leases of ours as lapsed that are renewed at this instant.
  bool IsConfirmed(instant aNow) const;
  epoch_number Epoch() const { return mEpoch; }
  /// The leader as last seen in the store; nothing while there is none.
  std::optional<endpoint> Leader() const { return mLeader; }

private:
  void Follow();
  void Compete();
  void Lead();
  void StepDown(const std::string& aReason);
  void Heartbeat();
  void AskMembers();
  bool MayTakeOver();
  bool FlushUnsaved();
  void See(const stored_value& aValue);

  config_store& mStore;
  scheduler_engine& mEngine;
  milliseconds mTimeToLive;
  std::string mName;
  endpoint mSelf;
  leader_quorum& mQuorum;
  job_list_observer mOnUnsaved;
  instant mConfirmed{};
  std::mt19937_64 mRandom;
  store_lease mLease = 0;
  epoch_number mEpoch = 0;
  bool mStale = false;
  bool mUnconfirmed = false;
  instant mElected{};
  bool mResigned = false;
  std::optional<endpoint> mLeader;
};

} // namespace briarwind
