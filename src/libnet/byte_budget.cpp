#include "briarwind/byte_budget.h"

#include <algorithm>
#include <utility>

namespace briarwind {

void byte_budget::Leave(budget_holder& aHolder)
{
  Set(aHolder, 0);
  std::erase(mHolders, &aHolder);
}

bool byte_budget::Admit(budget_holder& aHolder, std::size_t aBytes, instant aNow)
{
  while (!Fits(aHolder, aBytes)) {
    budget_holder* worst = Worst(aNow, mLimits.mStalledAfter);
    if (worst == nullptr || worst == &aHolder) {
      return false;
    }
    Close(*worst);
  }
  Set(aHolder, aBytes);
  return true;
}

bool byte_budget::Grow(budget_holder& aHolder, std::size_t aBytes, instant aNow)
{
  Set(aHolder, aBytes);
  while (!Fits(aHolder, aBytes)) {
    budget_holder* worst = Worst(aNow, milliseconds(0));
    if (worst == nullptr || worst == &aHolder) {
      Set(aHolder, 0);
      return false;
    }
    Close(*worst);
  }
  return true;
}

void byte_budget::Charge(budget_holder& aHolder, std::size_t aBytes, instant aNow)
{
  Set(aHolder, aBytes);
  budget_holder* worst = nullptr;
  while (mUsed > mLimits.mTotal && (worst = Worst(aNow, mLimits.mStalledAfter)) != nullptr) {
    Close(*worst);
  }
}

bool byte_budget::Fits(const budget_holder& aHolder, std::size_t aBytes) const
{
  const std::size_t kept = aBytes > mLimits.mSmallBytes ? mLimits.mKeptForSmall : 0;
  return mUsed - aHolder.mBytes + aBytes <= mLimits.mTotal - kept;
}

void byte_budget::Set(budget_holder& aHolder, std::size_t aBytes)
{
  mUsed = mUsed - std::exchange(aHolder.mBytes, aBytes) + aBytes;
}

// The memory itself is freed when the fiber of the connection next runs, which is before more
// is read: the closed connection is ready to run by then.
void byte_budget::Close(budget_holder& aHolder)
{
  Set(aHolder, 0);
  aHolder.mIsClosable = false;
  aHolder.mWasClosed = true;
  aHolder.mClose();
}

budget_holder* byte_budget::Worst(instant aNow, milliseconds aMinStall) const
{
  budget_holder* worst = nullptr;
  double highest = 0;
  for (budget_holder* each : mHolders) {
    if (!each->mIsClosable || each->mBytes == 0 || aNow - each->mLastProgress < aMinStall) {
      continue;
    }
    // One millisecond is added, so that holders of the same instant differ by their bytes.
    const std::chrono::duration<double, std::milli> age = aNow - each->mSince;
    const double product = static_cast<double>(each->mBytes) * (age.count() + 1);
    if (product > highest) {
      highest = product;
      worst = each;
    }
  }
  return worst;
}

byte_budget::limits BudgetOfMemory(std::size_t aMemoryBytes)
{
  byte_budget::limits limits;
  limits.mTotal = aMemoryBytes / 4;
  limits.mKeptForSmall = limits.mTotal / 8;
  return limits;
}

} // namespace briarwind
