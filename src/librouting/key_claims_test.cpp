#include "briarwind/key_claims.h"

#include "briarwind/testing.h"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <utility>

using namespace briarwind;

// Guards against running two requests with the same idempotency key. Requests reach the holders of
// the key in any order, and some holders are unreachable or have lost claims in a restart.

namespace {

constexpr instant kStart{ seconds(1000) };
constexpr minutes kRetention{ 15 };
// Past the retention time after the start, so that no earlier claim can be lost.
constexpr instant kLater = kStart + 2 * kRetention;
const key_digest kKey = DigestKey("o", "k");

} // namespace

BW_STORY("a claim table holds each key for one owner")
{
  claim_table table(kStart, 2, kRetention);
  BW_CHECK(table.RequestClaim(kKey, 1, kLater) == claim_verdict::kGranted);

  BW_SECTION("another owner is refused and the same owner is granted again")
  {
    BW_CHECK(table.RequestClaim(kKey, 2, kLater) == claim_verdict::kHeld);
    BW_CHECK(table.RequestClaim(kKey, 1, kLater) == claim_verdict::kGranted);
    BW_CHECK(table.RequestClaim(DigestKey("p", "k"), 2, kLater) == claim_verdict::kGranted);
  }
  BW_SECTION("only the owner can withdraw a claim")
  {
    table.Withdraw(kKey, 2);
    BW_CHECK(table.RequestClaim(kKey, 2, kLater) == claim_verdict::kHeld);
    table.Withdraw(kKey, 1);
    BW_CHECK(table.RequestClaim(kKey, 2, kLater) == claim_verdict::kGranted);
  }
  BW_SECTION("a claim expires after the retention time")
  {
    BW_CHECK(table.RequestClaim(kKey, 2, kLater + kRetention) == claim_verdict::kGranted);
  }
  BW_SECTION("a claim is refused when the table is full")
  {
    table.RequestClaim(DigestKey("o", "l"), 2, kLater);
    BW_CHECK(table.RequestClaim(DigestKey("o", "m"), 3, kLater) == claim_verdict::kFull);
  }
  BW_SECTION("a router that has just started marks its grants")
  {
    claim_table young(kLater, 2, kRetention);
    BW_CHECK(young.RequestClaim(kKey, 1, kLater) == claim_verdict::kGrantedYoung);
  }
}

BW_STORY("a claim with three holders is decided from their verdicts")
{
  claim_round round(3);

  BW_SECTION("a claim is granted when all holders grant it, even recently started ones")
  {
    round.OnVerdict(claim_verdict::kGrantedYoung);
    round.OnVerdict(claim_verdict::kGranted);
    BW_CHECK(round.Decide() == claim_decision::kPending);
    round.OnVerdict(claim_verdict::kGrantedYoung);
    BW_CHECK(round.Decide() == claim_decision::kGranted);
  }
  BW_SECTION("a claim is granted by two holders that cannot have lost a claim")
  {
    round.OnVerdict(claim_verdict::kGranted);
    round.OnVerdict(claim_verdict::kGranted);
    round.OnUnreachable();
    BW_CHECK(round.Decide() == claim_decision::kGranted);
  }
  BW_SECTION("a claim is undecided when one holder is unreachable and one may have lost a claim")
  {
    round.OnVerdict(claim_verdict::kGranted);
    round.OnVerdict(claim_verdict::kGrantedYoung);
    round.OnUnreachable();
    BW_CHECK(round.Decide() == claim_decision::kUndecided);
  }
  BW_SECTION("a claim is a repetition when any holder holds the key for another owner")
  {
    round.OnVerdict(claim_verdict::kHeld);
    BW_CHECK(round.Decide() == claim_decision::kRepeated);
  }
}

BW_STORY("at most one of several requests with the same key is granted")
{
  BW_SECTION("requests in any order with any unreachable holders are granted at most once")
  {
    BW_CHECK(rc::check([] {
      std::vector<claim_table> holders(3, claim_table(kStart, 100, kRetention));
      std::vector<claim_round> rounds(4, claim_round(3));
      std::map<std::pair<std::size_t, std::size_t>, bool> answered;
      const auto order = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 24));
      for (const int each : order) {
        const auto request = static_cast<std::size_t>(each) % 4;
        const auto holder = static_cast<std::size_t>(each) / 4 % 3;
        if (std::exchange(answered[{ request, holder }], true)) {
          continue;
        }
        if (each >= 12) {
          rounds[request].OnUnreachable();
        } else {
          rounds[request].OnVerdict(holders[holder].RequestClaim(kKey, request + 1, kLater));
        }
      }
      const auto granted = std::ranges::count_if(rounds, [](const claim_round& aRound) {
        return aRound.Decide() == claim_decision::kGranted;
      });
      RC_ASSERT(granted <= 1);
    }));
  }
}
