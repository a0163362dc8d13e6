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

/// Path of the HTTP page that returns the port of this router's link in decimal digits.
inline constexpr const char* kLinkPath = "/v1/link";

/// This router's part in the group of routers that share the instances: tracks the members,
/// exchanges share reports with them and takes part in claims of idempotency keys.
class router_group
{
public:
  /// @param aSelf peer address of this router; port 0 when there are no other routers
  router_group(fiber_runtime& aRuntime, const router_options& aOptions, const endpoint& aSelf,
               routing_core& aCore);

  /// Takes over the members that a fresh read of the store lists.
  void OnMembers(const std::vector<member>& aMembers, instant aNow);
  /// Checks that the list of members is still confirmed and sends a report to the other routers
  /// when one is due. Must be called several times per second.
  void Step(instant aNow);
  /// Whether this router may use its share of the instances.
  bool IsReady() const;

  /// Port on which this router's link listens; 0 when there is no link.
  std::uint16_t LinkPort() const;

  /// Returns a random number that identifies one request in its claim.
  claim_owner MakeClaimOwner();
  key_claimer& Claimer() { return mClaimer; }

private:
  endpoint ResolveLink(const std::string& aMember);
  void OnReport(const router_report& aReport);
  claim_verdict OnClaim(const claim_request& aRequest);
  void AdoptConfiguredMembers(instant aNow);
  void UpdateConfirmation(instant aNow);
  duration ReportInterval() const;
  bool HasChanged(const share_report& aReport) const;
  void SendReports(instant aNow);

  fiber_runtime& mRuntime;
  routing_core& mCore;
  std::string mSelf;
  std::vector<std::string> mConfiguredMembers; ///< from the flags, this router included
  duration mRelease;                           ///< see share_ledger
  bool mHasStore;
  claim_table mClaimTable;
  std::optional<router_link> mLink;
  std::map<std::string, endpoint> mHttpAddresses; ///< HTTP address of each listed router
  key_claimer mClaimer;
  std::mt19937_64 mRandom;
  instant mStartedAt;
  /// Last confirmation of the members, by the store or by peers.
  std::optional<instant> mConfirmedAt;
  std::int64_t mViewRevision = 0;
  share_report mLastReport;
  std::vector<std::string> mLastLeavingTargets;
  instant mNextReportAt;
};

} // namespace briarwind
