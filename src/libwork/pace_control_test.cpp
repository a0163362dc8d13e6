#include "pace_control.h"

#include "briarwind/testing.h"

using namespace briarwind;

namespace {

constexpr milliseconds kReportInterval{ 800 };

struct fixture
{
  pace_control mControl;
  instant mNow = instant() + std::chrono::hours(1);

  /// Applies reports for this time; aLoad gives the load at a pace in percent. Returns the longest
  /// time without interruption in which the target was missed.
  template<class Load>
  milliseconds Run(milliseconds aTime, Load aLoad)
  {
    milliseconds longest{ 0 };
    milliseconds missed{ 0 };
    for (milliseconds passed{ 0 }; passed < aTime; passed += kReportInterval) {
      mNow += kReportInterval;
      const double load = aLoad(mControl.Percent());
      missed = load > 1 ? missed + kReportInterval : milliseconds{ 0 };
      longest = std::max(longest, missed);
      mControl.Apply(load, mNow);
    }
    return longest;
  }
};

} // namespace

// Guards against a serving task that misses its target for 4 s or more because of best-effort
// tasks, and against best-effort tasks that stay slow once there is room. One worker, a report
// every 0.8 s.
BW_STORY("best-effort tasks are slowed for a serving task that misses its target")
{
  fixture test;
  BW_SECTION("whatever pace the serving task bears, its target is missed for less than 4 s")
  {
    for (const int bearable : { 0, 20, 50 }) {
      fixture each;
      const auto load = [&](int aPercent) { return aPercent > bearable ? 1.5 : 0.9; };
      BW_CHECK(each.Run(std::chrono::minutes(5), load) < milliseconds(4'000));
      BW_EQUAL(bearable, each.mControl.Percent());
    }
  }
  BW_SECTION("with slack the pace rises step by step to the full one")
  {
    test.Run(milliseconds(3'200), [](int) { return 2.0; });
    BW_EQUAL(0, test.mControl.Percent());
    test.Run(milliseconds(4'000), [](int) { return 0.5; });
    BW_EQUAL(20, test.mControl.Percent());
    test.Run(milliseconds(12'000), [](int) { return 0.5; });
    BW_EQUAL(100, test.mControl.Percent());
  }
  BW_SECTION("raises that fail are tried ever more seldom")
  {
    int missed = 0;
    test.Run(std::chrono::minutes(10), [&](int aPercent) {
      missed += aPercent > 20 ? 1 : 0;
      return aPercent > 20 ? 1.5 : 0.5;
    });
    BW_CHECK(missed < 20);
  }
  BW_SECTION("below its target nothing is slowed")
  {
    test.Run(std::chrono::minutes(1), [](int) { return 0.99; });
    BW_EQUAL(100, test.mControl.Percent());
  }
}
