#pragma once

#include "briarwind/http.h"
#include "briarwind/route_table.h"
#include "briarwind/time.h"
#include "standins/worker/worker_state.h"

#include <boost/json.hpp>

#include <cstdint>
#include <string>

namespace briarwind {

// What does not change in the life of a worker.
struct worker_identity
{
  std::string mName;
  std::string mDomain;
  std::string mRack;
  resource_shape mCapacity;
  milliseconds mUsageLag{ 0 };
  milliseconds mCheckpointTime{ 0 };
  std::int64_t mIncarnation = 0;
};

// A worker's calls over HTTP, with faults.
class worker_service
{
public:
  explicit worker_service(worker_identity aIdentity);

  http_response Answer(const http_request& aRequest);
  // Lets times that have passed take effect, unless the worker is frozen.
  void Tick();
  // Ends a freeze, so that the server can drain.
  void Thaw() { mFrozen = false; }

private:
  using object = boost::json::object;

  void AddLeaseRoutes();
  void AddReportRoutes();
  void AddTestRoutes();
  // Waits out the faults that delay an answer.
  void Delay() const;

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
  bool mFrozen = false;
  milliseconds mLatency{ 0 };
  boost::json::array mStarts;
  route_table mRoutes;
};

} // namespace briarwind
