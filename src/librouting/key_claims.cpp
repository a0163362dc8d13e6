#include "briarwind/key_claims.h"

#include "briarwind/rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace briarwind {

namespace {

constexpr std::size_t kHoldersPerKey = 3;

} // namespace

key_digest DigestKey(std::string_view aOrganisation, std::string_view aKey)
{
  const std::uint64_t seed = XXH3_64bits(aOrganisation.data(), aOrganisation.size());
  const XXH128_hash_t hash = XXH3_128bits_withSeed(aKey.data(), aKey.size(), seed);
  return { hash.high64, hash.low64 };
}

claim_table::claim_table(instant aStarted, std::size_t aCapacity, duration aRetention)
  : mStarted(aStarted)
  , mCapacity(aCapacity)
  , mRetention(aRetention)
{
}

void claim_table::Expire(instant aNow)
{
  while (!mExpiries.empty() && mExpiries.front().mUntil <= aNow) {
    const expiry& oldest = mExpiries.front();
    const auto found = mClaims.find(oldest.mKey);
    if (found != mClaims.end() && found->second.mOwner == oldest.mOwner &&
        found->second.mUntil <= aNow) {
      mClaims.erase(found);
    }
    mExpiries.pop_front();
  }
}

claim_verdict claim_table::RequestClaim(const key_digest& aKey, claim_owner aOwner, instant aNow)
{
  Expire(aNow);
  const auto found = mClaims.find(aKey);
  if (found != mClaims.end() && found->second.mOwner != aOwner) {
    return claim_verdict::kHeld;
  }
  if (found == mClaims.end()) {
    // Counts withdrawn claims too: their expiries stay queued until their time.
    if (mExpiries.size() >= mCapacity) {
      return claim_verdict::kFull;
    }
    mClaims[aKey] = { aOwner, aNow + mRetention };
    mExpiries.push_back({ aKey, aOwner, aNow + mRetention });
  }
  return aNow < mStarted + mRetention ? claim_verdict::kGrantedYoung : claim_verdict::kGranted;
}

void claim_table::Withdraw(const key_digest& aKey, claim_owner aOwner)
{
  const auto found = mClaims.find(aKey);
  if (found != mClaims.end() && found->second.mOwner == aOwner) {
    mClaims.erase(found);
  }
}

std::vector<std::string> ClaimHolders(const key_digest& aKey,
                                      const std::vector<std::string>& aMembers)
{
  const std::string key = std::to_string(aKey.mHigh) + "." + std::to_string(aKey.mLow);
  std::vector<std::string> order = RendezvousOrder(key, aMembers);
  order.resize(std::min(order.size(), kHoldersPerKey));
  return order;
}

claim_round::claim_round(std::size_t aHolders)
  : mHolders(aHolders)
{
}

void claim_round::OnVerdict(claim_verdict aVerdict)
{
  mGranted += aVerdict == claim_verdict::kGranted ? 1 : 0;
  mGrantedYoung += aVerdict == claim_verdict::kGrantedYoung ? 1 : 0;
  mFull += aVerdict == claim_verdict::kFull ? 1 : 0;
  mHeld = mHeld || aVerdict == claim_verdict::kHeld;
}

void claim_round::OnUnreachable()
{
  ++mUnreachable;
}

claim_decision claim_round::Decide() const
{
  if (mHeld) {
    return claim_decision::kRepeated;
  }
  if (mGranted + mGrantedYoung + mUnreachable + mFull < mHolders) {
    return claim_decision::kPending;
  }
  if (mFull > 0) {
    return claim_decision::kFull;
  }
  const bool all = mUnreachable == 0;
  const bool majority = mGranted >= mHolders / 2 + 1;
  return all || majority ? claim_decision::kGranted : claim_decision::kUndecided;
}

} // namespace briarwind
