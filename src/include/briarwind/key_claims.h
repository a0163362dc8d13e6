#pragma once

#include "briarwind/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// 128-bit hash that stands for one idempotency key of one organisation.
struct key_digest
{
  std::uint64_t mHigh = 0;
  std::uint64_t mLow = 0;

  auto operator<=>(const key_digest&) const = default;
};

key_digest DigestKey(std::string_view aOrganisation, std::string_view aKey);

/// Number of one request that claims a key, unique among all routers.
using claim_owner = std::uint64_t;

enum class claim_verdict : std::uint8_t
{
  kGranted,      ///< held for this owner from now on
  kGrantedYoung, ///< the same, but the holder may have forgotten an earlier claim
  kHeld,         ///< another owner claimed the key before
  kFull,         ///< no room; nothing is held
};

/// The claims that one router holds, its own and the others'.
class claim_table
{
public:
  /// @param aStarted when this router started: it has forgotten what came before
  claim_table(instant aStarted, std::size_t aCapacity, duration aRetention);

  /// The same owner may offer its claim again.
  claim_verdict Offer(const key_digest& aKey, claim_owner aOwner, instant aNow);
  /// The owner's request did not run: the key may be used again.
  void Withdraw(const key_digest& aKey, claim_owner aOwner);

  std::size_t size() const { return mClaims.size(); }

private:
  struct entry
  {
    claim_owner mOwner;
    instant mUntil;
  };
  struct expiry
  {
    key_digest mKey;
    claim_owner mOwner;
    instant mUntil;
  };

  void Expire(instant aNow);

  instant mStarted;
  std::size_t mCapacity;
  duration mRetention;
  std::map<key_digest, entry> mClaims;
  std::deque<expiry> mExpiries; ///< in order of time
};

enum class claim_decision : std::uint8_t
{
  kOpen,      ///< more verdicts are needed
  kGranted,   ///< no other request with this key can be granted
  kRepeated,  ///< the key was used before
  kUndecided, ///< it cannot be known whether the key was used before
  kFull,
};

/// The routers that hold the claims of a key: the first few in rendezvous order.
std::vector<std::string> ClaimHolders(const key_digest& aKey,
                                      const std::vector<std::string>& aMembers);

/// Counts the verdicts on one claim. It is granted when all holders grant it, or, with some of them
/// out of reach, a majority that can have forgotten nothing. Two requests with one key are never
/// both granted by the same holders.
class claim_round
{
public:
  explicit claim_round(std::size_t aHolders);

  void OnVerdict(claim_verdict aVerdict);
  void OnUnreachable();
  claim_decision Decide() const;

private:
  std::size_t mHolders;
  std::size_t mGranted = 0;
  std::size_t mYoung = 0;
  std::size_t mUnreachable = 0;
  std::size_t mFull = 0;
  bool mHeld = false;
};

} // namespace briarwind
