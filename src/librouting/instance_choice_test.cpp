#include "briarwind/instance_choice.h"
#include "briarwind/testing.h"

#include <array>

using namespace briarwind;

namespace {

constexpr milliseconds kFleet{ 10 };

instance_record Sampled(const char* aName, milliseconds aTook, instant aNow)
{
  instance_record record(aName);
  record.mSlots = 1;
  record.OnStart();
  record.OnRelease();
  record.OnEnd(attempt_health::kGood, aTook, aNow);
  return record;
}

} // namespace

BW_STORY("two instances with nothing in flight, one a little slower at its last request")
{
  const instant now{};
  const instance_record fast = Sampled("fast", milliseconds(9), now);
  const instance_record slow = Sampled("slow", milliseconds(11), now);
  const std::array<const instance_record*, 2> candidates{ &fast, &slow };
  const auto strategy = MakeTwoChoice();
  choice_random random(1);
  BW_SECTION("the faster one is chosen at first")
  {
    BW_EQUAL(std::size_t{ 0 }, strategy->Choose(candidates, { now, kFleet, "" }, random));
  }
  BW_SECTION("the slower one is tried again once it was unused for long")
  {
    const instant later = now + seconds(30);
    instance_record used = fast;
    used.OnEnd(attempt_health::kGood, milliseconds(9), later);
    const std::array<const instance_record*, 2> both{ &used, &slow };
    BW_EQUAL(std::size_t{ 1 }, strategy->Choose(both, { later, kFleet, "" }, random));
  }
}

BW_STORY("an instance that was never tried, beside one that is faster than the mean of the fleet")
{
  const instant now{};
  const instance_record fast = Sampled("fast", milliseconds(9), now);
  instance_record fresh("fresh");
  fresh.mSlots = 1;
  const std::array<const instance_record*, 2> candidates{ &fast, &fresh };
  const auto strategy = MakeTwoChoice();
  choice_random random(1);
  BW_SECTION("gets the next request of callers that come one by one")
  {
    BW_EQUAL(std::size_t{ 1 }, strategy->Choose(candidates, { now, kFleet, "" }, random));
  }
  BW_SECTION("gets no second one before the first is over")
  {
    fresh.OnStart();
    BW_EQUAL(std::size_t{ 0 }, strategy->Choose(candidates, { now, kFleet, "" }, random));
  }
  BW_SECTION("gets no further ones when its first attempt failed")
  {
    fresh.OnStart();
    fresh.OnRelease();
    fresh.OnEnd(attempt_health::kBad, milliseconds(1), now);
    BW_EQUAL(std::size_t{ 0 }, strategy->Choose(candidates, { now, kFleet, "" }, random));
  }
}
