#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace briarwind {

/// What a caller may rely on about its request.
enum class outcome : std::uint8_t
{
  kOk,      ///< the instance's own answer, whole
  kNotRun,  ///< the request did not run and will not
  kUnknown, ///< the request may have run
  kFailed,  ///< the instance ran the request and answered with an error
};

/// Why a request ended as it did; each has its own counter.
enum class reason : std::uint8_t
{
  kAnswered,
  kBadHeader,
  kUnknownService,
  kOrganisationRate,
  kOrganisationInFlight,
  kTeamRate,
  kTeamInFlight,
  kQueueFull,
  kShed,
  kDeadlineQueued,
  kNoInstance,
  kConnectFailed,
  kInstanceRefused,
  kDeadlineSent,
  kConnectionLost,
  kTruncated,
  kOversized,
  kExtraBytes,
  kForeign,
  kInstanceError,
  kKeyRepeated,
  kKeyUndecided,
  kKeyTableFull,
};

/// What the router answers for a reason.
struct reason_traits
{
  reason mReason;
  std::string_view mWord; ///< value of `Briarwind-Reason` and label of the counters
  outcome mOutcome;
  unsigned mStatus; ///< 0: the instance's own status
};

const reason_traits& TraitsOf(reason aReason);
/// Every reason, in the order of the enumeration.
std::span<const reason_traits> AllReasons();

/// `ok`, `not-run`, `unknown` or `failed`.
std::string_view ToString(outcome aOutcome);

} // namespace briarwind
