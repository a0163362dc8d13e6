#include "briarwind/fiber_runtime.h"
#include "briarwind/settled_swap.h"

#include <algorithm>

namespace briarwind {

namespace {

// Timeout of a single attempt.
constexpr milliseconds kAttemptTimeout{ 1'000 };

// Decides by the current value whether an earlier attempt succeeded or another writer was first.
settled_result ResolveConflict(const settled_request& aRequest, const swap_result& aAnswer)
{
  settled_result settled;
  settled.mCurrent = aAnswer.mCurrent;
  settled.mRevision = aAnswer.mCurrent.mModified;
  settled.mFate = aAnswer.mCurrent.mModified != 0 && aRequest.mHoldsOurs(aAnswer.mCurrent)
                    ? swap_fate::kDone
                    : swap_fate::kConflict;
  return settled;
}

bool MayHaveTakenEffect(const error& aError)
{
  return aError.mKind == error_kind::kUnknownOutcome;
}

bool IsPermanent(const error& aError)
{
  return aError.mKind == error_kind::kInvalid || aError.mKind == error_kind::kNotFound;
}

} // namespace

settled_result SettledSwap(config_store& aStore, const settled_request& aRequest, backoff& aBackoff,
                           instant aDeadline)
{
  settled_result settled;
  for (;;) {
    const instant attemptDeadline = std::min(aDeadline, monotonic_clock::now() + kAttemptTimeout);
    auto answer = aStore.Swap(aRequest.mKey, aRequest.mExpected, aRequest.mValue, aRequest.mLease,
                              attemptDeadline);
    if (answer && answer.value().mSwapped) {
      settled.mFate = swap_fate::kDone;
      settled.mRevision = answer.value().mRevision;
      return settled;
    }
    if (answer) {
      return ResolveConflict(aRequest, answer.value());
    }
    settled.mError = std::move(answer).error();
    if (MayHaveTakenEffect(settled.mError)) {
      settled.mFate = swap_fate::kUnknown;
    }
    const duration wait = aBackoff.Next();
    if (IsPermanent(settled.mError) || monotonic_clock::now() + wait >= aDeadline) {
      return settled;
    }
    SleepFor(wait);
  }
}

} // namespace briarwind
