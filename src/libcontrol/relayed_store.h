#pragma once

#include "store_relay_wire.h"

#include "briarwind/http_client.h"
#include "briarwind/metrics.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace briarwind {

/// Accesses the store directly, or through a peer host while the store serves other hosts but not
/// this one. A peer performs a call with its own direct access and never relays it further.
class relayed_store : public record_store
{
public:
  /// Addresses of the other hosts, in the order in which they should be tried.
  using peer_list = std::function<std::vector<std::string>()>;

  relayed_store(fiber_runtime& aRuntime, record_store& aDirect, metrics& aMetrics,
                peer_list aPeers);

  /// Whether calls go to the store directly, not through a peer.
  bool IsDirect() const { return mPeer.empty(); }
  bool IsReachable() const override;
  /// Sets the view that follows the store through this object. Reads of its prefix by other hosts
  /// are served from it where they allow that, and relayed listings of the prefix transfer only
  /// what the view lacks. aView must outlive this object.
  void SetView(const store_view& aView) { mView = &aView; }
  /// Performs a call relayed by a peer, with direct access to the store. Answers 503 while this
  /// host has no direct access itself.
  http_response Serve(std::string_view aName, std::string_view aBody);

  io_result<std::optional<stored_value>> Get(std::string_view aKey, instant aDeadline) override;
  io_result<store_listing> List(std::string_view aPrefix, instant aDeadline) override;
  io_result<watch_result> Watch(std::string_view aPrefix, store_revision aAfter,
                                milliseconds aWait) override;
  io_result<transaction_result> Commit(const store_transaction& aTransaction,
                                       instant aDeadline) override;
  io_result<granted_lease> Grant(milliseconds aTimeToLive, instant aDeadline) override;
  io_result<milliseconds> Renew(store_lease aLease, instant aDeadline) override;
  io_result<void> Revoke(store_lease aLease, instant aDeadline) override;

private:
  template<class Value, class Direct, class Parse>
  io_result<Value> Route(const Direct& aDirect, const store_relay::relay_call& aCall, Parse aParse,
                         const http_call_limits& aLimits);
  io_result<http_response> CallPeer(const store_relay::relay_call& aCall,
                                    const http_call_limits& aLimits);
  io_result<store_listing> ListWhole(std::string_view aPrefix, instant aDeadline);
  io_result<store_listing> ListByView(instant aDeadline);
  void RecordSeen(std::string_view aPrefix, store_revision aRevision);
  void RecordDirectCall(bool aSucceeded, bool aWasSilent);
  void AbandonPeer(const std::string& aPeer);
  void SelectNextPeer();
  void ProbeLoop();

  fiber_runtime& mRuntime;
  record_store& mDirectStore;
  metrics& mMetrics;
  peer_list mListPeers;
  http_pool mPool;
  const store_view* mView = nullptr;
  /// By prefix: the newest revision of a listing or of a change that an answer has shown.
  std::map<std::string, store_revision, std::less<>> mSeen;
  std::string mPeer; ///< address of the peer that relays calls; empty: direct access
  std::size_t mNextPeerIndex = 0;
  int mDirectFailures = 0;      ///< consecutive failures of direct calls
  int mConsecutiveFailures = 0; ///< consecutive failures of direct and relayed calls
  instant mLastDirect;
};

} // namespace briarwind
