#include "control_events.h"

#include <array>

namespace briarwind {

namespace {

constexpr std::array kEvents{
  kStoreViewLost,
  kStoreViewRegained,
  kStoreRelayed,
  kStoreDirect,
  kLeadershipGained,
  kLeadershipLost,
  kLeadershipConfirmed,
  kLeadershipUnconfirmed,
  kLeadershipNotReleased,
  kLeadershipSuperseded,
  kLeadershipReclaimed,
  kTakeoverLoaded,
  kTakeoverLoadFailed,
  kRegistryLost,
  kRegistryRegained,
  kRegistryUnreadable,
  kWorkJobKnown,
  kWorkStarted,
  kWorkStartFailed,
  kWorkEnded,
  kWorkEvicted,
  kWorkStopped,
  kWorkLost,
  kWorkJobOver,
  kWorkWorkerRestored,
  kWorkWorkerLost,
  kWorkWorkerQuarantined,
  kWorkRecordUnreadable,
  kWorkForgotten,
  kWorkNotRemoved,
  kWorkWaitsForLimit,
  kWorkWaitsBesideIdle,
  kWorkRackReserved,
  kWorkOccurrencesWait,
  kWorkWriteRefused,
  kWorkWorkerSlow,
  kWorkWorkerNotSlow,
  kWorkWorkerFlaps,
  kWorkInterferenceLearned,
  kWorkInterferenceApplied,
  kWorkInterferenceForgotten,
  kWorkPaceChanged,
  kJobAccepted,
  kJobRefused,
  kJobOutcomeUnclear,
  kJobCancelAccepted,
  kJobCancelledEarly,
  kStateFromLeader,
  kSettingsInForce,
  kSettingsUnreadable,
  kDomainsChanged,
  kSettingsOlder,
  kNodeStarted,
  kNodeStopping,
  kNodeStopped,
  kNodeReady,
  kNodeReloaded,
  kNodeReloadFailed,
  kLogLinesDropped,
  kRequestFailed,
  kClientRefused,
};

constexpr std::array kMetrics{
  kStoreCalls,         kStoreFailures,
  kStoreRelists,       kStoreRelays,
  kSettingsVersion,    kSettingsIgnored,
  kWorkDecisionTime,   kWorkWriteTime,
  kWorkWriteRetries,   kWorkRemovalRetries,
  kStartOrders,        kStopOrders,
  kWorkPolls,          kRegistryUnreadableEntries,
  kAdviceCalls,        kCoreDecisions,
  kCallerCalls,        kCallerRefusals,
  kHttpRefusals,       kCallerTime,
  kPeerCalls,          kOrganisationUse,
  kOrganisationLimit,  kInterferingPairs,
  kPaceOrders,         kHttpBudgetUsed,
  kHttpBudgetTotal,    kLimitWaits,
  kIdleWaits,          kStepsBesideIdle,
  kReservedRacks,      kJobsBehindSchedule,
  kWritesRefused,      kJobsWithRefusedRecord,
  kEarlyCancellations,
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
