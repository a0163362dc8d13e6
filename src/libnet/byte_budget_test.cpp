#include "briarwind/byte_budget.h"
#include "briarwind/testing.h"

#include <array>

using namespace briarwind;

namespace {

byte_budget::limits TestLimits()
{
  byte_budget::limits limits;
  limits.mTotal = 1'000;
  limits.mSmallBytes = 10;
  limits.mKeptForSmall = 100;
  return limits;
}

} // namespace

// Guards against memory that grows with the number of clients, and against a budget that a few
// stalled clients keep to themselves.
BW_STORY("holders share a budget of bytes")
{
  const instant start{ seconds{ 100 } };
  byte_budget budget(TestLimits());
  std::array<budget_holder, 3> holders;
  int closed = 0;
  for (budget_holder& each : holders) {
    each.mSince = start;
    each.mLastProgress = start;
    each.mIsClosable = true;
    each.mClose = [&closed] { ++closed; };
    budget.Join(each);
  }

  BW_SECTION("large holders leave the part that is kept for small ones")
  {
    BW_CHECK(budget.Admit(holders[0], 900, start));
    BW_CHECK(!budget.Admit(holders[1], 11, start));
    BW_CHECK(budget.Admit(holders[1], 10, start));
    BW_EQUAL(std::size_t{ 910 }, budget.Used());
  }
  BW_SECTION("a refused admission changes nothing and closes no holder that makes progress")
  {
    BW_CHECK(budget.Admit(holders[0], 500, start));
    BW_CHECK(!budget.Admit(holders[1], 500, start + seconds(1)));
    BW_EQUAL(std::size_t{ 500 }, budget.Used());
    BW_EQUAL(0, closed);
  }
  BW_SECTION("a stalled holder is closed for a new body")
  {
    BW_CHECK(budget.Admit(holders[0], 500, start));
    BW_CHECK(budget.Admit(holders[1], 500, start + seconds(2)));
    BW_CHECK(holders[0].mWasClosed);
    BW_EQUAL(std::size_t{ 500 }, budget.Used());
  }
  BW_SECTION("growth closes the holder with the most bytes that is the oldest")
  {
    holders[2].mSince = start + milliseconds(900);
    BW_CHECK(budget.Grow(holders[0], 300, start));
    BW_CHECK(budget.Grow(holders[1], 200, start));
    BW_CHECK(budget.Grow(holders[2], 500, start + seconds(1)));
    BW_CHECK(holders[0].mWasClosed);
    BW_CHECK(!holders[1].mWasClosed);
    BW_EQUAL(std::size_t{ 700 }, budget.Used());
  }
  BW_SECTION("growth is refused to the holder that is the worst itself")
  {
    BW_CHECK(budget.Grow(holders[0], 300, start));
    BW_CHECK(!budget.Grow(holders[1], 800, start));
    BW_EQUAL(0, closed);
    BW_EQUAL(std::size_t{ 300 }, budget.Used());
  }
  BW_SECTION("a request that is being handled is never closed")
  {
    BW_CHECK(budget.Grow(holders[0], 800, start));
    holders[0].mIsClosable = false;
    BW_CHECK(!budget.Grow(holders[1], 300, start + seconds(10)));
    BW_CHECK(!holders[0].mWasClosed);
  }
  BW_SECTION("a response is charged although it exceeds the total")
  {
    budget.Charge(holders[0], 1'500, start);
    BW_EQUAL(std::size_t{ 1'500 }, budget.Used());
    BW_CHECK(!budget.Admit(holders[1], 1, start));
    budget.Leave(holders[0]);
    BW_CHECK(budget.Admit(holders[1], 1, start));
  }
}
