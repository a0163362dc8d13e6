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

struct fault_name
{
  std::string_view mName;
  std::int64_t instance_faults::* mEvery;
};

constexpr std::array<fault_name, 7> kFaultNames{ {
  { "failEvery", &instance_faults::mFailEvery },
  { "truncateEvery", &instance_faults::mTruncateEvery },
  { "foreignEvery", &instance_faults::mForeignEvery },
  { "doubleEvery", &instance_faults::mDoubleEvery },
  { "dropBeforeRunEvery", &instance_faults::mDropBeforeRunEvery },
  { "dropAfterRunEvery", &instance_faults::mDropAfterRunEvery },
  { "notRunEvery", &instance_faults::mNotRunEvery },
} };

// One instance of a service: 8 slots, an answer that shows what arrived, and faults.
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
                [this](const http_request&, const path_captures&) { return Runs(); });
    mRoutes.Add("GET", "/healthz",
                [](const http_request&, const path_captures&) { return http_response{}; });
  }

  http_response Answer(const http_request& aRequest, std::size_t aConnections)
  {
    mMaxConnections = std::max(mMaxConnections, aConnections);
    const bool isOwn = aRequest.mTarget.starts_with("/test/") || aRequest.mMethod != "POST";
    return isOwn ? mRoutes.Answer(aRequest) : Run(aRequest);
  }

private:
  http_response Run(const http_request& aRequest)
  {
    const std::string id(aRequest.mHeaders.Find("Briarwind-Request-Id").value_or(""));
    const admission admitted = mState.Admit(id);
    if (admitted != admission::kRun) {
      return NotRun(id, admitted);
    }
    if (!mState.Faults().mFailFast) {
      SleepFor(mState.Faults().mLatency);
    }
    return Spoil(WholeAnswer(aRequest, id), mState.Finish());
  }

  static http_response NotRun(const std::string& aId, admission aAdmission)
  {
    http_response response =
      ErrorResponse(503, { error_kind::kUnavailable, "instance", "the request was not run" });
    response.mHeaders.Set("Briarwind-Not-Run", "yes");
    response.mHeaders.Set("Briarwind-Request-Id", aId);
    response.mDrop = aAdmission == admission::kDrop;
    return response;
  }

  http_response WholeAnswer(const http_request& aRequest, const std::string& aId) const
  {
    const std::string& body = aRequest.mBody;
    const json::object fields{
      { "requestId", aId },
      { "instance", mName },
      { "bytes", body.size() },
      { "digest", fmt::format("{:016x}", XXH3_64bits(body.data(), body.size())) },
    };
    http_response response = JsonResponse(200, json::serialize(fields));
    response.mHeaders.Set("Briarwind-Request-Id", aId);
    return response;
  }

  static http_response Spoil(http_response aAnswer, answer_fault aFault)
  {
    switch (aFault) {
      case answer_fault::kNone:
        break;
      case answer_fault::kDrop:
        aAnswer.mDrop = true;
        break;
      case answer_fault::kFail:
        aAnswer.mStatus = 500;
        break;
      case answer_fault::kTruncate:
        aAnswer.mTruncateAt = aAnswer.mBody.size() / 2;
        break;
      case answer_fault::kForeign:
        aAnswer.mHeaders.Set("Briarwind-Request-Id", "of-another-request");
        break;
      case answer_fault::kDouble:
        aAnswer.mCopies = 2;
        break;
    }
    return aAnswer;
  }

  http_response SetFaults(const json::object& aBody)
  {
    instance_faults& faults = mState.Faults();
    faults.mLatency = milliseconds(NumberField(aBody, "latencyMs", faults.mLatency.count()));
    faults.mFailFast = SwitchField(aBody, "failFast", faults.mFailFast);
    for (const fault_name& each : kFaultNames) {
      faults.*each.mEvery = NumberField(aBody, each.mName, faults.*each.mEvery);
    }
    return JsonResponse(200, "{}");
  }

  http_response Runs() const
  {
    json::object runs;
    for (const auto& [id, count] : mState.Runs()) {
      runs[id] = count;
    }
    return JsonResponse(200, json::serialize(json::object{ { "running", mState.Running() },
                                                           { "maxRunning", mState.MaxRunning() },
                                                           { "maxConnections", mMaxConnections },
                                                           { "runs", std::move(runs) } }));
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
  option_set options("standin-instance", "Takes the place of a service instance in tests.");
  options.Add("listen", listen, "Address to take connections at; port 0 is any free port.");
  options.Add("name", name, "Name of the instance, shown in its answers.");
  options.Add("slots", slots, 1, 1'000, "Requests that run at once.");
  options.Add("connections", connections, 1, 10'000, "Connections at once; more are closed.");
  options.Add("latency", latency, milliseconds{ 0 }, minutes{ 1 }, "Time that a request runs.");
  options.AddCatalogue(UtilEvents(), {});
  options.ParseOrExit(aCount, aArguments);

  fiber_runtime runtime;
  instance_service service(name, static_cast<int>(slots), latency);
  http_server_limits limits;
  limits.mBodyBytes = kMaxBodyBytes;
  limits.mConnections = static_cast<std::size_t>(connections);
  http_server* self = nullptr;
  http_server server(
    runtime, listen,
    [&](const http_request& aRequest) { return service.Answer(aRequest, self->Connections()); },
    limits);
  self = &server;
  ServeUntilSignal(runtime, server, kDrainTime);
}
