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
inline constexpr std::string_view kKeyHeader = "Idempotency-Key";

/// What the headers and the target of a caller's request say.
struct caller_request
{
  std::string mService;
  std::string mTarget; ///< for the instance: without the service
  std::string mOrganisation;
  std::string mTeam;
  std::string mRequestId;
  std::string mKey; ///< empty: none
  milliseconds mWait{ 10'000 };
  bool mRepeatable = false;
};

/// Reads a request and appends all that is wrong with its headers. Organisations and teams are
/// checked only when the settings hold any organisation.
caller_request ReadCallerRequest(const http_request& aRequest, const settings_view& aSettings,
                                 findings& aFindings);

/// The request as the instance gets it, without what concerns the caller's connection only.
http_request ToInstanceRequest(const http_request& aRequest, const caller_request& aCaller);

/// Takes out the fields that concern one connection only.
void EraseConnectionHeaders(http_headers& aHeaders);

} // namespace briarwind
