#include "queue_order.h"

#include "briarwind/testing.h"

#include <fmt/format.h>

#include <chrono>

using namespace briarwind;

// Guards against an organisation that submits all the time and of which no job is within its rate,
// since each job sees too many others in the second before it.
BW_STORY("jobs beyond an organisation's rate")
{
  acceptance_rate rate;
  const wall_time begin{ std::chrono::hours(1) };
  const auto countWithin = [&](int aJobs, milliseconds aInterval, double aPerSecond) {
    for (int i = 0; i < aJobs; ++i) {
      rate.Record("o1", begin + i * aInterval, fmt::format("a{:03}", i));
    }
    int within = 0;
    for (int i = 0; i < aJobs; ++i) {
      within +=
        rate.IsWithin("o1", begin + i * aInterval, fmt::format("a{:03}", i), aPerSecond) ? 1 : 0;
    }
    return within;
  };
  BW_SECTION("of three a second, 10 s of ten a second: the first three and three of each second")
  {
    BW_CHECK(std::abs(countWithin(100, milliseconds(100), 3) - 32) <= 1);
  }
  BW_SECTION("of half a job a second, 10 s of one a second: every second job")
  {
    BW_EQUAL(5, countWithin(10, milliseconds(1'000), 0.5));
  }
  BW_SECTION("are none where the organisation keeps to its rate")
  {
    BW_EQUAL(20, countWithin(20, milliseconds(500), 2));
  }
  BW_SECTION("that were accepted in the same instant are determined by their ids")
  {
    BW_EQUAL(2, countWithin(6, milliseconds(0), 2));
    BW_CHECK(rate.IsWithin("o1", begin, "a001", 2));
    BW_CHECK(!rate.IsWithin("o1", begin, "a002", 2));
  }
}
