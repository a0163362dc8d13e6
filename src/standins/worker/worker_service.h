#pragma once

#include "briarwind/http.h"
#include "briarwind/route_table.h"
#include "briarwind/time.h"
#include "standins/worker/worker_state.h"

#include <boost/json.hpp>

#include <cstdint>
#include <string>

namespace briarwind {

// Properties of a worker that are fixed for the lifetime of the process.
struct worker_identity
{
  std::string mName;
  std::string mFailureDomain;
  std::string mRack;
  resource_shape mCapacity;
  milliseconds mUsageLag{ 0 };       // age of the reported usage
  milliseconds mCheckpointTime{ 0 }; // time that writing a checkpoint takes
  std::int64_t mIncarnation = 0;     // differs between two starts of the process
};

// Serves the HTTP interface of a worker. POST /test/faults injects faults, and GET /test/starts
// lists the tasks that were started.
class worker_service
{
public:
  explicit worker_service(worker_identity aIdentity);

  http_response Answer(const http_request& aRequest);
  // Applies the expiry of leases and the end of tasks up to now, unless the worker is frozen.
  void AdvanceToNow();
  // Ends the fault that withholds all responses, so that the server can drain.
  void Unfreeze() { mFrozen = false; }

private:
  using object = boost::json::object;

  void AddLeaseRoutes();
  void AddReportRoutes();
  void AddTestRoutes();
  // Blocks for the injected latency, then for as long as the worker is frozen.
  void WaitForDelayFaults() const;

  http_response Identity() const;
  http_response Reserve(const object& aBody);
  http_response Start(std::string_view aLease, const object& aBody);
  http_response Renew(const object& aBody);
  http_response Stop(std::string_view aLease, const object& aBody);
  http_response Forget(std::string_view aLease);
  http_response Leases() const;
  http_response Usage() const;
  http_response SetFaults(const object& aBody);

  worker_identity mIdentity;
  worker_state mState;
  bool mFrozen = false; // no request outside /test/ is processed
  milliseconds mLatency{ 0 };
  boost::json::array mStartLog; // one entry for each task started
  route_table mRoutes;
};

} // namespace briarwind
