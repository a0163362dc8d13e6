#include "control_events.h"

#include <array>

namespace briarwind {

namespace {

constexpr std::array kEvents{
  kStoreViewLost,        kStoreViewRegained,  kStoreDetour,
  kStoreDirect,          kLeadGained,         kLeadLost,
  kLeadConfirmed,        kLeadUnconfirmed,    kLeadNotHandedOver,
  kLeadRefused,          kTakenOver,          kTakeOverFailed,
  kRegistryLost,         kRegistryRegained,   kWorkJobKnown,
  kWorkStarted,          kWorkStartFailed,    kWorkEnded,
  kWorkEvicted,          kWorkStopped,        kWorkLost,
  kWorkJobOver,          kWorkWorkerRestored, kWorkWorkerLost,
  kWorkWorkerDistrusted, kWorkUnreadable,     kWorkForgotten,
  kJobAccepted,          kJobRefused,         kJobUnclear,
  kJobCancelAsked,       kSettingsInForce,    kSettingsUnreadable,
  kDomainsChanged,       kNodeStarted,        kNodeStopping,
  kNodeStopped,          kNodeReady,          kNodeReloaded,
  kNodeReloadFailed,     kLogLinesDropped,
};

constexpr std::array kMetrics{
  kStoreCalls,       kStoreFailures,  kStoreRelists,     kStoreDetours,
  kWorkDecisionTime, kWorkWriteTime,  kWorkWriteRetries, kWorkOrders,
  kWorkStops,        kWorkLooks,      kAdviceCalls,      kWorkNotes,
  kCallerCalls,      kCallerRefusals, kCallerTime,       kPeerCalls,
};

} // namespace

std::span<const event_kind> ControlEvents()
{
  return kEvents;
}

std::span<const metric_kind> ControlMetrics()
{
  return kMetrics;
}

} // namespace briarwind
