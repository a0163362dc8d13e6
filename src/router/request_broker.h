#pragma once

#include "caller_request.h"
#include "instance_connections.h"

#include "briarwind/metrics.h"
#include "briarwind/routing_core.h"

#include <map>
#include <memory>
#include <optional>

namespace briarwind {

/// How a caller's request ended.
struct routed_answer
{
  reason mReason = reason::kAnswered;
  std::optional<http_response> mResponse; ///< of the instance, when it may be handed over
};

struct broker_limits
{
  milliseconds mConnectTimeout{ 1'000 };
  /// How long an abandoned request may keep its slot until the instance answers.
  milliseconds mLinger{ 30'000 };
  std::size_t mAnswerBytes = std::size_t{ 16 } << 20U;
};

/// Carries out what the routing core decides: one fiber waits for each caller, one runs each
/// attempt on an instance.
class request_broker
{
public:
  request_broker(fiber_runtime& aRuntime, routing_core& aCore, metrics& aMetrics,
                 broker_limits aLimits = {});
  ~request_broker();
  request_broker(const request_broker&) = delete;
  request_broker& operator=(const request_broker&) = delete;

  /// Suspends until the request is answered or refused, not beyond its deadline.
  routed_answer Route(const caller_request& aCaller, const http_request& aRequest,
                      instant aDeadline);
  /// Carries out the core's actions; to be called after each event handed to the core.
  void Pump();
  /// Time has passed.
  void Tick();
  /// Closes idle connections beyond this router's share.
  void TrimConnections();

private:
  struct waiting_caller;
  struct attempt;

  void Carry(const start_action& aAction);
  void Carry(const conclude_action& aAction);
  void Carry(const retry_action& aAction);
  void Carry(const eject_action& aAction);

  void RunAttempt(const std::shared_ptr<attempt>& aAttempt);
  reason Exchange(attempt& aAttempt, std::unique_ptr<http_connection> aConnection);
  void EndAtDeadline(request_number aNumber, waiting_caller& aCaller);

  fiber_runtime& mRuntime;
  routing_core& mCore;
  metrics& mMetrics;
  broker_limits mLimits;
  instance_connections mConnections;
  request_number mNext = 1;
  std::map<request_number, std::shared_ptr<waiting_caller>> mCallers;
};

/// What an exchange means for the caller of aRequestId.
reason Classify(const http_exchange& aExchange, std::string_view aRequestId);

} // namespace briarwind
