#pragma once

#include "store_relay_wire.h"

#include "briarwind/http_client.h"
#include "briarwind/metrics.h"

#include <functional>
#include <string>
#include <vector>

namespace briarwind {

/// The store as one host reaches it: directly, or through one peer while the store serves others
/// and not this host. A peer carries a call one hop and never hands it on.
class relayed_store : public record_store
{
public:
  /// Addresses of the other hosts, in the order in which they should be tried.
  using peer_list = std::function<std::vector<std::string>()>;

  relayed_store(fiber_runtime& aRuntime, record_store& aDirect, metrics& aMetrics,
                peer_list aPeers);

  /// Whether this host's own way to the store works, as far as is known.
  bool IsDirect() const { return mPeer.empty(); }
  bool IsReachable() const override;
  /// Answers a peer's call on the direct way.
  http_response Serve(std::string_view aName, std::string_view aBody);

  io_result<std::optional<stored_value>> Get(std::string_view aKey, instant aDeadline) override;
  io_result<store_listing> List(std::string_view aPrefix, instant aDeadline) override;
  io_result<watch_answer> Watch(std::string_view aPrefix, store_revision aAfter,
                                milliseconds aWait) override;
  io_result<transaction_result> Commit(const store_transaction& aTransaction,
                                       instant aDeadline) override;
  io_result<granted_lease> Grant(milliseconds aTimeToLive, instant aDeadline) override;
  io_result<milliseconds> Renew(store_lease aLease, instant aDeadline) override;
  io_result<void> End(store_lease aLease, instant aDeadline) override;

private:
  template<class Value, class Direct, class Read>
  io_result<Value> Route(const Direct& aDirect, const store_relay::call& aCall, Read aRead,
                         instant aDeadline);
  io_result<http_response> AskPeer(const store_relay::call& aCall, instant aDeadline);
  void NoteDirect(bool aWorked, bool aSilent);
  void LeaveRelay(const std::string& aPeer);
  void NextPeer();
  void ProbeLoop();

  fiber_runtime& mRuntime;
  record_store& mDirect;
  metrics& mMetrics;
  peer_list mPeers;
  http_pool mPool;
  std::string mPeer; ///< empty: direct
  std::size_t mNextPeer = 0;
  int mFailures = 0;      ///< of direct calls in a row
  int mFailuresInRow = 0; ///< on whichever way
  instant mLastDirect;
};

} // namespace briarwind
