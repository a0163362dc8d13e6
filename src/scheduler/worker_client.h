#pragma once

#include "briarwind/endpoint.h"
#include "briarwind/http_client.h"
#include "briarwind/job_core.h"
#include "briarwind/metrics.h"

#include <functional>
#include <optional>
#include <string>

namespace briarwind {

/// Speaks to workers by the interface of docs/API.md. Every call ends with an outcome: refused
/// means certainly not done, unknown that it may have been.
class worker_client
{
public:
  /// @param aOnStaleEpoch called when a worker has seen a higher epoch than ours
  worker_client(fiber_runtime& aRuntime, metrics& aMetrics, std::function<void()> aOnStaleEpoch);

  reserve_finished Reserve(const endpoint& aWorker, const reserve_lease& aAction);
  /// @param aMaySend asked after the last wait before the start is sent
  start_finished Start(const endpoint& aWorker, const start_lease& aAction,
                       const http_pool::send_check& aMaySend);
  stop_finished Stop(const endpoint& aWorker, const stop_lease& aAction);
  stop_finished Release(const endpoint& aWorker, const release_lease& aAction);
  void Forget(const endpoint& aWorker, const forget_lease& aAction);
  /// Also works without leases: it tells the worker our epoch and shows that it answers.
  std::optional<lease_report> Renew(const endpoint& aWorker, const renew_leases& aAction,
                                    const http_pool::send_check& aMaySend);
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
  std::string NoteRefusal(const http_response& aResponse);
  stop_finished StopLease(const endpoint& aWorker, const call& aCall, const member_id& aMember);

  http_pool mPool;
  metrics& mMetrics;
  std::function<void()> mOnStaleEpoch;
};

} // namespace briarwind
