#include "ctl_command.h"
#include "ctl_input.h"

#include "briarwind/http_client.h"

#include <boost/json.hpp>

namespace briarwind {

namespace json = boost::json;

namespace {

// HTTP status of a scheduler that did not handle the call, so that another one may be tried.
constexpr unsigned kServiceUnavailable = 503;

// The outcome of a call that was sent to the schedulers in turn.
struct scheduler_answer
{
  ctl_status mStatus = ctl_status::kUnreachable;
  error mError{ error_kind::kUnavailable, "schedulers", "none was named or reached" };
  std::optional<http_response> mResponse;
};

// Calls the schedulers in turn until one answers with a status other than 503. All calls are
// idempotent, so a failed call is repeated at the next scheduler. Whether a failed call took effect
// is known only from an answer.
scheduler_answer TrySchedulers(ctl_context& aContext, const http_request& aRequest)
{
  scheduler_answer answer;
  const instant deadline = aContext.Deadline();
  for (const endpoint& each : aContext.mOptions.mSchedulers) {
    auto response = HttpCall(aContext.mRuntime, each, aRequest, deadline);
    if (!response) {
      answer.mError = response.error();
      if (answer.mError.mKind == error_kind::kUnknownOutcome) {
        answer.mStatus = ctl_status::kUnknown;
      }
      continue;
    }
    answer.mResponse = std::move(response).value();
    if (answer.mResponse->mStatus != kServiceUnavailable) {
      return answer;
    }
  }
  return answer;
}

ctl_status ToCtlStatus(unsigned aHttpStatus)
{
  switch (aHttpStatus) {
    case 400:
    case 422:
      return ctl_status::kFindings;
    case 409:
      return ctl_status::kConflict;
    case 502:
      return ctl_status::kUnknown;
    case kServiceUnavailable:
      return ctl_status::kUnreachable;
    default:
      return aHttpStatus < 300 ? ctl_status::kDone : ctl_status::kFailed;
  }
}

ctl_result CallScheduler(ctl_context& aContext, std::string aMethod, std::string aTarget,
                         std::string aBody)
{
  http_request request;
  request.mMethod = std::move(aMethod);
  request.mTarget = std::move(aTarget);
  request.mBody = std::move(aBody);
  request.mHeaders.Set("Content-Type", "application/json");
  const scheduler_answer answer = TrySchedulers(aContext, request);
  if (!answer.mResponse) {
    return FailureResult(answer.mStatus, answer.mError);
  }
  boost::system::error_code parseError;
  json::value body = json::parse(answer.mResponse->mBody, parseError);
  if (parseError) {
    body = json::object{ { "answer", answer.mResponse->mBody } };
  }
  return { ToCtlStatus(answer.mResponse->mStatus), std::move(body) };
}

} // namespace

ctl_result Submit(ctl_context& aContext, std::span<const std::string> aArguments)
{
  auto job = ReadInput(aArguments[0]);
  if (!job) {
    return FailureResult(ctl_status::kFindings, job.error());
  }
  return CallScheduler(aContext, "POST", "/v1/jobs", std::move(job).value());
}

ctl_result Cancel(ctl_context& aContext, std::span<const std::string> aArguments)
{
  return CallScheduler(aContext, "POST", "/v1/jobs/" + aArguments[0] + "/cancel", "{}");
}

ctl_result Status(ctl_context& aContext, std::span<const std::string> aArguments)
{
  if (aContext.mOptions.mInForce) {
    return InForceStatus(aContext);
  }
  return CallScheduler(aContext, "GET",
                       aArguments.empty() ? "/v1/status" : "/v1/jobs/" + aArguments[0], "");
}

ctl_result Explain(ctl_context& aContext, std::span<const std::string> aArguments)
{
  return CallScheduler(aContext, "GET", "/v1/jobs/" + aArguments[0] + "/explain", "");
}

} // namespace briarwind
