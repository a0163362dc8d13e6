#include "briarwind/pause_tracker.h"

#include "briarwind/testing.h"

using namespace briarwind;

// Guards against a request that is begun although its deadline passed while the process stood still
// (review/12).
BW_STORY("a process stands still for five seconds")
{
  boot_instant now{ std::chrono::hours(1) };
  pause_tracker pauses(now);
  for (int i = 0; i < 4; ++i) {
    now += milliseconds(520);
    pauses.OnTick(now);
  }
  BW_SECTION("input is read at once before")
  {
    BW_EQUAL(duration(0), pauses.UnreadFor(now + milliseconds(900)));
  }
  now += seconds(5);
  BW_SECTION("what is read first may have waited all the while")
  {
    BW_EQUAL(duration(seconds(5)), pauses.UnreadFor(now));
  }
  BW_SECTION("so may what is read right after the first tick")
  {
    pauses.OnTick(now);
    BW_EQUAL(duration(milliseconds(5'200)), pauses.UnreadFor(now + milliseconds(200)));
    BW_EQUAL(duration(0), pauses.UnreadFor(now + milliseconds(500)));
  }
}
