#include "ctl_command.h"
#include "ctl_input.h"

#include "briarwind/http_client.h"

#include <boost/json.hpp>

namespace briarwind {

namespace json = boost::json;

namespace {

constexpr unsigned kNotRun = 503;

// Each call is idempotent, so any scheduler may be asked again after a failure. Whether the first
// one took effect is known only when an answer came.
struct scheduler_answer
{
  ctl_status mStatus = ctl_status::kNotReached;
  error mError{ error_kind::kUnavailable, "schedulers", "none was named or reached" };
  std::optional<http_response> mResponse;
};

scheduler_answer AskSchedulers(ctl_context& aContext, const http_request& aRequest)
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
    if (answer.mResponse->mStatus != kNotRun) {
      return answer;
    }
  }
  return answer;
}

ctl_status StatusOf(unsigned aHttpStatus)
{
  switch (aHttpStatus) {
    case 400:
    case 422:
      return ctl_status::kFindings;
    case 409:
      return ctl_status::kConflict;
    case 502:
      return ctl_status::kUnknown;
    case kNotRun:
      return ctl_status::kNotReached;
    default:
      return aHttpStatus < 300 ? ctl_status::kDone : ctl_status::kFailed;
  }
}

ctl_result Call(ctl_context& aContext, std::string aMethod, std::string aTarget, std::string aBody)
{
  http_request request;
  request.mMethod = std::move(aMethod);
  request.mTarget = std::move(aTarget);
  request.mBody = std::move(aBody);
  request.mHeaders.Set("Content-Type", "application/json");
  const scheduler_answer answer = AskSchedulers(aContext, request);
  if (!answer.mResponse) {
    return Failure(answer.mStatus, answer.mError);
  }
  boost::system::error_code failed;
  json::value body = json::parse(answer.mResponse->mBody, failed);
  if (failed) {
    body = json::object{ { "answer", answer.mResponse->mBody } };
  }
  return { StatusOf(answer.mResponse->mStatus), std::move(body) };
}

} // namespace

ctl_result Submit(ctl_context& aContext, std::span<const std::string> aArguments)
{
  auto job = ReadInput(aArguments[0]);
  if (!job) {
    return Failure(ctl_status::kFindings, job.error());
  }
  return Call(aContext, "POST", "/v1/jobs", std::move(job).value());
}

ctl_result Cancel(ctl_context& aContext, std::span<const std::string> aArguments)
{
  return Call(aContext, "POST", "/v1/jobs/" + aArguments[0] + "/cancel", "{}");
}

ctl_result Status(ctl_context& aContext, std::span<const std::string> aArguments)
{
  if (aContext.mOptions.mInForce) {
    return InForceStatus(aContext);
  }
  return Call(aContext, "GET", aArguments.empty() ? "/v1/status" : "/v1/jobs/" + aArguments[0], "");
}

ctl_result Explain(ctl_context& aContext, std::span<const std::string> aArguments)
{
  return Call(aContext, "GET", "/v1/jobs/" + aArguments[0] + "/explain", "");
}

} // namespace briarwind
