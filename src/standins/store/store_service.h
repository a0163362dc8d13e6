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

// Switches of POST /test/faults.
struct store_faults
{
  bool mDown = false; // every connection is cut
  milliseconds mLatency{ 0 };
  std::int64_t mLoseAnswers = 0; // so many writes take effect and their connection is cut
  bool mCutWatches = false;
};

// The store's calls over HTTP, with faults and watches.
class store_service
{
public:
  explicit store_service(milliseconds aProgress);

  http_response Answer(const http_request& aRequest);
  // Lets leases lapse; to be called several times a second.
  void Tick();
  // Ends all watches, so that the server can drain.
  void Stop();

private:
  using object = boost::json::object;

  void AddStoreRoutes();
  void AddLeaseRoutes();
  void AddTestRoutes();
  // Adds a call of the store: counted, and under the faults.
  void AddCall(const std::string& aPath, http_response (store_service::*aCall)(const object&));

  http_response Range(const object& aBody);
  http_response Put(const object& aBody);
  http_response Transaction(const object& aBody);
  http_response Grant(const object& aBody);
  http_response KeepAlive(const object& aBody);
  http_response Revoke(const object& aBody);
  http_response Watch(const object& aBody);

  // Answers a write that took effect, unless its answer is to be lost.
  http_response Written(const object& aBody);
  void WriteChanges(http_chunk_writer& aWriter, const key_range& aKeys, store_revision aFrom);
  http_response SetFaults(const object& aBody);
  http_response Restore();
  object Calls() const;

  milliseconds mProgress;
  store_state mStore;
  store_faults mFaults;
  std::map<std::string, std::int64_t> mCalls;
  std::int64_t mWatchGeneration = 0; // a watch of an older one ends
  route_table mRoutes;
  boost::fibers::mutex mMutex;
  boost::fibers::condition_variable mChanged;
};

} // namespace briarwind
