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

/// What a router tells the others now and then.
struct router_report
{
  std::string mFrom; ///< its name among the members
  share_report mShares;
  std::vector<std::string> mLeaving; ///< targets that it knows to be leaving
};

/// What a router asks the holders of a claim.
struct claim_request
{
  key_digest mKey;
  claim_owner mOwner = 0;
  bool mWithdraw = false;
};

/// Messages between routers. A router is named by its peer address, whose port carries the messages
/// about settings. This link listens at the port after it, or at a later one when that is taken.
class router_link
{
public:
  struct handlers
  {
    std::function<void(const router_report&)> mOnReport;
    std::function<claim_verdict(const claim_request&)> mOnClaim;
  };

  /// Finds where another router's link listens; may suspend.
  using resolve_call = std::function<endpoint(const std::string& aMember)>;

  /// Throws std::system_error when no port can be had.
  router_link(fiber_runtime& aRuntime, const endpoint& aSelf, handlers aHandlers,
              resolve_call aResolve);
  ~router_link();
  router_link(const router_link&) = delete;
  router_link& operator=(const router_link&) = delete;

  endpoint Listening() const;
  /// Sends a report without waiting for anything.
  void Tell(const std::string& aMember, const router_report& aReport);
  /// Suspends until the verdict is there.
  io_result<claim_verdict> Ask(const std::string& aMember, const claim_request& aRequest,
                               instant aDeadline);

private:
  struct state;
  std::shared_ptr<state> mState;
};

/// Where the link of a router listens unless that port was taken.
endpoint UsualLinkAddress(const std::string& aMember);

} // namespace briarwind
