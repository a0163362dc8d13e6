#include "briarwind/catalogue.h"
#include "briarwind/json_fields.h"
#include "briarwind/options.h"
#include "briarwind/route_table.h"
#include "briarwind/serve.h"
#include "standins/instance/instance_state.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>

using namespace briarwind;

namespace {

namespace json = boost::json;

constexpr milliseconds kDrainTime{ 10'000 };
constexpr std::size_t kMaxBodyBytes = std::size_t{ 16 } << 20U;

// A field of POST /test/faults and the fault interval that it sets.
struct fault_field
{
  std::string_view mName;
  std::int64_t instance_faults::* mInterval;
};

constexpr std::array<fault_field, 7> kFaultFields{ {
  { "failEvery", &instance_faults::mServerErrorEvery },
  { "truncateEvery", &instance_faults::mTruncateEvery },
  { "foreignEvery", &instance_faults::mWrongRequestIdEvery },
  { "doubleEvery", &instance_faults::mDuplicateEvery },
  { "dropBeforeRunEvery", &instance_faults::mDropBeforeRunEvery },
  { "dropAfterRunEvery", &instance_faults::mDropAfterRunEvery },
  { "notRunEvery", &instance_faults::mRejectEvery },
} };

// Stand-in for one service instance. It runs a limited number of requests at once (8 by default)
// and responds with the size and a digest of the request body. POST /test/faults injects faults.
class instance_service
{
public:
  instance_service(std::string aName, int aSlots, milliseconds aLatency)
    : mName(std::move(aName))
    , mState(aSlots)
  {
    mState.Faults().mLatency = aLatency;
    mRoutes.AddJson(
      "POST", "/test/faults",
      [this](const json::object& aBody, const path_captures&) { return SetFaults(aBody); });
    mRoutes.Add("GET", "/test/runs",
                [this](const http_request&, const path_captures&) { return RunReport(); });
    mRoutes.Add("GET", "/healthz",
                [](const http_request&, const path_captures&) { return http_response{}; });
  }

  http_response Answer(const http_request& aRequest, std::size_t aConnections)
  {
    mMaxConnections = std::max(mMaxConnections, aConnections);
    // POST requests to any other path are requests to the service.
    const bool isControlRequest =
      aRequest.mTarget.starts_with("/test/") || aRequest.mMethod != "POST";
    return isControlRequest ? mRoutes.Answer(aRequest) : RunRequest(aRequest);
  }

private:
  http_response RunRequest(const http_request& aRequest)
  {
    const std::string id(aRequest.mHeaders.Find("Briarwind-Request-Id").value_or(""));
    const admission admitted = mState.Admit(id);
    if (admitted != admission::kRun) {
      return NotRunResponse(id, admitted);
    }
    if (!mState.Faults().mFailFast) {
      SleepFor(mState.Faults().mLatency);
    }
    return ApplyFault(SuccessResponse(aRequest, id), mState.Finish());
  }

  static http_response NotRunResponse(const std::string& aId, admission aAdmission)
  {
    http_response response =
      ErrorResponse(503, { error_kind::kUnavailable, "instance", "the request was not run" });
    response.mHeaders.Set("Briarwind-Not-Run", "yes");
    response.mHeaders.Set("Briarwind-Request-Id", aId);
    response.mDrop = aAdmission == admission::kDropConnection;
    return response;
  }

  http_response SuccessResponse(const http_request& aRequest, const std::string& aId) const
  {
    const std::string& requestBody = aRequest.mBody;
    const json::object responseBody{
      { "requestId", aId },
      { "instance", mName },
      { "bytes", requestBody.size() },
      { "digest", fmt::format("{:016x}", XXH3_64bits(requestBody.data(), requestBody.size())) },
    };
    http_response response = JsonResponse(200, json::serialize(responseBody));
    response.mHeaders.Set("Briarwind-Request-Id", aId);
    return response;
  }

  static http_response ApplyFault(http_response aResponse, response_fault aFault)
  {
    switch (aFault) {
      case response_fault::kNone:
        break;
      case response_fault::kDropConnection:
        aResponse.mDrop = true;
        break;
      case response_fault::kServerError:
        aResponse.mStatus = 500;
        break;
      case response_fault::kTruncate:
        aResponse.mTruncateAt = aResponse.mBody.size() / 2;
        break;
      case response_fault::kWrongRequestId:
        aResponse.mHeaders.Set("Briarwind-Request-Id", "of-another-request");
        break;
      case response_fault::kDuplicate:
        aResponse.mCopies = 2;
        break;
    }
    return aResponse;
  }

  http_response SetFaults(const json::object& aBody)
  {
    instance_faults& faults = mState.Faults();
    faults.mLatency = milliseconds(NumberField(aBody, "latencyMs", faults.mLatency.count()));
    faults.mFailFast = BooleanField(aBody, "failFast", faults.mFailFast);
    for (const fault_field& each : kFaultFields) {
      faults.*each.mInterval = NumberField(aBody, each.mName, faults.*each.mInterval);
    }
    return JsonResponse(200, "{}");
  }

  http_response RunReport() const
  {
    json::object runCounts;
    for (const auto& [id, count] : mState.RunCounts()) {
      runCounts[id] = count;
    }
    return JsonResponse(200, json::serialize(json::object{ { "running", mState.Running() },
                                                           { "maxRunning", mState.MaxRunning() },
                                                           { "maxConnections", mMaxConnections },
                                                           { "runs", std::move(runCounts) } }));
  }

  std::string mName;
  instance_state mState;
  std::size_t mMaxConnections = 0;
  route_table mRoutes;
};

} // namespace

int main(int aCount, char** aArguments)
{
  endpoint listen{ "127.0.0.1", 0 };
  std::string name = "t1";
  std::int64_t slots = 8;
  std::int64_t connections = 64;
  milliseconds latency{ 0 };
  option_set options("standin-instance", "Stand-in for a service instance, for tests.");
  options.Add("listen", listen, "address to listen on; port 0 picks a free port");
  options.Add("name", name, "name of the instance, part of its responses");
  options.Add("slots", slots, 1, 1'000, "maximum number of requests that run at once");
  options.Add("connections", connections, 1, 10'000,
              "maximum number of open connections; further ones are closed");
  options.Add("latency", latency, milliseconds{ 0 }, minutes{ 1 },
              "time that each request takes to run");
  options.AddCatalogue(UtilEvents(), {});
  options.ParseOrExit(aCount, aArguments);

  fiber_runtime runtime;
  instance_service service(name, static_cast<int>(slots), latency);
  http_server_limits limits;
  limits.mBodyBytes = kMaxBodyBytes;
  limits.mConnections = static_cast<std::size_t>(connections);
  // The handler needs the server, which is constructed with the handler: the pointer is set after.
  http_server* serverPointer = nullptr;
  http_server server(
    runtime, listen,
    [&](const http_request& aRequest) {
      return service.Answer(aRequest, serverPointer->Connections());
    },
    limits);
  serverPointer = &server;
  ServeUntilSignal(runtime, server, kDrainTime);
}
