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

constexpr instant kStart{ seconds{ 100 } };

// A budget with three holders that began at kStart and may be closed.
struct shared_budget
{
  shared_budget()
  {
    for (budget_holder& each : mHolders) {
      each.mSince = kStart;
      each.mLastProgress = kStart;
      each.mIsClosable = true;
      each.mClose = [this] { ++mClosed; };
      mBudget.Join(each);
    }
  }

  byte_budget mBudget{ TestLimits() };
  std::array<budget_holder, 3> mHolders;
  int mClosed = 0;
};

} // namespace

// Guards against memory that grows with the number of clients, and against a budget that a few
// stalled clients keep to themselves.
BW_STORY("announced bodies share a budget of bytes")
{
  shared_budget shared;
  byte_budget& budget = shared.mBudget;
  auto& holders = shared.mHolders;

  BW_SECTION("large holders leave the part that is kept for small ones")
  {
    BW_CHECK(budget.Admit(holders[0], 900, kStart));
    BW_CHECK(!budget.Admit(holders[1], 11, kStart));
    BW_CHECK(budget.Admit(holders[1], 10, kStart));
    BW_EQUAL(std::size_t{ 910 }, budget.Used());
  }
  BW_SECTION("a refused admission changes nothing and closes no holder that makes progress")
  {
    BW_CHECK(budget.Admit(holders[0], 500, kStart));
    BW_CHECK(!budget.Admit(holders[1], 500, kStart + seconds(1)));
    BW_EQUAL(std::size_t{ 500 }, budget.Used());
    BW_EQUAL(0, shared.mClosed);
  }
  BW_SECTION("a stalled holder is closed for a new body")
  {
    BW_CHECK(budget.Admit(holders[0], 500, kStart));
    BW_CHECK(budget.Admit(holders[1], 500, kStart + seconds(2)));
    BW_CHECK(holders[0].mWasClosed);
    BW_EQUAL(std::size_t{ 500 }, budget.Used());
  }
}

// Guards against requests of unknown length that together exceed the budget, and against a request
// that is closed although it may have had an effect.
BW_STORY("growing bodies share a budget of bytes")
{
  shared_budget shared;
  byte_budget& budget = shared.mBudget;
  auto& holders = shared.mHolders;

  BW_SECTION("growth closes the holder with the most bytes that is the oldest")
  {
    holders[2].mSince = kStart + milliseconds(900);
    BW_CHECK(budget.Grow(holders[0], 300, kStart));
    BW_CHECK(budget.Grow(holders[1], 200, kStart));
    BW_CHECK(budget.Grow(holders[2], 500, kStart + seconds(1)));
    BW_CHECK(holders[0].mWasClosed);
    BW_CHECK(!holders[1].mWasClosed);
    BW_EQUAL(std::size_t{ 700 }, budget.Used());
  }
  BW_SECTION("growth is refused to the holder that is the worst itself")
  {
    BW_CHECK(budget.Grow(holders[0], 300, kStart));
    BW_CHECK(!budget.Grow(holders[1], 800, kStart));
    BW_EQUAL(0, shared.mClosed);
    BW_EQUAL(std::size_t{ 300 }, budget.Used());
  }
  BW_SECTION("a request that is being handled is never closed")
  {
    BW_CHECK(budget.Grow(holders[0], 800, kStart));
    holders[0].mIsClosable = false;
    BW_CHECK(!budget.Grow(holders[1], 300, kStart + seconds(10)));
    BW_CHECK(!holders[0].mWasClosed);
  }
  BW_SECTION("a response is charged although it exceeds the total")
  {
    budget.Charge(holders[0], 1'500, kStart);
    BW_EQUAL(std::size_t{ 1'500 }, budget.Used());
    BW_CHECK(!budget.Admit(holders[1], 1, kStart));
    budget.Leave(holders[0]);
    BW_CHECK(budget.Admit(holders[1], 1, kStart));
  }
}
