#pragma once

#include "queue_leader.h"
#include "scheduler_engine.h"

#include "briarwind/http.h"
#include "briarwind/http_client.h"
#include "briarwind/metrics.h"
#include "briarwind/settings_model.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace briarwind {

/// The parts of the process that the HTTP interface uses. The pointers must outlive the interface.
struct scheduler_api_context
{
  scheduler_engine* mEngine = nullptr;
  queue_leader* mLeader = nullptr;
  metrics* mMetrics = nullptr;
  std::string mSchedulerName;
  std::function<http_response()> mInForce; ///< answers `GET /v1/inforce`
  std::function<bool()> mIsReady;          ///< answers `GET /readyz`
};

/// The scheduler's HTTP interface, described in docs/API.md. A scheduler that does not lead
/// forwards calls about jobs and the status call to the leader, once at most: a forwarded call is
/// answered by the scheduler that receives it.
class scheduler_api
{
public:
  scheduler_api(fiber_runtime& aRuntime, scheduler_api_context aContext);

  /// Answers one request; may suspend the fiber. Unknown paths are answered with status 404.
  http_response Handle(const http_request& aRequest);
  /// Submits a job to the current leader, which may be this process. True when the job was
  /// accepted.
  bool Resubmit(const job_spec& aSpec);

private:
  struct route;
  /// Returns nullptr when no route matches; sets aJob to the job id of the path, if it has one.
  static const route* FindRoute(const http_request& aRequest, std::string& aJob);

  http_response Health(const http_request& aRequest, const std::string& aJob);
  http_response Ready(const http_request& aRequest, const std::string& aJob);
  http_response Metrics(const http_request& aRequest, const std::string& aJob);
  http_response InForce(const http_request& aRequest, const std::string& aJob);
  http_response Status(const http_request& aRequest, const std::string& aJob);
  http_response Submit(const http_request& aRequest, const std::string& aJob);
  http_response ListJobs(const http_request& aRequest, const std::string& aJob);
  http_response ShowJob(const http_request& aRequest, const std::string& aJob);
  http_response Explain(const http_request& aRequest, const std::string& aJob);
  http_response Cancel(const http_request& aRequest, const std::string& aJob);
  http_response Forward(const http_request& aRequest);

  http_pool mPool;
  scheduler_api_context mContext;
};

} // namespace briarwind
