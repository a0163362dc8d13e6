#include "key_claimer.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <algorithm>
#include <mutex>
#include <utility>

namespace briarwind {

namespace {

constexpr milliseconds kAskTimeout{ 500 };

std::optional<reason> ReasonOf(claim_decision aDecision)
{
  switch (aDecision) {
    case claim_decision::kGranted:
      return std::nullopt;
    case claim_decision::kRepeated:
      return reason::kKeyRepeated;
    case claim_decision::kFull:
      return reason::kKeyTableFull;
    case claim_decision::kOpen:
    case claim_decision::kUndecided:
      return reason::kKeyUndecided;
  }
  return reason::kKeyUndecided;
}

} // namespace

struct key_claimer::open_round
{
  explicit open_round(std::size_t aHolders)
    : mRound(aHolders)
  {
  }

  claim_round mRound;
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mChanged;
};

key_claimer::key_claimer(fiber_runtime& aRuntime, std::string aSelf, claim_table& aTable,
                         ask_call aAsk, std::function<std::vector<std::string>()> aMembers)
  : mRuntime(aRuntime)
  , mSelf(std::move(aSelf))
  , mTable(aTable)
  , mAsk(std::move(aAsk))
  , mMembers(std::move(aMembers))
{
}

std::optional<reason> key_claimer::Claim(const key_digest& aKey, claim_owner aOwner,
                                         instant aDeadline)
{
  const std::vector<std::string> holders = ClaimHolders(aKey, mMembers());
  if (holders.empty()) {
    return reason::kKeyUndecided;
  }
  const instant until = std::min(aDeadline, monotonic_clock::now() + kAskTimeout);
  const auto round = std::make_shared<open_round>(holders.size());
  for (const std::string& each : holders) {
    AskHolder(round, each, { aKey, aOwner, false }, until);
  }
  std::unique_lock lock(round->mMutex);
  round->mChanged.wait_until(lock, until,
                             [&] { return round->mRound.Decide() != claim_decision::kOpen; });
  const std::optional<reason> refused = ReasonOf(round->mRound.Decide());
  lock.unlock();
  if (refused == reason::kKeyTableFull) {
    Withdraw(aKey, aOwner);
  }
  return refused;
}

void key_claimer::AskHolder(const std::shared_ptr<open_round>& aRound, const std::string& aHolder,
                            const claim_request& aRequest, instant aDeadline)
{
  if (aHolder == mSelf) {
    aRound->mRound.OnVerdict(mTable.Offer(aRequest.mKey, aRequest.mOwner, monotonic_clock::now()));
    return;
  }
  mRuntime.Spawn([this, aRound, aHolder, aRequest, aDeadline] {
    const auto verdict = mAsk(aHolder, aRequest, aDeadline);
    if (verdict) {
      aRound->mRound.OnVerdict(verdict.value());
    } else {
      aRound->mRound.OnUnreachable();
    }
    aRound->mChanged.notify_all();
  });
}

void key_claimer::Withdraw(const key_digest& aKey, claim_owner aOwner)
{
  mTable.Withdraw(aKey, aOwner);
  for (const std::string& each : ClaimHolders(aKey, mMembers())) {
    if (each != mSelf) {
      mRuntime.Spawn([this, each, aKey, aOwner] {
        // A holder that misses this keeps the key; a repetition is then answered as unknown.
        (void)mAsk(each, { aKey, aOwner, true }, monotonic_clock::now() + kAskTimeout);
      });
    }
  }
}

} // namespace briarwind
