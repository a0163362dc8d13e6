#include "briarwind/instance_choice.h"
#include "briarwind/testing.h"

#include <array>

// Guards against a two-choice strategy that never chooses an instance again, because its last
// latency was above the mean of the service, or that never tries an instance without samples.

using namespace briarwind;

namespace {

constexpr milliseconds kServiceLatency{ 10 };

/// An idle instance with one slot and one success that took aTook.
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

BW_STORY("the latency estimate of an idle instance that was slightly slower expires")
{
  const instant now{};
  const instance_record fast = Sampled("fast", milliseconds(9), now);
  const instance_record slow = Sampled("slow", milliseconds(11), now);
  const std::array<const instance_record*, 2> candidates{ &fast, &slow };
  const auto strategy = MakeTwoChoice();
  choice_random random(1);
  BW_SECTION("the faster instance is chosen at first")
  {
    BW_EQUAL(std::size_t{ 0 }, strategy->Choose(candidates, { now, kServiceLatency, "" }, random));
  }
  BW_SECTION("the slower instance is tried again after 30 s without use")
  {
    const instant later = now + seconds(30);
    instance_record used = fast;
    used.OnEnd(attempt_health::kGood, milliseconds(9), later);
    const std::array<const instance_record*, 2> both{ &used, &slow };
    BW_EQUAL(std::size_t{ 1 }, strategy->Choose(both, { later, kServiceLatency, "" }, random));
  }
}

BW_STORY("an untried instance is probed although another one is faster than the mean")
{
  const instant now{};
  const instance_record fast = Sampled("fast", milliseconds(9), now);
  instance_record fresh("fresh");
  fresh.mSlots = 1;
  const std::array<const instance_record*, 2> candidates{ &fast, &fresh };
  const auto strategy = MakeTwoChoice();
  choice_random random(1);
  BW_SECTION("the untried instance gets the next request when none is in flight")
  {
    BW_EQUAL(std::size_t{ 1 }, strategy->Choose(candidates, { now, kServiceLatency, "" }, random));
  }
  BW_SECTION("the untried instance gets no second request while the first is in flight")
  {
    fresh.OnStart();
    BW_EQUAL(std::size_t{ 0 }, strategy->Choose(candidates, { now, kServiceLatency, "" }, random));
  }
  BW_SECTION("an instance whose first attempt failed is not chosen over a healthy one")
  {
    fresh.OnStart();
    fresh.OnRelease();
    fresh.OnEnd(attempt_health::kBad, milliseconds(1), now);
    BW_EQUAL(std::size_t{ 0 }, strategy->Choose(candidates, { now, kServiceLatency, "" }, random));
  }
}
