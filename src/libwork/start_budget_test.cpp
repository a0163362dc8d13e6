#include "start_budget.h"

#include "briarwind/testing.h"

using namespace briarwind;

// Guards against a leader whose memory follows the number of ready tasks, and against jobs that
// wait until a wide one has started all its tasks.
BW_STORY("far more tasks are ready than can be started at once")
{
  BW_SECTION("an ordinary load is not bounded")
  {
    const start_budget budget(100, 300, 40);
    BW_EQUAL(128, budget.Allowed(128, false, false));
  }
  BW_SECTION("five wide steps share what may be in flight")
  {
    start_budget budget(24, 160'000, 5);
    for (int i = 0; i < 5; ++i) {
      BW_EQUAL(200, budget.Allowed(32'000, false, false));
      budget.Take(200);
    }
    BW_EQUAL(0, budget.Allowed(32'000, false, false));
    BW_EQUAL(0, budget.Allowed(8, true, false));

    BW_SECTION("beside which urgent tasks and gangs still start")
    {
      BW_EQUAL(300, budget.Allowed(300, false, true));
      BW_EQUAL(128, budget.Allowed(128, true, true));
    }
  }
  BW_SECTION("a unit of ordinary width starts all its tasks before those behind it")
  {
    const start_budget budget(900, 5'000, 200);
    BW_EQUAL(100, budget.Allowed(100, false, false));
    BW_EQUAL(1, budget.Allowed(129, false, false));
  }
  BW_SECTION("a gang starts as a whole or not at all")
  {
    const start_budget budget(1'000, 160'000, 5);
    BW_EQUAL(128, budget.Allowed(128, true, false));
  }
}
