#pragma once

#include "briarwind/finding.h"
#include "briarwind/http.h"
#include "briarwind/settings_model.h"
#include "briarwind/time.h"

#include <string>
#include <string_view>

namespace briarwind {

inline constexpr std::string_view kOrganisationHeader = "Briarwind-Organisation";
inline constexpr std::string_view kTeamHeader = "Briarwind-Team";
inline constexpr std::string_view kRequestIdHeader = "Briarwind-Request-Id";
inline constexpr std::string_view kDeadlineHeader = "Briarwind-Deadline-Ms";
inline constexpr std::string_view kRepeatableHeader = "Briarwind-Repeatable";
inline constexpr std::string_view kOutcomeHeader = "Briarwind-Outcome";
inline constexpr std::string_view kReasonHeader = "Briarwind-Reason";
inline constexpr std::string_view kNotRunHeader = "Briarwind-Not-Run";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

/// The parts of a caller's request that routing uses, read from its headers and its target.
struct caller_request
{
  std::string mService; ///< first segment of the path
  std::string mTarget;  ///< target that the instance gets, without the service
  std::string mOrganisation;
  std::string mTeam;
  std::string mRequestId;
  std::string mIdempotencyKey;     ///< empty when the request has none
  milliseconds mTimeout{ 10'000 }; ///< from the arrival of the request to its deadline
  bool mRepeatable = false;        ///< whether the caller allows the request to run more than once
};

/// Reads a caller's request and appends one finding for each header that is missing, repeated or
/// invalid. The organisation and the team must be listed in the settings, unless the settings list
/// no organisation at all.
caller_request ReadCallerRequest(const http_request& aRequest, const settings_view& aSettings,
                                 findings& aFindings);

/// Returns the request as it is sent to an instance: with the target that leaves out the service,
/// and without the headers that concern the caller's connection only.
http_request ToInstanceRequest(const http_request& aRequest, const caller_request& aCaller);

/// Removes the headers that concern one connection only and must not be forwarded.
void EraseConnectionHeaders(http_headers& aHeaders);

} // namespace briarwind
