#pragma once

#include "caller_request.h"
#include "instance_connections.h"

#include "briarwind/metrics.h"
#include "briarwind/routing_core.h"

#include <map>
#include <memory>
#include <optional>

namespace briarwind {

/// The result of routing one request.
struct routed_answer
{
  reason mReason = reason::kAnswered;
  std::optional<http_response> mResponse; ///< the instance's response, when it may be passed on
};

/// Limits of each attempt on an instance.
struct broker_limits
{
  milliseconds mConnectTimeout{ 1'000 };
  /// How long after its deadline a request keeps its slot until the instance answers.
  milliseconds mLinger{ 30'000 };
  /// Longest response of an instance, in bytes.
  std::size_t mMaxResponseBytes = std::size_t{ 16 } << 20U;
};

/// Executes the decisions of the routing core. Each caller is served by a fiber that waits for the
/// result, and each attempt on an instance runs in a fiber of its own.
class request_broker
{
public:
  request_broker(fiber_runtime& aRuntime, routing_core& aCore, metrics& aMetrics,
                 broker_limits aLimits = {});
  ~request_broker();
  request_broker(const request_broker&) = delete;
  request_broker& operator=(const request_broker&) = delete;

  /// Suspends until the request is answered or refused, or until its deadline passes.
  routed_answer Route(const caller_request& aCaller, const http_request& aRequest,
                      instant aDeadline);
  /// Executes the actions that the core decided on; must be called after each event passed to it.
  void ExecuteActions();
  /// Passes the current time to the core and executes the actions that follow from it.
  void Tick();
  /// Closes the idle connections to each instance that exceed this router's share of its slots.
  void TrimConnections();

private:
  struct waiting_caller;
  struct attempt;

  void Execute(const start_action& aAction);
  void Execute(const conclude_action& aAction);
  void Execute(const retry_action& aAction);
  void Execute(const eject_action& aAction);

  void RunAttempt(const std::shared_ptr<attempt>& aAttempt);
  reason Exchange(attempt& aAttempt, std::unique_ptr<http_connection> aConnection);
  void ConcludeAtDeadline(request_number aNumber, waiting_caller& aCaller);

  fiber_runtime& mRuntime;
  routing_core& mCore;
  metrics& mMetrics;
  broker_limits mLimits;
  instance_connections mConnections;
  request_number mNextNumber = 1;
  std::map<request_number, std::shared_ptr<waiting_caller>> mWaitingCallers;
};

/// Returns the reason that the caller of request aRequestId gets for the result of an exchange.
reason ClassifyExchange(const http_exchange& aExchange, std::string_view aRequestId);

} // namespace briarwind
