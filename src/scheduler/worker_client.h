#pragma once

#include "briarwind/endpoint.h"
#include "briarwind/http_client.h"
#include "briarwind/job_core.h"
#include "briarwind/metrics.h"

#include <functional>
#include <optional>
#include <string>

namespace briarwind {

/// Client of the workers' HTTP interface, described in docs/API.md. In the results, kRefused means
/// that the call certainly had no effect and kUnknown that it may have had one. Calls suspend the
/// fiber and have timeouts of their own.
class worker_client
{
public:
  /// @param aOnStaleEpoch called when a worker refuses a call because it has seen a higher epoch
  worker_client(fiber_runtime& aRuntime, metrics& aMetrics, std::function<void()> aOnStaleEpoch);

  reserve_finished Reserve(const endpoint& aWorker, const reserve_lease& aAction);
  /// @param aMaySend checked after the last wait before the request is sent; when it returns false,
  ///   nothing is sent and the outcome is kRefused
  start_finished Start(const endpoint& aWorker, const start_lease& aAction,
                       const http_pool::send_check& aMaySend);
  stop_finished Stop(const endpoint& aWorker, const stop_lease& aAction);
  stop_finished Release(const endpoint& aWorker, const release_lease& aAction);
  /// Lets the worker drop a lease that has ended. Not repeated when the call fails.
  void Forget(const endpoint& aWorker, const forget_lease& aAction);
  /// Renews leases; nullopt when the worker did not answer or refused the call. An action without
  /// leases announces the epoch to the worker and shows that the worker answers.
  std::optional<lease_report> Renew(const endpoint& aWorker, const renew_leases& aAction,
                                    const http_pool::send_check& aMaySend);
  /// Reads all leases of a worker; nullopt when the call failed.
  std::optional<worker_listing> List(const endpoint& aWorker, const std::string& aName);

private:
  struct call
  {
    const char* mName;
    std::string mTarget;
    std::string mBody;
    milliseconds mTimeout;
  };

  io_result<http_response> Post(const endpoint& aWorker, const call& aCall,
                                const http_pool::send_check& aMaySend);
  io_result<http_response> Post(const endpoint& aWorker, const call& aCall);
  /// Counts a refusal, reports a stale epoch to the observer and returns the reason in the answer.
  std::string RecordRefusal(const http_response& aResponse);
  stop_finished StopLease(const endpoint& aWorker, const call& aCall, const member_id& aMember);

  http_pool mPool;
  metrics& mMetrics;
  std::function<void()> mOnStaleEpoch;
};

} // namespace briarwind
