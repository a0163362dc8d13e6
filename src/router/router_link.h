#pragma once

#include "briarwind/endpoint.h"
#include "briarwind/error.h"
#include "briarwind/fiber_runtime.h"
#include "briarwind/key_claims.h"
#include "briarwind/share_ledger.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace briarwind {

/// A report that each router sends to the others periodically and after changes.
struct router_report
{
  std::string mFrom; ///< name of the sender in the list of members
  share_report mShares;
  std::vector<std::string> mLeavingTargets; ///< targets that the sender has seen to be leaving
};

/// Requests a holder to grant a claim, or to withdraw it.
struct claim_request
{
  key_digest mKey;
  claim_owner mOwner = 0;
  bool mWithdraw = false; ///< true: the claim is withdrawn
};

/// Carries messages between routers. A router is named by its peer address, whose port carries the
/// messages about settings. The link listens on the next port, or on a later one when that port is
/// taken.
class router_link
{
public:
  /// Called for each message that arrives from another router.
  struct handlers
  {
    std::function<void(const router_report&)> mOnReport;
    std::function<claim_verdict(const claim_request&)> mOnClaim;
  };

  /// Returns the address at which the link of another router listens; may suspend.
  using resolve_call = std::function<endpoint(const std::string& aMember)>;

  /// Throws std::system_error when none of the ports that are tried is free.
  router_link(fiber_runtime& aRuntime, const endpoint& aSelf, handlers aHandlers,
              resolve_call aResolve);
  ~router_link();
  router_link(const router_link&) = delete;
  router_link& operator=(const router_link&) = delete;

  endpoint Listening() const;
  /// Sends a report in the background; a report that is lost is not sent again.
  void SendReport(const std::string& aMember, const router_report& aReport);
  /// Suspends until the verdict arrives or the deadline passes.
  io_result<claim_verdict> SendClaim(const std::string& aMember, const claim_request& aRequest,
                                     instant aDeadline);

private:
  struct state;
  std::shared_ptr<state> mState;
};

/// Returns the address at which the link of a router listens unless that port was taken. The port
/// is 0 when aMember is no valid address.
endpoint DefaultLinkAddress(const std::string& aMember);

} // namespace briarwind
