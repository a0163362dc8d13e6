#pragma once

#include "briarwind/log.h"
#include "briarwind/metrics.h"

#include <span>

namespace briarwind::events {

inline constexpr event_kind kRouterStarted{ 2001, log_level::kInfo, "router.started",
                                            "The router accepts connections from callers." };
inline constexpr event_kind kRouterStopping{
  2002, log_level::kInfo, "router.stopping",
  "The router received a stop signal; it reports not ready and accepts new requests until the "
  "balancer lag has passed."
};
inline constexpr event_kind kRouterDraining{
  2003, log_level::kInfo, "router.draining",
  "The router accepts no new connections; requests in flight may finish within the drain time."
};
inline constexpr event_kind kRouterStopped{ 2004, log_level::kInfo, "router.stopped",
                                            "The router exits; every request was answered." };
inline constexpr event_kind kRouterCutRequests{
  2005, log_level::kError, "router.cut-requests",
  "The router exits with requests in flight after the drain time; their callers get no answer."
};
inline constexpr event_kind kRouterFailed{ 2006, log_level::kError, "router.failed",
                                           "The router could not start and exits." };
inline constexpr event_kind kInstanceEjected{
  2020, log_level::kWarning, "router.instance-ejected",
  "An instance failed too often and was ejected: it gets no requests for a while."
};
inline constexpr event_kind kAnswerRejected{
  2021, log_level::kWarning, "router.answer-rejected",
  "An instance gave no usable answer; the request may have run, and its outcome is unknown."
};
inline constexpr event_kind kMembersChanged{
  2030, log_level::kInfo, "router.members-changed",
  "The list of routers that share the instances changed; their shares are computed again."
};
inline constexpr event_kind kViewNotConfirmed{
  2031, log_level::kWarning, "router.view-not-confirmed",
  "The list of routers was not confirmed in time by the store or by enough other routers; no "
  "request starts until it is."
};
inline constexpr event_kind kViewConfirmed{
  2032, log_level::kInfo, "router.view-confirmed",
  "The list of routers is confirmed again; requests may start."
};

/// Every log event of briarwind-router.
std::span<const event_kind> RouterEvents();

} // namespace briarwind::events

namespace briarwind::meters {

inline constexpr metric_kind kRequests{ metric_type::kCounter, "briarwind_router_requests_total",
                                        "reason", "Requests answered, by reason." };
inline constexpr metric_kind kOutcomes{ metric_type::kCounter, "briarwind_router_outcomes_total",
                                        "outcome", "Requests answered, by outcome." };
inline constexpr metric_kind kRetries{ metric_type::kCounter, "briarwind_router_retries_total",
                                       "reason", "Requests tried again, by end of the attempt." };
inline constexpr metric_kind kRetriesDenied{ metric_type::kCounter,
                                             "briarwind_router_retries_denied_total", "reason",
                                             "Retries that the retry budget did not allow." };
inline constexpr metric_kind kLateAnswers{ metric_type::kCounter,
                                           "briarwind_router_late_answers_total", "",
                                           "Answers that came after their caller was told "
                                           "unknown; discarded." };
inline constexpr metric_kind kEjections{ metric_type::kCounter, "briarwind_router_ejections_total",
                                         "", "Times that an instance was ejected." };
inline constexpr metric_kind kCallerRefusals{ metric_type::kCounter,
                                              "briarwind_router_caller_refusals_total", "kind",
                                              "Connections and requests refused before routing." };
inline constexpr metric_kind kRequestTime{ metric_type::kSummary,
                                           "briarwind_router_request_seconds", "outcome",
                                           "Time from the whole request to its answer." };
inline constexpr metric_kind kQueued{ metric_type::kGauge, "briarwind_router_queued", "",
                                      "Requests that wait for an instance." };
inline constexpr metric_kind kRunning{ metric_type::kGauge, "briarwind_router_running", "",
                                       "Requests on instances, abandoned ones included." };
inline constexpr metric_kind kInstances{ metric_type::kGauge, "briarwind_router_instances", "",
                                         "Instances that are not leaving." };
inline constexpr metric_kind kMembers{ metric_type::kGauge, "briarwind_router_members", "",
                                       "Routers that share the instances." };
inline constexpr metric_kind kConnections{ metric_type::kGauge, "briarwind_router_connections", "",
                                           "Open connections of callers." };

/// Every metric of briarwind-router.
std::span<const metric_kind> RouterMetrics();

} // namespace briarwind::meters
