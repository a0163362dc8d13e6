#pragma once

#include "key_claimer.h"
#include "router_link.h"
#include "router_options.h"

#include "briarwind/member.h"
#include "briarwind/routing_core.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace briarwind {

/// The page that tells another router, in plain digits, where the link listens.
inline constexpr const char* kLinkPage = "/v1/link";

/// This router among the others: the members that share the instances, what the routers tell each
/// other, and the claims of idempotency keys.
class router_group
{
public:
  /// @param aSelf where the other routers reach this one; port 0: there are no others
  router_group(fiber_runtime& aRuntime, const router_options& aOptions, const endpoint& aSelf,
               routing_core& aCore);

  /// The store, read a moment ago, lists these members.
  void OnMembers(const std::vector<member>& aMembers, instant aNow);
  /// Tells the others how things stand and checks that the members are still confirmed. To be
  /// called a few times a second.
  void Step(instant aNow);
  /// Whether this router may use its share of the instances.
  bool IsReady() const;

  /// Port of the link to the other routers; 0 when there is none. Served at kLinkPage.
  std::uint16_t LinkPort() const;

  claim_owner NewOwner();
  key_claimer& Claims() { return mClaimer; }

private:
  endpoint FindLink(const std::string& aMember);
  void OnReport(const router_report& aReport);
  claim_verdict OnClaim(const claim_request& aRequest);
  void UseListedPeers(instant aNow);
  void CheckConfirmed(instant aNow);
  duration TellInterval() const;
  bool HasNews(const share_report& aReport) const;
  void TellAll(instant aNow);

  fiber_runtime& mRuntime;
  routing_core& mCore;
  std::string mSelf;
  std::vector<std::string> mListedPeers; ///< by the flag, this router included
  duration mRelease;
  bool mHasStore;
  claim_table mTable;
  std::optional<router_link> mLink;
  std::map<std::string, endpoint> mHttp; ///< where the other routers serve HTTP
  key_claimer mClaimer;
  std::mt19937_64 mRandom;
  instant mStarted;
  std::optional<instant> mConfirmed; ///< when the members were last listed or agreed on
  std::int64_t mViews = 0;
  share_report mTold;
  std::vector<std::string> mToldLeaving;
  instant mTellAt;
};

} // namespace briarwind
