#include "briarwind/key_claims.h"

#include "briarwind/testing.h"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <utility>

using namespace briarwind;

namespace {

constexpr instant kStart{ seconds(1000) };
constexpr minutes kRetention{ 15 };
constexpr instant kLater = kStart + 2 * kRetention;
const key_digest kKey = DigestKey("o", "k");

} // namespace

BW_STORY("the claims that a router holds")
{
  claim_table table(kStart, 2, kRetention);
  BW_CHECK(table.Offer(kKey, 1, kLater) == claim_verdict::kGranted);

  BW_SECTION("are for one owner each")
  {
    BW_CHECK(table.Offer(kKey, 2, kLater) == claim_verdict::kHeld);
    BW_CHECK(table.Offer(kKey, 1, kLater) == claim_verdict::kGranted);
    BW_CHECK(table.Offer(DigestKey("p", "k"), 2, kLater) == claim_verdict::kGranted);
  }
  BW_SECTION("end when their owner withdraws them")
  {
    table.Withdraw(kKey, 2);
    BW_CHECK(table.Offer(kKey, 2, kLater) == claim_verdict::kHeld);
    table.Withdraw(kKey, 1);
    BW_CHECK(table.Offer(kKey, 2, kLater) == claim_verdict::kGranted);
  }
  BW_SECTION("end after the retention")
  {
    BW_CHECK(table.Offer(kKey, 2, kLater + kRetention) == claim_verdict::kGranted);
  }
  BW_SECTION("are bounded")
  {
    table.Offer(DigestKey("o", "l"), 2, kLater);
    BW_CHECK(table.Offer(DigestKey("o", "m"), 3, kLater) == claim_verdict::kFull);
  }
  BW_SECTION("are of less use when the router has just started")
  {
    claim_table young(kLater, 2, kRetention);
    BW_CHECK(young.Offer(kKey, 1, kLater) == claim_verdict::kGrantedYoung);
  }
}

BW_STORY("a claim with three holders")
{
  claim_round round(3);

  BW_SECTION("is granted by all, also young ones")
  {
    round.OnVerdict(claim_verdict::kGrantedYoung);
    round.OnVerdict(claim_verdict::kGranted);
    BW_CHECK(round.Decide() == claim_decision::kOpen);
    round.OnVerdict(claim_verdict::kGrantedYoung);
    BW_CHECK(round.Decide() == claim_decision::kGranted);
  }
  BW_SECTION("is granted by two that have forgotten nothing")
  {
    round.OnVerdict(claim_verdict::kGranted);
    round.OnVerdict(claim_verdict::kGranted);
    round.OnUnreachable();
    BW_CHECK(round.Decide() == claim_decision::kGranted);
  }
  BW_SECTION("is undecided when one is out of reach and one may have forgotten")
  {
    round.OnVerdict(claim_verdict::kGranted);
    round.OnVerdict(claim_verdict::kGrantedYoung);
    round.OnUnreachable();
    BW_CHECK(round.Decide() == claim_decision::kUndecided);
  }
  BW_SECTION("is a repetition when any of them holds it for another")
  {
    round.OnVerdict(claim_verdict::kHeld);
    BW_CHECK(round.Decide() == claim_decision::kRepeated);
  }
}

BW_STORY("requests with the same key")
{
  BW_SECTION("are granted once, whatever holder is out of reach and whoever comes first")
  {
    BW_CHECK(rc::check([] {
      std::vector<claim_table> holders(3, claim_table(kStart, 100, kRetention));
      std::vector<claim_round> rounds(4, claim_round(3));
      std::map<std::pair<std::size_t, std::size_t>, bool> asked;
      const auto order = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 24));
      for (const int each : order) {
        const auto request = static_cast<std::size_t>(each) % 4;
        const auto holder = static_cast<std::size_t>(each) / 4 % 3;
        if (std::exchange(asked[{ request, holder }], true)) {
          continue;
        }
        if (each >= 12) {
          rounds[request].OnUnreachable();
        } else {
          rounds[request].OnVerdict(holders[holder].Offer(kKey, request + 1, kLater));
        }
      }
      const auto granted = std::ranges::count_if(rounds, [](const claim_round& aRound) {
        return aRound.Decide() == claim_decision::kGranted;
      });
      RC_ASSERT(granted <= 1);
    }));
  }
}
