#pragma once

#include "briarwind/time.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace briarwind {

/// What one connection holds of a byte_budget.
struct budget_holder
{
  std::size_t mBytes = 0;
  instant mSince;           ///< when its current request or response began
  instant mLastProgress;    ///< when bytes of its request last arrived
  bool mIsClosable = false; ///< whether it may be closed: its request is incomplete, or is answered
  bool mWasClosed = false;  ///< whether the budget has closed it
  std::function<void()> mClose; ///< closes the connection; must not suspend the fiber
};

/// Bounds the bytes that all servers of a process hold for requests that are not answered yet and
/// for responses that are not written yet. Does no I/O. Holders are registered by address.
class byte_budget
{
public:
  struct limits
  {
    std::size_t mTotal = std::size_t{ 40 } << 20U;
    /// Up to which a holder counts as small: a request of 16 KiB with the buffers it is read into.
    std::size_t mSmallBytes = std::size_t{ 56 } << 10U;
    std::size_t mKeptForSmall = std::size_t{ 5 } << 20U; ///< part of the total for small holders
    /// A holder without progress for this long may be closed for a newly announced body. An
    /// ordinary client sends a body without a pause of that length.
    milliseconds mStalledAfter{ 2'000 };
  };

  explicit byte_budget(const limits& aLimits)
    : mLimits(aLimits)
  {
  }

  void Join(budget_holder& aHolder) { mHolders.push_back(&aHolder); }
  void Leave(budget_holder& aHolder);

  /// Raises or lowers a holder to aBytes before that much is read. Closes stalled holders if there
  /// is no room; returns false, without a change, if there is still none.
  bool Admit(budget_holder& aHolder, std::size_t aBytes, instant aNow);
  /// Sets a holder to aBytes that it has read already. If there is no room, closes the closable
  /// holders with the largest product of bytes and age; returns false if aHolder is among them.
  bool Grow(budget_holder& aHolder, std::size_t aBytes, instant aNow);
  /// Sets a holder to aBytes in any case, such as for a response; closes stalled holders if that
  /// exceeds the total.
  void Charge(budget_holder& aHolder, std::size_t aBytes, instant aNow);

  std::size_t Used() const { return mUsed; }
  std::size_t Total() const { return mLimits.mTotal; }

private:
  bool Fits(const budget_holder& aHolder, std::size_t aBytes) const;
  void Set(budget_holder& aHolder, std::size_t aBytes);
  void Close(budget_holder& aHolder);
  budget_holder* Worst(instant aNow, milliseconds aMinStall) const;

  limits mLimits;
  std::size_t mUsed = 0;
  std::vector<budget_holder*> mHolders;
};

/// Limits for a host with the given memory: a quarter of it in total, and an eighth of that kept
/// for small holders. The rest of the memory is for the state of the process itself.
byte_budget::limits BudgetOfMemory(std::size_t aMemoryBytes);

} // namespace briarwind
