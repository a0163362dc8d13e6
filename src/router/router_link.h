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

/// Messages between routers. A router is named by its peer address; this link uses the port after
/// it, since the peer port itself carries the messages about settings.
class router_link
{
public:
  struct handlers
  {
    std::function<void(const router_report&)> mOnReport;
    std::function<claim_verdict(const claim_request&)> mOnClaim;
  };

  router_link(fiber_runtime& aRuntime, const endpoint& aSelf, handlers aHandlers);
  ~router_link();
  router_link(const router_link&) = delete;
  router_link& operator=(const router_link&) = delete;

  /// Sends a report without waiting for anything.
  void Tell(const std::string& aMember, const router_report& aReport);
  /// Suspends until the verdict is there.
  io_result<claim_verdict> Ask(const std::string& aMember, const claim_request& aRequest,
                               instant aDeadline);

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace briarwind
