#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace briarwind {

/// What a caller may conclude about the execution of its request.
enum class outcome : std::uint8_t
{
  kOk,      ///< the instance's answer was received completely
  kNotRun,  ///< the request did not run and will not
  kUnknown, ///< the request may have run
  kFailed,  ///< the instance ran the request and answered with an error
};

/// Why a request or one of its attempts ended. Metrics count requests by reason.
enum class reason : std::uint8_t
{
  kAnswered,             ///< the instance answered with a status below 500
  kBadHeader,            ///< a request header is missing or malformed
  kUnknownService,       ///< no target of the service has been listed
  kOrganisationRate,     ///< over the organisation's limit of requests per second
  kOrganisationInFlight, ///< over the organisation's limit of requests in flight
  kTeamRate,             ///< over the team's limit of requests per second
  kTeamInFlight,         ///< over the team's limit of requests in flight
  kQueueFull,            ///< displaced from a full queue
  kShed,                 ///< refused on arrival: the expected wait is too long for the deadline
  kDeadlineQueued,       ///< too late to be sent to an instance
  kNoInstance,           ///< the router has no usable slot of the service
  kConnectFailed,        ///< nothing was sent to the instance
  kInstanceRefused,      ///< the instance stated that it did not run the request
  kDeadlineSent,         ///< the deadline passed after the request was sent
  kConnectionLost,       ///< the connection failed before an answer was complete
  kTruncated,            ///< the answer ended early
  kOversized,            ///< the answer is over the size limit
  kExtraBytes,           ///< more bytes followed the answer
  kForeign,              ///< the answer carries another request's id, or none
  kInstanceError,        ///< the instance answered with a 5xx status
  kKeyRepeated,          ///< another request has used the idempotency key
  kKeyUndecided,         ///< an earlier use of the idempotency key cannot be excluded
  kKeyTableFull,         ///< the table for claims of idempotency keys was full at a router
};

/// What the router answers to a request that ended for a reason.
struct reason_traits
{
  reason mReason;
  std::string_view mWireName; ///< wire name: value of `Briarwind-Reason` and label of the counters
  outcome mOutcome;
  unsigned mStatus; ///< HTTP status; 0: that of the instance's answer
};

const reason_traits& TraitsOf(reason aReason);
/// The traits of every reason, in the order of the enumeration.
std::span<const reason_traits> AllReasons();

/// `ok`, `not-run`, `unknown` or `failed`.
std::string_view ToString(outcome aOutcome);

} // namespace briarwind
