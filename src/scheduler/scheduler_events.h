#pragma once

#include "briarwind/job_core.h"
#include "briarwind/log.h"
#include "briarwind/metrics.h"

#include <span>

namespace briarwind {

inline constexpr event_kind kLeaderElected{ 3001, log_level::kInfo, "leader.elected",
                                            "This scheduler acts for the queue from now on, under "
                                            "the epoch in `epoch`." };
inline constexpr event_kind kLeaderLost{ 3002, log_level::kWarning, "leader.lost",
                                         "This scheduler no longer acts for the queue; running "
                                         "tasks go on and the next leader takes them over." };
inline constexpr event_kind kLeaderUnconfirmed{
  3003, log_level::kWarning, "leader.unconfirmed",
  "The store does not answer the leader's heartbeat; it goes on while its settings are confirmed."
};
inline constexpr event_kind kTakeoverDone{ 3004, log_level::kInfo, "takeover.done",
                                           "Job records and worker leases were read; decisions "
                                           "begin." };
inline constexpr event_kind kTakeoverFailed{ 3005, log_level::kWarning, "takeover.failed",
                                             "Job records could not be read; tried again." };
inline constexpr event_kind kWorkerUnreachable{
  3010, log_level::kWarning, "worker.unreachable",
  "A worker has not answered for longer than its leases last; its tasks are started elsewhere."
};
inline constexpr event_kind kWorkerReachable{ 3011, log_level::kInfo, "worker.reachable",
                                              "A worker that was unreachable answers again." };
inline constexpr event_kind kStartHeldBack{
  3012, log_level::kWarning, "start.held-back",
  "A start was decided but not sent: the settings were no longer confirmed or the reservation was "
  "too old, as after a pause of the process."
};
inline constexpr event_kind kRecordUnreadable{ 3013, log_level::kError, "record.unreadable",
                                               "A job record in the store cannot be read; it is "
                                               "left alone." };
inline constexpr event_kind kFreshnessChanged{ 3014, log_level::kInfo, "freshness.changed",
                                               "Whether the settings are confirmed; nothing is "
                                               "started while they are not." };
inline constexpr event_kind kResubmitted{ 3015, log_level::kInfo, "job.resubmitted",
                                          "A job accepted while the store was away was handed to "
                                          "the next leader." };

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

/// The event that a decision of the core is logged as.
const event_kind& EventOf(decision_kind aKind);

/// All events and metrics of the scheduler, by number and by name.
std::span<const event_kind> SchedulerEvents();
std::span<const metric_kind> SchedulerMetrics();

} // namespace briarwind
