#pragma once

#include "briarwind/backoff.h"
#include "briarwind/config_store.h"

#include <cstdint>
#include <functional>
#include <string>

namespace briarwind {

/// What is known of a write in the end.
enum class swap_fate : std::uint8_t
{
  kDone,
  kConflict,  ///< somebody else changed the key first; nothing of ours was written
  kNotStored, ///< the store was never reached; nothing was written
  kUnknown,   ///< an attempt may have taken effect and could not be read back in time
};

struct settled_result
{
  swap_fate mFate = swap_fate::kNotStored;
  store_revision mRevision = 0; ///< of our write, when done
  stored_value mCurrent;        ///< what is there, on a conflict
  error mError;                 ///< the last failure, when not stored or unknown
};

struct settled_request
{
  std::string mKey;
  store_revision mExpected = 0;
  std::string mValue;
  store_lease mLease = 0;
  /// Whether a value holds our change, also under later ones; values carry unique change ids.
  std::function<bool(const stored_value&)> mHoldsOurs;
};

/// Writes by compare-and-swap and repeats it after every failure until the deadline. Repeating is
/// harmless: the comparison lets one attempt through at most, and a refused one reads back.
settled_result SettledSwap(config_store& aStore, const settled_request& aRequest, backoff& aBackoff,
                           instant aDeadline);

} // namespace briarwind
