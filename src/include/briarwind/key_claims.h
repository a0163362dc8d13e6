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

/// 128-bit hash of an idempotency key and the organisation that uses it.
struct key_digest
{
  std::uint64_t mHigh = 0;
  std::uint64_t mLow = 0;

  auto operator<=>(const key_digest&) const = default;
};

key_digest DigestKey(std::string_view aOrganisation, std::string_view aKey);

/// Identifies the request that claims a key; unique among all routers.
using claim_owner = std::uint64_t;

/// Answer of one router to a claim.
enum class claim_verdict : std::uint8_t
{
  kGranted,      ///< the key is held for this owner from now on
  kGrantedYoung, ///< as kGranted, but the router started within the retention time, so that it may
                 ///< have lost an earlier claim
  kHeld,         ///< another owner has claimed the key
  kFull,         ///< the table is full and the claim is not held
};

/// The claims that one router holds in memory, for its own requests and for those of other routers.
/// A claim expires when the retention time has passed.
class claim_table
{
public:
  /// @param aStarted when this router started; claims from before that time are lost
  /// @param aCapacity how many claims are held at most, withdrawn ones counted until they expire
  claim_table(instant aStarted, std::size_t aCapacity, duration aRetention);

  /// Claims aKey for aOwner. Repeating a claim with the same owner is harmless and does not extend
  /// the claim.
  claim_verdict RequestClaim(const key_digest& aKey, claim_owner aOwner, instant aNow);
  /// Frees the key after the owner's request did not run. Has no effect when aOwner does not hold
  /// it.
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
  std::deque<expiry> mExpiries; ///< in ascending order of mUntil
};

/// Result of a claim over all of its holders.
enum class claim_decision : std::uint8_t
{
  kPending,   ///< more verdicts are needed
  kGranted,   ///< no other request with the same key can be granted
  kRepeated,  ///< another request has used the key
  kUndecided, ///< too few holders answered to exclude an earlier use of the key
  kFull,      ///< the claim table of a holder is full
};

/// The routers that hold the claims of a key: the first three members, or all when there are fewer,
/// in rendezvous order.
std::vector<std::string> ClaimHolders(const key_digest& aKey,
                                      const std::vector<std::string>& aMembers);

/// Collects the verdicts of the holders on one claim. A claim is granted when all holders grant it.
/// When some are unreachable, it is granted by a majority of holders that all answered kGranted and
/// so cannot have lost an earlier claim. Two requests with the same key and the same holders are
/// never both granted.
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
  std::size_t mGrantedYoung = 0;
  std::size_t mUnreachable = 0;
  std::size_t mFull = 0;
  bool mHeld = false;
};

} // namespace briarwind
