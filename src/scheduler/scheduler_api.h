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

/// What the interface needs to know of the rest of the process.
struct scheduler_api_context
{
  scheduler_engine* mEngine = nullptr;
  queue_leader* mLeader = nullptr;
  metrics* mMetrics = nullptr;
  std::string mMember;
  std::function<http_response()> mInForce;
  std::function<bool()> mIsReady;
};

/// The scheduler's HTTP interface of docs/API.md. A scheduler that does not act for the queue hands
/// calls about jobs on to the one that does.
class scheduler_api
{
public:
  scheduler_api(fiber_runtime& aRuntime, scheduler_api_context aContext);

  http_response Handle(const http_request& aRequest);
  /// Hands a job to whoever acts for the queue. True when it was accepted.
  bool Resubmit(const job_spec& aSpec);

private:
  struct route;
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
