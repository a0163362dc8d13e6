#pragma once

#include "store_follower.h"

#include <map>
#include <optional>
#include <string>

namespace briarwind {

/// Leader election on one key of the store, which is attached to the lease of its holder. The
/// modification revision of that key is the fencing epoch: it increases with each leader and needs
/// no separate counter.
class leadership
{
public:
  struct callbacks
  {
    /// This process has become the leader under the given epoch. Runs in the election's fiber and
    /// may suspend it.
    std::function<void(std::int64_t)> mOnGained;
    /// This process is no longer the leader.
    std::function<void()> mOnLost;
    /// The lease had expired, and this process claimed leadership again before any other host led.
    /// The leader's state in memory is still valid, under the given higher epoch.
    std::function<void(std::int64_t)> mOnReclaimed;
  };

  /// @param aAddress address at which this process serves its peers
  /// @param aShare processor share in cores; hosts below 1 wait longer before they claim leadership
  leadership(fiber_runtime& aRuntime, record_store& aStore, metrics& aMetrics, std::string aName,
             std::string aAddress, double aShare, callbacks aCallbacks);

  void Start();
  /// Steps down permanently and revokes the lease, so that another host can lead without waiting
  /// for the lease to expire.
  void Resign();

  bool IsLeader() const { return mEpoch != 0; }
  /// Fencing epoch of the current term; 0 when this process is not the leader.
  std::int64_t Epoch() const { return mEpoch; }
  /// Whether orders may be sent now. False once the last confirmed lease may have expired, because
  /// another host may lead by then.
  bool MayIssueOrders() const;
  /// The last renewal failed and the lease expires soon, but MayIssueOrders is still true.
  bool IsLeaseExpiring() const;
  /// Whether aKey, a value of the leader key, was written by this process's most recent claim.
  bool IsOwnClaim(const stored_value& aKey) const { return aKey.mLease == mClaimLease; }
  /// Time since the store last confirmed the lease.
  milliseconds TimeSinceConfirmed() const;
  /// Condition for transactions; it holds only while the leader key is unchanged since this process
  /// claimed it.
  store_condition Condition() const;
  /// Ends the term. Called when a worker or a transaction of the store shows that another host
  /// leads.
  void StepDown();

  /// Address at which the leader serves its peers; empty when no leader is known.
  std::string LeaderAddress() const;
  /// Addresses at which all known hosts, including this one, serve their peers, by host name.
  const std::map<std::string, std::string>& Peers() const { return mPeers; }

  static constexpr std::string_view kLeaderKey = "briarwind/hosts/leader";
  /// Written together with each claim, but without a lease. It shows a leader whose lease expired
  /// whether another host has led since.
  static constexpr std::string_view kTermKey = "briarwind/hosts/term";
  static constexpr std::string_view kPeerPrefix = "briarwind/hosts/peer/";

private:
  void RunElection();
  void RenewLoop();
  bool RenewOnce();
  bool Reclaim();
  void PublishAddress();
  void OnListed(const store_listing& aListing);
  void Apply(const stored_value& aValue, bool aDeleted);
  enum class claim_outcome : std::uint8_t
  {
    kWon,
    kLost,    ///< another host leads, or has led in between
    kNotMade, ///< the store was not reached; the claim had no effect
    kUnclear, ///< no answer; if the claim took effect, it ends when its lease expires
  };
  claim_outcome Campaign(store_revision aTermRevision);
  void BeginTerm();

  fiber_runtime& mRuntime;
  record_store& mStore;
  std::string mName;
  std::string mAddress;
  std::string mIdentity; ///< unique to this run of the process
  double mShare;
  callbacks mCallbacks;
  store_follower mFollower;
  bool mResigned = false;
  bool mHasListing = false;
  std::int64_t mEpoch = 0;
  int mTermsWon = 0;  ///< terms that this process has won since its start
  int mTermsLost = 0; ///< terms that this process has lost since its start
  store_lease mLease = 0;
  store_lease mClaimLease = 0; ///< lease of the last claim, successful or not
  boot_instant mValidUntil;
  boot_instant mConfirmedAt;
  bool mLeaseExpired = false; ///< the store has ended the lease; leadership must be claimed again
  bool mConfirmed = false;    ///< the last renewal succeeded
  store_revision mTermRevision = 0; ///< of the term key as last seen
  bool mIsTermKeyOwn = false;       ///< the term key was last written by this process
  std::optional<stored_value> mLeader;
  std::map<std::string, std::string> mPeers;
};

} // namespace briarwind
