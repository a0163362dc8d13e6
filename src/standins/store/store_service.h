#pragma once

#include "briarwind/http.h"
#include "briarwind/metrics.h"
#include "briarwind/route_table.h"
#include "briarwind/time.h"
#include "standins/store/store_json.h"
#include "standins/store/store_state.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace briarwind {

// Faults set by POST /test/faults.
struct store_faults
{
  bool mDown = false;         // every call has its connection cut, every watch ends
  milliseconds mLatency{ 0 }; // delay before each call takes effect
  // Number of further writes that take effect and have their connection cut in place of a response.
  std::int64_t mResponsesToDrop = 0;
  bool mCutWatches = false; // every watch ends, new ones have their connection cut
};

// Serves the subset of the etcd v3 JSON gateway that briarwind uses, with fault injection and
// watches.
class store_service
{
public:
  // @param aProgressInterval interval at which a watch without changes writes a line
  explicit store_service(milliseconds aProgressInterval);

  http_response Answer(const http_request& aRequest);
  // Revokes expired leases and wakes the watches; to be called several times a second.
  void ExpireLeases();
  // Ends all open watches, for example so that the server can drain.
  void EndWatches();

private:
  using object = boost::json::object;

  void AddKeyValueRoutes();
  void AddLeaseRoutes();
  void AddTestRoutes();
  // Adds a route of the gateway. Its calls are counted and subject to the injected faults.
  void AddRpc(const std::string& aPath, http_response (store_service::*aHandler)(const object&));

  http_response Range(const object& aBody);
  http_response Put(const object& aBody);
  http_response Transaction(const object& aBody);
  http_response Grant(const object& aBody);
  http_response KeepAlive(const object& aBody);
  http_response Revoke(const object& aBody);
  http_response Watch(const object& aBody);

  // Wakes the watches and responds to a write that took effect, or cuts its connection if the fault
  // mResponsesToDrop is set.
  http_response AcknowledgeWrite(const object& aBody);
  void StreamChanges(http_chunk_writer& aWriter, const key_range& aKeys, store_revision aFrom);
  http_response SetFaults(const object& aBody);
  http_response Restore();
  object CallCounts() const;

  milliseconds mProgressInterval;
  store_state mStore;
  store_faults mFaults;
  std::map<std::string, std::int64_t> mCallCounts;
  std::int64_t mWatchGeneration = 0; // incremented to end all open watches
  route_table mRoutes;
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mStoreChanged;
};

} // namespace briarwind
