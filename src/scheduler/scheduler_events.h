#pragma once

#include "briarwind/job_core.h"
#include "briarwind/log.h"
#include "briarwind/metrics.h"

#include <span>

namespace briarwind {

inline constexpr event_kind kLeaderElected{
  3001, log_level::kInfo, "leader.elected",
  "This scheduler became the leader, with fencing epoch `epoch`; it manages the queue once it has "
  "taken over the job records and the leases."
};
inline constexpr event_kind kLeaderLost{
  3002, log_level::kWarning, "leader.lost",
  "This scheduler is no longer the leader, for the cause in `reason`; running tasks continue under "
  "the next leader."
};
inline constexpr event_kind kLeaderUnconfirmed{
  3003, log_level::kWarning, "leader.unconfirmed",
  "The store did not answer the leader's heartbeat; this scheduler keeps leading while a majority "
  "of the members confirms its epoch, and steps down otherwise."
};
inline constexpr event_kind kTakeoverDone{
  3004, log_level::kInfo, "takeover.done",
  "The new leader has read the job records and the leases of the workers in `workers`, and starts "
  "scheduling."
};
inline constexpr event_kind kTakeoverFailed{
  3005, log_level::kWarning, "takeover.failed",
  "A takeover did not complete because the job records could not be read or the epoch changed; a "
  "scheduler that still leads tries again."
};
inline constexpr event_kind kWorkerUnreachable{
  3010, log_level::kWarning, "worker.unreachable",
  "A worker has not answered for longer than the lease time to live; the attempts on it are "
  "stopped and the worker gets no tasks until it answers."
};
inline constexpr event_kind kWorkerReachable{
  3011, log_level::kInfo, "worker.reachable",
  "A worker that was unreachable answers again and may get tasks."
};
inline constexpr event_kind kStartHeldBack{
  3012, log_level::kWarning, "start.held-back",
  "A start was decided but not sent, because the reservation was too old, the epoch had changed, "
  "or the leader or the settings were no longer confirmed, as after a pause of the process; the "
  "attempt is stopped."
};
inline constexpr event_kind kRecordUnreadable{
  3013, log_level::kError, "record.unreadable",
  "A job record in the store cannot be parsed, for the cause in `why`; it stays in the store "
  "unchanged and the takeover leaves its job out."
};
inline constexpr event_kind kFreshnessChanged{
  3014, log_level::kInfo, "freshness.changed",
  "The freshness of the settings or the reason for it changed; while `fresh` is false the settings "
  "are not confirmed and nothing is reserved or started."
};
inline constexpr event_kind kJobResubmitted{
  3015, log_level::kInfo, "job.resubmitted",
  "A job whose state was not in the store when this scheduler stepped down was submitted again "
  "and accepted."
};

inline constexpr metric_kind kWorkerCalls{ metric_type::kCounter,
                                           "briarwind_scheduler_worker_calls_total", "call",
                                           "Calls to workers by kind." };
inline constexpr metric_kind kWorkerFailures{ metric_type::kCounter,
                                              "briarwind_scheduler_worker_failures_total", "reason",
                                              "Calls to workers without the wanted answer, by "
                                              "reason." };
inline constexpr metric_kind kSubmissions{ metric_type::kCounter,
                                           "briarwind_scheduler_submissions_total", "outcome",
                                           "Submissions by outcome." };
inline constexpr metric_kind kDecisions{ metric_type::kCounter,
                                         "briarwind_scheduler_decisions_total", "kind",
                                         "Decisions of the core by kind." };
inline constexpr metric_kind kForwards{ metric_type::kCounter, "briarwind_scheduler_forwards_total",
                                        "outcome", "Calls handed on to the leader, by outcome." };
inline constexpr metric_kind kSchedulerHttpRefusals{ metric_type::kCounter,
                                                     "briarwind_scheduler_http_refusals_total",
                                                     "reason",
                                                     "Connections and requests that the server "
                                                     "refused by itself." };
inline constexpr metric_kind kStartsHeldBack{ metric_type::kCounter,
                                              "briarwind_scheduler_starts_held_back_total", "",
                                              "Starts decided but not sent." };
inline constexpr metric_kind kIsLeader{ metric_type::kGauge, "briarwind_scheduler_is_leader", "",
                                        "1 while this scheduler acts for the queue." };
inline constexpr metric_kind kIsFresh{ metric_type::kGauge, "briarwind_scheduler_is_fresh", "",
                                       "1 while the settings are confirmed." };
inline constexpr metric_kind kJobsByState{ metric_type::kGauge, "briarwind_scheduler_jobs", "state",
                                           "Jobs that this scheduler knows, by state." };
inline constexpr metric_kind kAccelerators{ metric_type::kGauge, "briarwind_scheduler_accelerators",
                                            "use",
                                            "Accelerators of the live workers: all and used." };
inline constexpr metric_kind kDecisionTime{ metric_type::kSummary,
                                            "briarwind_scheduler_decision_seconds", "",
                                            "Time to decide on one event." };

/// The log event for a kind of decision of the job core.
const event_kind& EventOf(decision_kind aKind);

/// All log events of the scheduler, for the catalogue.
std::span<const event_kind> SchedulerEvents();
/// All metrics of the scheduler, for the catalogue.
std::span<const metric_kind> SchedulerMetrics();

} // namespace briarwind
