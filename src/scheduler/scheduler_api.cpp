#include "scheduler_api.h"

#include "job_json.h"
#include "scheduler_events.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace briarwind {

namespace json = boost::json;

namespace {

constexpr std::string_view kForwardedHeader = "Briarwind-Forwarded";
constexpr milliseconds kSubmitTimeout{ 5'000 };
constexpr milliseconds kForwardTimeout{ 6'000 };
constexpr milliseconds kCancelTimeout{ 4'000 };
constexpr milliseconds kCancelPollInterval{ 10 };

struct submission_response
{
  submission_outcome mOutcome;
  unsigned mStatus;
  std::string_view mDurability;  // set for accepted submissions only
  std::string_view mOutcomeName; // set for all others
};

constexpr std::array kSubmissionResponses{
  submission_response{ submission_outcome::kAccepted, 201, "stored", "" },
  submission_response{ submission_outcome::kInMemory, 201, "memory", "" },
  submission_response{ submission_outcome::kInvalid, 400, "", "not-run" },
  submission_response{ submission_outcome::kConflict, 409, "", "not-run" },
  submission_response{ submission_outcome::kImpossible, 422, "", "not-run" },
  submission_response{ submission_outcome::kNotRun, 503, "", "not-run" },
  submission_response{ submission_outcome::kUnknown, 502, "", "unknown" },
};

http_response ToResponse(const answer_submission& aAnswer)
{
  const auto* mapping =
    std::ranges::find(kSubmissionResponses, aAnswer.mOutcome, &submission_response::mOutcome);
  if (!mapping->mDurability.empty()) {
    return JsonResponse(mapping->mStatus,
                        json::serialize(json::object{ { "job", aAnswer.mJob },
                                                      { "durability", mapping->mDurability } }));
  }
  const json::object body{ { "job", aAnswer.mJob },
                           { "outcome", mapping->mOutcomeName },
                           { "reason", aAnswer.mReason },
                           { "findings", ToJson(std::span<const finding>(aAnswer.mFindings)) } };
  http_response response = JsonResponse(mapping->mStatus, json::serialize(body));
  response.mHeaders.Set("Briarwind-Outcome", mapping->mOutcomeName);
  return response;
}

http_response NotFound(std::string_view aWhere, std::string_view aWhat)
{
  return ErrorResponse(404, { error_kind::kNotFound, std::string(aWhere), std::string(aWhat) });
}

} // namespace

struct scheduler_api::route
{
  std::string_view mMethod;
  std::string_view mPrefix;
  std::string_view mSuffix; // follows the job id
  bool mHasJob;             // whether the path holds a job id; otherwise it equals mPrefix
  bool mLeaderOnly;         // forwarded to the leader by other schedulers
  http_response (scheduler_api::*mHandler)(const http_request&, const std::string&);
};

const scheduler_api::route* scheduler_api::FindRoute(const http_request& aRequest,
                                                     std::string& aJob)
{
  static constexpr std::string_view kJobPrefix = "/v1/jobs/";
  static const std::array kRoutes{
    route{ "GET", "/healthz", "", false, false, &scheduler_api::Health },
    route{ "GET", "/readyz", "", false, false, &scheduler_api::Ready },
    route{ "GET", "/metrics", "", false, false, &scheduler_api::Metrics },
    route{ "GET", "/v1/inforce", "", false, false, &scheduler_api::InForce },
    route{ "GET", "/v1/status", "", false, true, &scheduler_api::Status },
    route{ "POST", "/v1/jobs", "", false, true, &scheduler_api::Submit },
    route{ "GET", "/v1/jobs", "", false, true, &scheduler_api::ListJobs },
    route{ "GET", kJobPrefix, "/explain", true, true, &scheduler_api::Explain },
    route{ "POST", kJobPrefix, "/cancel", true, true, &scheduler_api::Cancel },
    route{ "GET", kJobPrefix, "", true, true, &scheduler_api::ShowJob },
  };
  const std::string_view path = TargetPath(aRequest.mTarget);
  const auto matches = [&](const route& aRoute) {
    if (aRoute.mMethod != aRequest.mMethod) {
      return false;
    }
    if (!aRoute.mHasJob) {
      return path == aRoute.mPrefix;
    }
    return path.size() > aRoute.mPrefix.size() + aRoute.mSuffix.size() &&
           path.starts_with(aRoute.mPrefix) && path.ends_with(aRoute.mSuffix);
  };
  const auto* found = std::ranges::find_if(kRoutes, matches);
  if (found == kRoutes.end()) {
    return nullptr;
  }
  if (found->mHasJob) {
    const std::size_t length = path.size() - found->mPrefix.size() - found->mSuffix.size();
    aJob = path.substr(found->mPrefix.size(), length);
  }
  return found;
}

scheduler_api::scheduler_api(fiber_runtime& aRuntime, scheduler_api_context aContext)
  : mPool(aRuntime)
  , mContext(std::move(aContext))
{
}

http_response scheduler_api::Handle(const http_request& aRequest)
{
  std::string job;
  const route* const found = FindRoute(aRequest, job);
  if (found == nullptr) {
    return NotFound(aRequest.mTarget, "no such path for " + aRequest.mMethod);
  }
  const bool forward = found->mLeaderOnly && !mContext.mEngine->Core().Status().mActing &&
                       !aRequest.mHeaders.Find(kForwardedHeader);
  return forward ? Forward(aRequest) : (this->*found->mHandler)(aRequest, job);
}

http_response scheduler_api::Health(const http_request& /*aRequest*/, const std::string& /*aJob*/)
{
  return JsonResponse(200, R"({"healthy":true})");
}

http_response scheduler_api::Ready(const http_request& /*aRequest*/, const std::string& /*aJob*/)
{
  const bool ready = mContext.mIsReady();
  return JsonResponse(ready ? 200 : 503, ready ? R"({"ready":true})" : R"({"ready":false})");
}

http_response scheduler_api::Metrics(const http_request& /*aRequest*/, const std::string& /*aJob*/)
{
  http_response response;
  response.mHeaders.Set("Content-Type", "text/plain; version=0.0.4");
  response.mBody = mContext.mMetrics->Render();
  return response;
}

http_response scheduler_api::InForce(const http_request& /*aRequest*/, const std::string& /*aJob*/)
{
  return mContext.mInForce();
}

http_response scheduler_api::Status(const http_request& /*aRequest*/, const std::string& /*aJob*/)
{
  json::object body = ToJson(mContext.mEngine->Core().Status());
  body["member"] = mContext.mSchedulerName;
  json::array cells;
  for (const cell_view& each : mContext.mEngine->Core().Cells()) {
    cells.push_back(ToJson(each));
  }
  body["guarantees"] = std::move(cells);
  return JsonResponse(200, json::serialize(body));
}

http_response scheduler_api::Submit(const http_request& aRequest, const std::string& /*aJob*/)
{
  findings found;
  const job_spec spec = ParseJobSpec(aRequest.mBody, found);
  if (HasErrors(found)) {
    mContext.mMetrics->Count(kSubmissions, "invalid");
    return ToResponse({ 0, spec.mId, submission_outcome::kInvalid, "see the findings", found });
  }
  return ToResponse(mContext.mEngine->Submit(spec, monotonic_clock::now() + kSubmitTimeout));
}

http_response scheduler_api::ListJobs(const http_request& /*aRequest*/, const std::string& /*aJob*/)
{
  json::array jobs;
  for (const job_view& each : mContext.mEngine->Core().Jobs()) {
    jobs.push_back(ToJson(each));
  }
  return JsonResponse(200, json::serialize(json::object{ { "jobs", std::move(jobs) } }));
}

http_response scheduler_api::ShowJob(const http_request& aRequest, const std::string& aJob)
{
  const auto job = mContext.mEngine->Core().Find(aJob);
  return job ? JsonResponse(200, json::serialize(ToJson(*job)))
             : NotFound(aRequest.mTarget, "no such job");
}

http_response scheduler_api::Explain(const http_request& aRequest, const std::string& aJob)
{
  const auto explanation = mContext.mEngine->Core().Explain(aJob);
  return explanation ? JsonResponse(200, json::serialize(ToJson(*explanation)))
                     : NotFound(aRequest.mTarget, "no such job");
}

// Answers with success only once the cancellation is in the store, so that a later leader does not
// run the job again after the caller has received the answer.
http_response scheduler_api::Cancel(const http_request& aRequest, const std::string& aJob)
{
  const job_core& core = mContext.mEngine->Core();
  if (!core.Find(aJob)) {
    return NotFound(aRequest.mTarget, "no such job");
  }
  mContext.mEngine->HandleEvent(job_cancelled{ aJob });
  const instant until = monotonic_clock::now() + kCancelTimeout;
  std::optional<job_view> job = core.Find(aJob);
  while (job && !(IsFinal(job->mRecord.mState) && job->mStored) && monotonic_clock::now() < until) {
    SleepFor(kCancelPollInterval);
    job = core.Find(aJob);
  }
  if (!job || !IsFinal(job->mRecord.mState) || !job->mStored) {
    http_response response = ErrorResponse(
      502, { error_kind::kUnknownOutcome, aJob, "not recorded in time; send it again" });
    response.mHeaders.Set("Briarwind-Outcome", "unknown");
    return response;
  }
  const json::object body{ { "job", aJob }, { "state", ToString(job->mRecord.mState) } };
  return JsonResponse(200, json::serialize(body));
}

// A call that certainly did not reach the leader has the outcome `not-run`. Once the first byte was
// sent, the leader may have handled the call, so a failure has the outcome `unknown`.
http_response scheduler_api::Forward(const http_request& aRequest)
{
  const std::optional<endpoint> leader = mContext.mLeader->Leader();
  if (!leader || mContext.mLeader->IsLeader()) {
    mContext.mMetrics->Count(kForwards, "no-leader");
    http_response response = ErrorResponse(
      503, { error_kind::kUnavailable, "queue", "no scheduler acts for the queue at present" });
    response.mHeaders.Set("Briarwind-Outcome", "not-run");
    return response;
  }
  http_request request = aRequest;
  request.mHeaders.Erase("Host");
  request.mHeaders.Set(kForwardedHeader, "1");
  auto answer = mPool.Call(*leader, request, monotonic_clock::now() + kForwardTimeout);
  if (answer) {
    mContext.mMetrics->Count(kForwards, "ok");
    return std::move(answer).value();
  }
  const bool unknown = answer.error().mKind == error_kind::kUnknownOutcome;
  const std::string_view outcome = unknown ? "unknown" : "not-run";
  mContext.mMetrics->Count(kForwards, outcome);
  http_response response = ErrorResponse(unknown ? 502 : 503, answer.error());
  response.mHeaders.Set("Briarwind-Outcome", outcome);
  return response;
}

bool scheduler_api::Resubmit(const job_spec& aSpec)
{
  http_request request;
  request.mMethod = "POST";
  request.mTarget = "/v1/jobs";
  request.mBody = FormatJobSpec(aSpec);
  const unsigned status = Handle(request).mStatus;
  if (status == 201) {
    LogEvent(kJobResubmitted, { Field("job", aSpec.mId) });
  }
  return status == 201;
}

} // namespace briarwind
