#include "control_events.h"

#include <array>

namespace briarwind {

namespace {

constexpr std::array kEvents{
  kStoreViewLost,      kStoreViewRegained, kStoreRelayed,
  kStoreDirect,        kLeadGained,        kLeadLost,
  kLeadConfirmed,      kLeadUnconfirmed,   kLeadNotHandedOver,
  kLeadRefused,        kLeadReclaimed,     kTakenOver,
  kTakeOverFailed,     kRegistryLost,      kRegistryRegained,
  kRegistryUnreadable, kWorkJobKnown,      kWorkStarted,
  kWorkStartFailed,    kWorkEnded,         kWorkEvicted,
  kWorkStopped,        kWorkLost,          kWorkJobOver,
  kWorkWorkerRestored, kWorkWorkerLost,    kWorkWorkerQuarantined,
  kWorkUnreadable,     kWorkForgotten,     kJobAccepted,
  kJobRefused,         kJobUnclear,        kJobCancelAsked,
  kStateFromLeader,    kSettingsInForce,   kSettingsUnreadable,
  kDomainsChanged,     kNodeStarted,       kNodeStopping,
  kNodeStopped,        kNodeReady,         kNodeReloaded,
  kNodeReloadFailed,   kLogLinesDropped,   kRequestFailed,
};

constexpr std::array kMetrics{
  kStoreCalls,
  kStoreFailures,
  kStoreRelists,
  kStoreRelays,
  kWorkDecisionTime,
  kWorkWriteTime,
  kWorkWriteRetries,
  kWorkOrders,
  kWorkStops,
  kWorkPolls,
  kRegistryUnreadableEntries,
  kAdviceCalls,
  kWorkNotes,
  kCallerCalls,
  kCallerRefusals,
  kHttpRefusals,
  kCallerTime,
  kPeerCalls,
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
