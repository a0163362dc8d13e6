#include "worker_presence.h"

#include "briarwind/testing.h"

using namespace briarwind;

// Guards against taking a lost poll for an absence, against missing a worker that goes down and up
// too fast for its leases to expire, and against holding its absences against it for good.
BW_STORY("absences of a worker are remembered")
{
  const instant start = instant() + std::chrono::hours(1);
  worker_presence presence;
  const auto at = [&](int aMs) { return start + milliseconds(aMs); };

  BW_SECTION("a single poll without an answer is no absence")
  {
    presence.OnAway("w", at(0));
    presence.OnPresent("w", at(200));
    BW_CHECK(!presence.HasJustReturned("w", at(200)));
    presence.Update(at(200));
    BW_EQUAL(std::size_t{ 0 }, presence.Workers());
  }
  BW_SECTION("a worker has just returned for 5 s")
  {
    presence.OnAway("w", at(0));
    BW_CHECK(!presence.HasJustReturned("w", at(900)));
    presence.OnPresent("w", at(1'000));
    BW_CHECK(presence.HasJustReturned("w", at(6'000)));
    BW_CHECK(!presence.HasJustReturned("w", at(6'001)));
    BW_CHECK(!presence.IsFlapping("w", at(1'000)));
  }
  BW_SECTION("a second absence within 10 s is flapping, reported once, and forgotten")
  {
    presence.OnAway("w", at(0));
    presence.OnPresent("w", at(1'400));
    presence.OnAway("w", at(2'800));
    presence.OnPresent("w", at(4'200));
    BW_EQUAL(std::size_t{ 1 }, presence.Update(at(4'200)).size());
    BW_CHECK(presence.Update(at(4'300)).empty());
    BW_CHECK(presence.IsFlapping("w", at(10'000)));
    BW_CHECK(!presence.IsFlapping("w", at(10'001)));
    presence.Update(at(13'000));
    BW_EQUAL(std::size_t{ 0 }, presence.Workers());
  }
  BW_SECTION("a restart counts once, however short it was")
  {
    presence.OnRestarted("w", at(0));
    BW_CHECK(presence.HasJustReturned("w", at(100)));
    presence.OnAway("w", at(1'000));
    presence.OnRestarted("w", at(1'100));
    BW_CHECK(presence.IsFlapping("w", at(1'100)));
  }
  BW_SECTION("a worker that stays away is forgotten after a minute")
  {
    presence.OnAway("w", at(0));
    presence.Update(at(60'001));
    BW_EQUAL(std::size_t{ 0 }, presence.Workers());
  }
}
