#include "scheduler_events.h"

#include <algorithm>
#include <array>

namespace briarwind {

namespace {

struct decision_event
{
  decision_kind mDecision;
  event_kind mEvent;
};

constexpr auto kInfo = log_level::kInfo;
constexpr auto kWarning = log_level::kWarning;

constexpr std::array kDecisionEvents{
  decision_event{ decision_kind::kPlaced,
                  { 3101, kInfo, "job.placed", "Workers were chosen for an attempt." } },
  decision_event{ decision_kind::kRunning,
                  { 3102, kInfo, "job.running", "All members of a job run." } },
  decision_event{ decision_kind::kEvicted,
                  { 3103, kInfo, "job.evicted", "A job was stopped to make room for another." } },
  decision_event{ decision_kind::kDraining,
                  { 3104, kInfo, "job.draining",
                    "A large gang waited long and now holds workers as they become free." } },
  decision_event{
    decision_kind::kWithdrawn,
    { 3105, kInfo, "job.withdrawn", "A job was stopped because its domain or worker leaves." } },
  decision_event{ decision_kind::kAttemptAborted,
                  { 3106, kWarning, "job.attempt-aborted",
                    "A member was refused or lost, so the whole attempt was stopped." } },
  decision_event{ decision_kind::kFinished,
                  { 3107, kInfo, "job.finished", "All members of a job finished." } },
  decision_event{ decision_kind::kFailed, { 3108, kWarning, "job.failed", "A job failed." } },
  decision_event{ decision_kind::kCancelled,
                  { 3109, kInfo, "job.cancelled", "A job was cancelled by its caller." } },
  decision_event{
    decision_kind::kUnknownFate,
    { 3110, kWarning, "job.unknown",
      "Whether a job that must not be repeated ran is not known; a person decides." } },
  decision_event{ decision_kind::kImpossibleForNow,
                  { 3111, kWarning, "job.impossible-now",
                    "No live workers could hold the job even when empty." } },
  decision_event{ decision_kind::kWorkerQuarantined,
                  { 3112, kWarning, "worker.quarantined",
                    "A worker fails what it starts and gets one probe task at a time." } },
  decision_event{ decision_kind::kWorkerProbed,
                  { 3113, kInfo, "worker.probed", "A quarantined worker got a probe task." } },
  decision_event{ decision_kind::kWorkerCleared,
                  { 3114, kInfo, "worker.cleared", "A worker left quarantine." } },
  decision_event{ decision_kind::kQuarantineCapped,
                  { 3115, kWarning, "worker.quarantine-capped",
                    "A worker fails its tasks, but too many are in quarantine already." } },
  decision_event{ decision_kind::kJobAtFault,
                  { 3116, kWarning, "job.at-fault",
                    "A job failed on several healthy workers and is given up." } },
  decision_event{
    decision_kind::kRecordConflict,
    { 3117, kWarning, "record.conflict", "Another scheduler wrote the record of a job first." } },
  decision_event{ decision_kind::kStaleAnswer,
                  { 3118, kInfo, "answer.stale", "An answer came for an attempt that is over." } },
  decision_event{ decision_kind::kLeaseOrphaned,
                  { 3119, kWarning, "lease.orphaned",
                    "A worker had a lease that no record explains; it was stopped." } },
  decision_event{
    decision_kind::kCellsMoved,
    { 3120, kInfo, "guarantee.moved", "Guaranteed shapes were bound to other workers." } },
  decision_event{ decision_kind::kGuaranteeUnmet,
                  { 3121, kWarning, "guarantee.unmet",
                    "A guaranteed shape has no place on the live workers at present." } },
};

constexpr std::array kOwnEvents{
  kLeaderElected,    kLeaderLost,        kLeaderUnconfirmed, kTakeoverDone,
  kTakeoverFailed,   kWorkerUnreachable, kWorkerReachable,   kStartHeldBack,
  kRecordUnreadable, kFreshnessChanged,  kResubmitted,
};

constexpr std::array kAllMetrics{
  kWorkerCalls, kWorkerFailures,        kSubmissions,    kDecisions,
  kForwards,    kSchedulerHttpRefusals, kStartsHeldBack, kIsLeader,
  kIsFresh,     kJobsByState,           kAccelerators,   kDecisionTime,
};

constexpr auto AllEvents()
{
  std::array<event_kind, kOwnEvents.size() + kDecisionEvents.size()> all{};
  auto next = std::ranges::copy(kOwnEvents, all.begin()).out;
  std::ranges::transform(kDecisionEvents, next, &decision_event::mEvent);
  return all;
}

constexpr auto kAllEvents = AllEvents();

} // namespace

const event_kind& EventOf(decision_kind aKind)
{
  const auto found = std::ranges::find(kDecisionEvents, aKind, &decision_event::mDecision);
  return found->mEvent;
}

std::span<const event_kind> SchedulerEvents()
{
  return kAllEvents;
}

std::span<const metric_kind> SchedulerMetrics()
{
  return kAllMetrics;
}

} // namespace briarwind
