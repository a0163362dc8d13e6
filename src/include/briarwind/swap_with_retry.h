#pragma once

#include "briarwind/backoff.h"
#include "briarwind/config_store.h"

#include <cstdint>
#include <functional>
#include <string>

namespace briarwind {

/// The final outcome of a write.
enum class swap_outcome : std::uint8_t
{
  kDone,
  kConflict,  ///< the key was changed by another writer first; nothing was written
  kNotStored, ///< no attempt took effect; nothing was written
  kUnknown,   ///< an attempt may have taken effect and could not be verified in time
};

/// The result of a write with retries.
struct swap_retry_result
{
  swap_outcome mSwapOutcome = swap_outcome::kNotStored;
  /// For kDone, the revision of the write or of a later value that contains the change; for
  /// kConflict, the revision of mCurrent.
  store_revision mRevision = 0;
  stored_value mCurrent; ///< for kConflict: the current value of the key
  error mError;          ///< for kNotStored and kUnknown: the error of the last attempt
};

/// A write with retries.
struct swap_retry_request
{
  std::string mKey;
  store_revision mExpected = 0; ///< revision of the key to replace; 0: the key must not exist
  std::string mValue;
  store_lease mLease = 0; ///< lease to attach the key to; 0 is none
  /// Returns whether a stored value contains this change, be it the newest or followed by later
  /// changes. Values need unique change ids for that.
  std::function<bool(const stored_value&)> mContainsChange;
};

/// Writes a key by compare-and-swap and retries with backoff after each transient failure until the
/// deadline. Retries are safe: the comparison lets at most one attempt succeed, and an attempt that
/// finds another revision checks the current value for the change.
swap_retry_result SwapWithRetry(config_store& aStore, const swap_retry_request& aRequest,
                                backoff& aBackoff, instant aDeadline);

} // namespace briarwind
