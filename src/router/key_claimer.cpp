#include "key_claimer.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <algorithm>
#include <mutex>
#include <utility>

namespace briarwind {

namespace {

constexpr milliseconds kClaimTimeout{ 500 };

std::optional<reason> RefusalReason(claim_decision aDecision)
{
  switch (aDecision) {
    case claim_decision::kGranted:
      return std::nullopt;
    case claim_decision::kRepeated:
      return reason::kKeyRepeated;
    case claim_decision::kFull:
      return reason::kKeyTableFull;
    case claim_decision::kPending:
    case claim_decision::kUndecided:
      return reason::kKeyUndecided;
  }
  return reason::kKeyUndecided;
}

} // namespace

// The verdicts on one claim, shared by the fiber that waits and the fibers that query the holders.
struct key_claimer::pending_claim
{
  explicit pending_claim(std::size_t aHolders)
    : mRound(aHolders)
  {
  }

  claim_round mRound;
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mChanged;
};

key_claimer::key_claimer(fiber_runtime& aRuntime, std::string aSelf, claim_table& aTable,
                         claim_call aSendClaim,
                         std::function<std::vector<std::string>()> aMemberNames)
  : mRuntime(aRuntime)
  , mSelf(std::move(aSelf))
  , mTable(aTable)
  , mSendClaim(std::move(aSendClaim))
  , mMemberNames(std::move(aMemberNames))
{
}

std::optional<reason> key_claimer::Claim(const key_digest& aKey, claim_owner aOwner,
                                         instant aDeadline)
{
  const std::vector<std::string> holders = ClaimHolders(aKey, mMemberNames());
  if (holders.empty()) {
    return reason::kKeyUndecided;
  }
  const instant deadline = std::min(aDeadline, monotonic_clock::now() + kClaimTimeout);
  const auto pending = std::make_shared<pending_claim>(holders.size());
  for (const std::string& holder : holders) {
    SendToHolder(pending, holder, { aKey, aOwner, false }, deadline);
  }
  std::unique_lock lock(pending->mMutex);
  pending->mChanged.wait_until(
    lock, deadline, [&] { return pending->mRound.Decide() != claim_decision::kPending; });
  const std::optional<reason> refused = RefusalReason(pending->mRound.Decide());
  lock.unlock();
  if (refused == reason::kKeyTableFull) {
    Withdraw(aKey, aOwner);
  }
  return refused;
}

void key_claimer::SendToHolder(const std::shared_ptr<pending_claim>& aPending,
                               const std::string& aHolder, const claim_request& aRequest,
                               instant aDeadline)
{
  if (aHolder == mSelf) {
    aPending->mRound.OnVerdict(
      mTable.RequestClaim(aRequest.mKey, aRequest.mOwner, monotonic_clock::now()));
    return;
  }
  mRuntime.Spawn([this, aPending, aHolder, aRequest, aDeadline] {
    const auto verdict = mSendClaim(aHolder, aRequest, aDeadline);
    if (verdict) {
      aPending->mRound.OnVerdict(verdict.value());
    } else {
      aPending->mRound.OnUnreachable();
    }
    aPending->mChanged.notify_all();
  });
}

void key_claimer::Withdraw(const key_digest& aKey, claim_owner aOwner)
{
  mTable.Withdraw(aKey, aOwner);
  for (const std::string& holder : ClaimHolders(aKey, mMemberNames())) {
    if (holder != mSelf) {
      mRuntime.Spawn([this, holder, aKey, aOwner] {
        // A holder that does not get the withdrawal keeps the claim, and a repetition of the
        // request is then answered with an unknown outcome.
        (void)mSendClaim(holder, { aKey, aOwner, true }, monotonic_clock::now() + kClaimTimeout);
      });
    }
  }
}

} // namespace briarwind
