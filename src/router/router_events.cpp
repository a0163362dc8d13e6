#include "router_events.h"

#include <array>

namespace briarwind::events {

std::span<const event_kind> RouterEvents()
{
  static constexpr std::array kAll{
    kRouterStarted,     kRouterStopping,   kRouterDraining,  kRouterStopped,
    kRouterCutRequests, kRouterFailed,     kInstanceEjected, kAnswerRejected,
    kMembersChanged,    kViewNotConfirmed, kViewConfirmed,
  };
  return kAll;
}

} // namespace briarwind::events

namespace briarwind::meters {

std::span<const metric_kind> RouterMetrics()
{
  static constexpr std::array kAll{
    kRequests,    kOutcomes, kRetries, kRetriesDenied, kLateAnswers, kEjections,   kCallerRefusals,
    kRequestTime, kQueued,   kRunning, kInstances,     kMembers,     kConnections,
  };
  return kAll;
}

} // namespace briarwind::meters
