#pragma once

#include "store_follower.h"

#include <map>
#include <optional>
#include <string>

namespace briarwind {

/// Who leads, agreed by one key of the store that goes with its holder's lease. The revision of
/// that key is the epoch: it rises with each leader and needs no counter of its own.
class leadership
{
public:
  struct callbacks
  {
    /// This process leads now; runs in the caller's fiber and may suspend.
    std::function<void(std::int64_t)> mGained;
    std::function<void()> mLost;
  };

  /// @param aAddress where this process answers its peers
  /// @param aShare processor share: weaker hosts wait longer before they try to lead
  leadership(fiber_runtime& aRuntime, record_store& aStore, metrics& aMetrics, std::string aName,
             std::string aAddress, double aShare, callbacks aCallbacks);

  void Start();
  /// Gives the lead away, so that another host need not wait for the lease to end.
  void Resign();

  bool Leads() const { return mEpoch != 0; }
  std::int64_t Epoch() const { return mEpoch; }
  /// Whether an order may leave now. False while the lease has not been confirmed for long enough
  /// that another host may lead.
  bool MayOrder() const;
  /// For conditions of transactions: true only while the key is as this leader wrote it.
  store_condition Condition() const;
  /// Another host leads; told by the store's answer to a transaction.
  void LoseLead();

  /// Where the leader answers its peers; empty when nobody is known to lead.
  std::string LeaderAddress() const;
  /// Where the other hosts answer their peers, by name.
  const std::map<std::string, std::string>& Peers() const { return mPeers; }

  static constexpr std::string_view kLeaderKey = "briarwind/hosts/leader";
  static constexpr std::string_view kPeerPrefix = "briarwind/hosts/peer/";

private:
  void RunElection();
  void RenewLoop(std::int64_t aEpoch);
  void Announce();
  void Listed(const store_listing& aListing);
  void Apply(const stored_value& aValue, bool aDeleted);
  std::optional<std::int64_t> TryToLead();
  void Begin(std::int64_t aEpoch);

  fiber_runtime& mRuntime;
  record_store& mStore;
  std::string mName;
  std::string mAddress;
  std::string mIdentity; ///< of this life of the process
  double mShare;
  callbacks mCallbacks;
  store_follower mFollower;
  bool mResigned = false;
  bool mViewKnown = false;
  std::int64_t mEpoch = 0;
  store_lease mLease = 0;
  boot_instant mValidUntil;
  std::optional<stored_value> mLeader;
  std::map<std::string, std::string> mPeers;
};

} // namespace briarwind
