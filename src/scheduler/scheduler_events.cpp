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
  decision_event{
    decision_kind::kPlaced,
    { 3101, kInfo, "job.placed",
      "Workers were chosen for an attempt of a job; `worker` names the first of them." } },
  decision_event{ decision_kind::kRunning,
                  { 3102, kInfo, "job.running",
                    "Every member of a job's attempt has started; those that have not finished yet "
                    "are running." } },
  decision_event{
    decision_kind::kEvicted,
    { 3103, kInfo, "job.evicted",
      "An attempt of a job was preempted to free resources for the job in `other`." } },
  decision_event{ decision_kind::kDraining,
                  { 3104, kInfo, "job.draining",
                    "Resources that become free on the workers planned for a large, long-waiting "
                    "job are reserved for it; `worker` names the first of them." } },
  decision_event{ decision_kind::kWithdrawn,
                  { 3105, kInfo, "job.withdrawn",
                    "An attempt of a job was stopped because its failure domain is withdrawn or "
                    "its worker is leaving; `reason` says which." } },
  decision_event{ decision_kind::kAttemptAborted,
                  { 3106, kWarning, "job.attempt-aborted",
                    "An attempt of a job is being stopped, for the cause in `reason`, such as a "
                    "member that was refused, lost or failed, a record that was not written, an "
                    "eviction, a withdrawal or a takeover; the job is queued again, or ends with "
                    "an unknown outcome if it has started and must not be repeated." } },
  decision_event{ decision_kind::kFinished,
                  { 3107, kInfo, "job.finished", "All members of a job finished." } },
  decision_event{ decision_kind::kFailed,
                  { 3108, kWarning, "job.failed",
                    "A job failed, for the cause in `reason`; it is not tried again." } },
  decision_event{ decision_kind::kCancelled,
                  { 3109, kInfo, "job.cancelled", "A job was cancelled by its caller." } },
  decision_event{ decision_kind::kOutcomeUnknown,
                  { 3110, kWarning, "job.unknown",
                    "It is unknown whether a job that must not be repeated has run; the job is not "
                    "started again, and an operator has to decide." } },
  decision_event{
    decision_kind::kImpossibleForNow,
    { 3111, kWarning, "job.impossible-now",
      "No live workers could hold the job even if they were empty; the job waits." } },
  decision_event{ decision_kind::kWorkerQuarantined,
                  { 3112, kWarning, "worker.quarantined",
                    "Tasks failed on a worker repeatedly; the worker is quarantined, and after a "
                    "delay it is probed with one task at a time." } },
  decision_event{
    decision_kind::kWorkerProbed,
    { 3113, kInfo, "worker.probed", "A quarantined worker may take one probe task." } },
  decision_event{ decision_kind::kWorkerCleared,
                  { 3114, kInfo, "worker.cleared",
                    "A worker left quarantine because its probe task succeeded or, as `reason` "
                    "then says, there was no job to probe it with." } },
  decision_event{ decision_kind::kQuarantineCapped,
                  { 3115, kWarning, "worker.quarantine-capped",
                    "Tasks failed on a worker repeatedly, but it is not quarantined because the "
                    "limit of quarantined workers is reached." } },
  decision_event{
    decision_kind::kJobAtFault,
    { 3116, kWarning, "job.at-fault",
      "A job failed on several healthy workers, or too often in total; it is not tried again." } },
  decision_event{ decision_kind::kRecordConflict,
                  { 3117, kWarning, "record.conflict",
                    "Another scheduler wrote the record of a job first; this scheduler drops the "
                    "job or continues from the stored record." } },
  decision_event{
    decision_kind::kStaleAnswer,
    { 3118, kInfo, "answer.stale",
      "An answer came for an attempt or a record write that is over; it is ignored." } },
  decision_event{ decision_kind::kLeaseOrphaned,
                  { 3119, kWarning, "lease.orphaned",
                    "A worker runs a task under a lease that no job record explains; the task is "
                    "being stopped." } },
  decision_event{ decision_kind::kCellsMoved,
                  { 3120, kInfo, "guarantee.moved",
                    "Guaranteed shapes were bound to other workers; `reason` holds how many." } },
  decision_event{ decision_kind::kGuaranteeUnmet,
                  { 3121, kWarning, "guarantee.unmet",
                    "Guaranteed shapes have no place on the live workers at present; `reason` "
                    "holds how many." } },
};

constexpr std::array kSchedulerEvents{
  kLeaderElected,    kLeaderLost,        kLeaderUnconfirmed, kTakeoverDone,
  kTakeoverFailed,   kWorkerUnreachable, kWorkerReachable,   kStartHeldBack,
  kRecordUnreadable, kFreshnessChanged,  kJobResubmitted,
};

constexpr std::array kAllMetrics{
  kWorkerCalls, kWorkerFailures,        kSubmissions,    kDecisions,
  kForwards,    kSchedulerHttpRefusals, kStartsHeldBack, kIsLeader,
  kIsFresh,     kJobsByState,           kAccelerators,   kDecisionTime,
};

constexpr auto AllEvents()
{
  std::array<event_kind, kSchedulerEvents.size() + kDecisionEvents.size()> all{};
  auto next = std::ranges::copy(kSchedulerEvents, all.begin()).out;
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
