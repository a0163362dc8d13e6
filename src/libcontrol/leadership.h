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
    /// The lease had lapsed and the lead was claimed again before anybody else led: what this
    /// process knows as the leader still holds, under a higher epoch.
    std::function<void(std::int64_t)> mReclaimed;
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
  /// The lease was not renewed of late and is about to end; MayOrder still holds.
  bool IsAboutToEnd() const;
  /// Whether the leader's key, as the store has it, is from this process's last claim.
  bool IsOwnClaim(const stored_value& aKey) const { return aKey.mLease == mClaimLease; }
  /// Since the store confirmed the lead last.
  milliseconds SinceConfirmed() const;
  /// For conditions of transactions: true only while the key is as this leader wrote it.
  store_condition Condition() const;
  /// Another host leads; told by the store's answer to a transaction.
  void LoseLead();

  /// Where the leader answers its peers; empty when nobody is known to lead.
  std::string LeaderAddress() const;
  /// Where the other hosts answer their peers, by name.
  const std::map<std::string, std::string>& Peers() const { return mPeers; }

  static constexpr std::string_view kLeaderKey = "briarwind/hosts/leader";
  /// Written with each claim and without a lease: tells a leader whose key has lapsed whether
  /// anybody has led since.
  static constexpr std::string_view kTermKey = "briarwind/hosts/term";
  static constexpr std::string_view kPeerPrefix = "briarwind/hosts/peer/";

private:
  void RunElection();
  void RenewLoop();
  bool RenewOnce();
  bool Reclaim();
  void Announce();
  void Listed(const store_listing& aListing);
  void Apply(const stored_value& aValue, bool aDeleted);
  enum class claim_fate : std::uint8_t
  {
    kWon,
    kLost,    ///< another host leads, or has led since
    kNotMade, ///< the store was not reached
    kUnclear, ///< without an answer; it ends with its lease
  };
  claim_fate TryToLead(store_revision aTerm);
  void Begin();

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
  int mLeads = 0;  ///< times that this process has come to lead
  int mLosses = 0; ///< and times that it has ceased to
  store_lease mLease = 0;
  store_lease mClaimLease = 0; ///< of the last claim, won or not
  boot_instant mValidUntil;
  boot_instant mConfirmedAt;
  bool mLapsed = false;     ///< the store has ended the lease; the key has to be claimed again
  bool mConfirmed = false;  ///< by the last renewal
  store_revision mTerm = 0; ///< of the term key as last seen
  bool mTermIsOurs = false; ///< written by this process
  std::optional<stored_value> mLeader;
  std::map<std::string, std::string> mPeers;
};

} // namespace briarwind
