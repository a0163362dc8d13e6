#include "briarwind/fiber_runtime.h"
#include "briarwind/swap_with_retry.h"

#include <algorithm>

namespace briarwind {

namespace {

// Timeout of a single attempt.
constexpr milliseconds kAttemptTimeout{ 1'000 };

// Decides by the current value whether an earlier attempt succeeded or another writer was first.
swap_retry_result ResolveConflict(const swap_retry_request& aRequest, const swap_result& aAnswer)
{
  swap_retry_result settled;
  settled.mCurrent = aAnswer.mCurrent;
  settled.mRevision = aAnswer.mCurrent.mModified;
  settled.mSwapOutcome =
    aAnswer.mCurrent.mModified != 0 && aRequest.mContainsChange(aAnswer.mCurrent)
      ? swap_outcome::kDone
      : swap_outcome::kConflict;
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

swap_retry_result SwapWithRetry(config_store& aStore, const swap_retry_request& aRequest,
                                backoff& aBackoff, instant aDeadline)
{
  swap_retry_result settled;
  for (;;) {
    const instant attemptDeadline = std::min(aDeadline, monotonic_clock::now() + kAttemptTimeout);
    auto answer = aStore.Swap(aRequest.mKey, aRequest.mExpected, aRequest.mValue, aRequest.mLease,
                              attemptDeadline);
    if (answer && answer.value().mSwapped) {
      settled.mSwapOutcome = swap_outcome::kDone;
      settled.mRevision = answer.value().mRevision;
      return settled;
    }
    if (answer) {
      return ResolveConflict(aRequest, answer.value());
    }
    settled.mError = std::move(answer).error();
    if (MayHaveTakenEffect(settled.mError)) {
      settled.mSwapOutcome = swap_outcome::kUnknown;
    }
    const duration wait = aBackoff.Next();
    if (IsPermanent(settled.mError) || monotonic_clock::now() + wait >= aDeadline) {
      return settled;
    }
    SleepFor(wait);
  }
}

} // namespace briarwind
