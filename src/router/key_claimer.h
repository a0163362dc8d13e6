#pragma once

#include "router_link.h"

#include "briarwind/outcome.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace briarwind {

/// Claims idempotency keys for the requests of this router. The claim of a key is held by a few
/// routers (see ClaimHolders); this router may be one of them.
class key_claimer
{
public:
  /// Sends a claim to another router and suspends until its verdict arrives or the deadline passes.
  using claim_call =
    std::function<io_result<claim_verdict>(const std::string&, const claim_request&, instant)>;

  /// @param aMemberNames returns the names of the current members
  key_claimer(fiber_runtime& aRuntime, std::string aSelf, claim_table& aTable,
              claim_call aSendClaim, std::function<std::vector<std::string>()> aMemberNames);

  /// Suspends until the verdicts decide the claim, or until the deadline or the timeout of claims.
  /// @return nothing when the request may be sent, else the reason for which it must not be sent
  std::optional<reason> Claim(const key_digest& aKey, claim_owner aOwner, instant aDeadline);
  /// Withdraws the claim of a request that did not run, so that its key may be used again. Does not
  /// wait for the other holders.
  void Withdraw(const key_digest& aKey, claim_owner aOwner);

private:
  struct pending_claim;

  void SendToHolder(const std::shared_ptr<pending_claim>& aPending, const std::string& aHolder,
                    const claim_request& aRequest, instant aDeadline);

  fiber_runtime& mRuntime;
  std::string mSelf;
  claim_table& mTable;
  claim_call mSendClaim;
  std::function<std::vector<std::string>()> mMemberNames;
};

} // namespace briarwind
