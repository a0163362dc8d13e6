#pragma once

#include "router_link.h"

#include "briarwind/outcome.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace briarwind {

/// Claims idempotency keys for this router's requests, with this and other routers as holders.
class key_claimer
{
public:
  using ask_call =
    std::function<io_result<claim_verdict>(const std::string&, const claim_request&, instant)>;

  /// @param aMembers the routers as they are listed now
  key_claimer(fiber_runtime& aRuntime, std::string aSelf, claim_table& aTable, ask_call aAsk,
              std::function<std::vector<std::string>()> aMembers);

  /// Suspends until all holders have answered or are known to be out of reach.
  /// @return nothing when the request may be sent, else why it must not
  std::optional<reason> Claim(const key_digest& aKey, claim_owner aOwner, instant aDeadline);
  /// The request did not run: frees the key where it was claimed, without waiting.
  void Withdraw(const key_digest& aKey, claim_owner aOwner);

private:
  struct open_round;

  void AskHolder(const std::shared_ptr<open_round>& aRound, const std::string& aHolder,
                 const claim_request& aRequest, instant aDeadline);

  fiber_runtime& mRuntime;
  std::string mSelf;
  claim_table& mTable;
  ask_call mAsk;
  std::function<std::vector<std::string>()> mMembers;
};

} // namespace briarwind
