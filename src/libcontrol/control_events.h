#pragma once

#include "briarwind/log.h"
#include "briarwind/metrics.h"

#include <span>

/// Log events and metrics of a scheduler process, including those for the decisions of the core.

namespace briarwind {

inline constexpr event_kind kStoreViewLost{
  6001, log_level::kWarning, "store.view-lost",
  "Keys under `prefix` cannot be read or watched; the host continues with the last known values. "
  "`call` failed after `took_ms`, for the cause in `error` and `what`; the last answer was "
  "`unconfirmed_ms` ago."
};
inline constexpr event_kind kStoreViewRegained{
  6002, log_level::kInfo, "store.view-regained",
  "Keys under `prefix` can be read from the store again."
};
inline constexpr event_kind kStoreRelayed{
  6003, log_level::kWarning, "store.relayed",
  "Direct calls to the store failed; calls are now relayed through the host at `peer`."
};
inline constexpr event_kind kStoreDirect{
  6004, log_level::kInfo, "store.direct",
  "The store answers direct calls again; calls are no longer relayed through another host."
};
inline constexpr event_kind kLeadershipGained{
  6010, log_level::kInfo, "lead.gained", "This host became the leader, with fencing epoch `epoch`."
};
inline constexpr event_kind kLeadershipLost{
  6011, log_level::kWarning, "lead.lost",
  "This host is no longer the leader; running tasks continue under the next leader."
};
inline constexpr event_kind kLeadershipConfirmed{
  6012, log_level::kInfo, "lead.confirmed", "The leader's lease was renewed after a failed renewal."
};
inline constexpr event_kind kLeadershipUnconfirmed{
  6013, log_level::kWarning, "lead.unconfirmed",
  "The leader's lease could not be renewed; the leader sends no orders once it may have expired."
};
inline constexpr event_kind kLeadershipReclaimed{
  6016, log_level::kInfo, "lead.reclaimed",
  "The leader's lease had expired, and this host became the leader again before any other host "
  "did; it keeps its state in memory and continues under the higher epoch `epoch`."
};
inline constexpr event_kind kLeadershipNotReleased{
  6014, log_level::kWarning, "lead.not-handed-over",
  "The leader's lease could not be revoked at shutdown; no host leads until the lease expires."
};
inline constexpr event_kind kLeadershipSuperseded{
  6015, log_level::kWarning, "lead.refused",
  "The store or a worker has seen a newer leader, as `reason` says; this host steps down."
};
inline constexpr event_kind kTakeoverLoaded{
  6020, log_level::kInfo, "takeover.read",
  "The new leader has read jobs, runs and workers, and starts scheduling."
};
inline constexpr event_kind kTakeoverLoadFailed{
  6021, log_level::kWarning, "takeover.unread",
  "The new leader could not read what `what` names; it retries."
};
inline constexpr event_kind kRegistryLost{
  6022, log_level::kWarning, "registry.lost",
  "The registry of workers could not be read; the last list read stays in use."
};
inline constexpr event_kind kRegistryRegained{ 6023, log_level::kInfo, "registry.regained",
                                               "The registry of workers can be read again." };
inline constexpr event_kind kRegistryUnreadable{
  6024, log_level::kWarning, "registry.unreadable-entries",
  "Entries of the registry of workers cannot be parsed and are ignored; `entries` names the "
  "first of the new ones."
};
inline constexpr event_kind kWorkJobKnown{
  6101, log_level::kInfo, "work.job-known",
  "The leader has loaded a job, `age_ms` after the job was accepted."
};
inline constexpr event_kind kWorkStarted{
  6102, log_level::kInfo, "work.start",
  "A placement is stored and the run is started; the worker's last report is `age_ms` old."
};
inline constexpr event_kind kWorkStartFailed{
  6103, log_level::kWarning, "work.start-failed",
  "A worker refused to start a run or did not answer, as `reason` says."
};
inline constexpr event_kind kWorkEnded{ 6104, log_level::kInfo, "work.ended",
                                        "A worker reported the end of a run." };
inline constexpr event_kind kWorkEvicted{ 6105, log_level::kInfo, "work.evicted",
                                          "A run is preempted to free resources for another job." };
inline constexpr event_kind kWorkStopped{ 6106, log_level::kInfo, "work.stopped",
                                          "A run is being stopped for the cause in `reason`." };
inline constexpr event_kind kWorkLost{
  6107, log_level::kWarning, "work.lost",
  "A run disappeared without a reported end; its task is queued again."
};
inline constexpr event_kind kWorkJobOver{
  6108, log_level::kInfo, "work.job-over",
  "A job reached the final state in `reason`, `age_ms` after the leader had loaded it."
};
inline constexpr event_kind kWorkWorkerRestored{
  6109, log_level::kInfo, "work.worker-answers",
  "A worker answered this leader for the first time, or again after it had stopped answering."
};
inline constexpr event_kind kWorkWorkerLost{
  6110, log_level::kWarning, "work.worker-lost",
  "A worker stopped answering and its leases have expired; its tasks are started elsewhere."
};
inline constexpr event_kind kWorkWorkerQuarantined{
  6111, log_level::kWarning, "work.worker-quarantined",
  "A worker is quarantined: it gets no new runs for `age_ms`, for the cause in `reason`."
};
inline constexpr event_kind kWorkRecordUnreadable{
  6112, log_level::kError, "work.record-unreadable",
  "The stored job at `key` cannot be parsed; it is neither scheduled nor changed."
};
inline constexpr event_kind kWorkForgotten{
  6113, log_level::kInfo, "work.forgotten",
  "A job that ended long ago is dropped, after its records in the store were deleted."
};
inline constexpr event_kind kWorkNotRemoved{
  6114, log_level::kWarning, "work.not-removed",
  "The records of a job that ended long ago could not be deleted, as `reason` says; the job stays "
  "known and the deletion is retried, also that of the jobs after it."
};
inline constexpr event_kind kWorkWaitsForLimit{
  6120, log_level::kInfo, "work.waits-for-limit",
  "Tasks of a job could start, but the limit of its organisation on the resource in `reason` is "
  "used up; logged once for each wait."
};
inline constexpr event_kind kWorkWaitsBesideIdle{
  6121, log_level::kInfo, "work.waits-beside-idle",
  "A step has been ready for 2 s or more and `worker` has room for one of its tasks; `reason` says "
  "what keeps the task away. Logged again when the reason changes, at most once in 2 s for a step."
};
inline constexpr event_kind kWorkRackReserved{
  6122, log_level::kInfo, "work.rack-reserved",
  "A gang that waits for room has the rack in `reason` reserved: work of the same or a lower rank "
  "is not placed there. Logged when a reservation begins or moves to another rack."
};
inline constexpr event_kind kWorkWriteRefused{
  6115, log_level::kError, "work.write-refused",
  "The store refuses the progress record of a job, as `reason` says. Its placements that are not "
  "stored are taken back and it is left alone for `age_ms`; other jobs are not affected."
};
inline constexpr event_kind kWorkOccurrencesWait{
  6123, log_level::kInfo, "work.occurrences-wait",
  "Occurrences of a timed job are due and wait until earlier ones of the job have started, as "
  "`reason` says; all of them run, in order. Logged when the job falls behind its schedule."
};
inline constexpr event_kind kWorkWorkerSlow{
  6130, log_level::kInfo, "work.worker-slow",
  "The runs of a worker take longer than other tasks of the same steps; gangs and work that may "
  "miss its objective get it last. `reason` gives its rate, 1 being the usual."
};
inline constexpr event_kind kWorkWorkerNotSlow{
  6131, log_level::kInfo, "work.worker-not-slow",
  "A slow worker runs tasks at the usual speed again, or has run too few of late to be judged."
};
inline constexpr event_kind kWorkWorkerFlaps{
  6132, log_level::kWarning, "work.worker-flaps",
  "A worker went away (stopped answering, left the registry or restarted) twice within 10 s; it is "
  "used last for all work until 10 s pass with at most one absence."
};
inline constexpr event_kind kWorkInterferenceLearned{
  6135, log_level::kInfo, "work.interference-learned",
  "One kind of task was measured to be slower beside another, as `reason` says; new tasks of both "
  "are placed on other workers where there is room."
};
inline constexpr event_kind kWorkInterferenceApplied{
  6136, log_level::kInfo, "work.interference-applied",
  "A task was placed on another worker than `worker`, since the two kinds in `reason` slow each "
  "other down; logged for the first such placement after the kinds were learned."
};
inline constexpr event_kind kWorkInterferenceForgotten{
  6137, log_level::kInfo, "work.interference-forgotten",
  "Two kinds of tasks are no longer kept apart: they no longer slow each other down, or were not "
  "measured beside each other for a while."
};
inline constexpr event_kind kWorkPaceChanged{
  6138, log_level::kInfo, "work.pace-changed",
  "The best-effort tasks of a worker go at the pace in `reason` from now on, since a serving task "
  "there misses its latency target or has slack again."
};
inline constexpr event_kind kJobAccepted{
  6201, log_level::kInfo, "caller.accepted",
  "A job is stored and its submission is acknowledged to the caller."
};
inline constexpr event_kind kJobRefused{
  6202, log_level::kInfo, "caller.refused",
  "A caller's request was refused for the cause in `reason`; it had no effect."
};
inline constexpr event_kind kJobOutcomeUnclear{
  6203, log_level::kWarning, "caller.unclear",
  "A caller's request may or may not have taken effect; the store gave no definite answer in time."
};
inline constexpr event_kind kJobCancelAccepted{
  6204, log_level::kInfo, "caller.cancelled",
  "A cancellation is stored and acknowledged to the caller."
};
inline constexpr event_kind kStateFromLeader{
  6205, log_level::kInfo, "caller.state-from-leader",
  "The store could not be read; the caller got the job's state from the leader, which the store "
  "had last confirmed `age_ms` before."
};
inline constexpr event_kind kJobCancelledEarly{
  6206, log_level::kInfo, "caller.cancelled-early",
  "A cancellation found no job and was answered so; for a minute or two, no job is accepted under "
  "its id, in case the submission is still on its way."
};
inline constexpr event_kind kSettingsInForce{
  6301, log_level::kInfo, "operator.settings",
  "A new version of the operators' configuration is in force on this host. It came by `via`; "
  "until `unseen_ms` before, the store had shown no newer version than the previous one."
};
inline constexpr event_kind kSettingsUnreadable{
  6302, log_level::kError, "operator.settings-unreadable",
  "The operators' configuration at `key` cannot be parsed; the previous version stays in force."
};
inline constexpr event_kind kDomainsChanged{
  6303, log_level::kInfo, "operator.domains",
  "The failure domains withdrawn from scheduling changed; `withdrawn` lists them all."
};
inline constexpr event_kind kSettingsOlder{
  6304, log_level::kWarning, "operator.settings-older",
  "The configuration stored at `key` is not newer than the one in force and is ignored."
};
inline constexpr event_kind kNodeStarted{
  6401, log_level::kInfo, "node.started",
  "The process has started; it accepts callers and peers at the addresses given."
};
inline constexpr event_kind kNodeStopping{
  6402, log_level::kInfo, "node.stopping",
  "The process received a stop signal; it reports not ready and finishes open requests."
};
inline constexpr event_kind kNodeStopped{
  6403, log_level::kInfo, "node.stopped",
  "The process exits; `drained` says whether all open requests were finished."
};
inline constexpr event_kind kNodeReady{
  6404, log_level::kInfo, "node.ready",
  "The host's readiness for the balancer changed to `ready`; `stopping` and `settings` say why."
};
inline constexpr event_kind kNodeReloaded{
  6405, log_level::kInfo, "node.reloaded",
  "The settings file changed and was read; without a restart only a new store address takes effect."
};
inline constexpr event_kind kNodeReloadFailed{
  6406, log_level::kError, "node.reload-failed",
  "The settings file changed but is invalid; the previous settings stay in force."
};
inline constexpr event_kind kRequestFailed{
  6408, log_level::kError, "node.request-failed",
  "An unexpected error in the handler of a request to the server `server` closed the connection; "
  "the process continues."
};
inline constexpr event_kind kClientRefused{
  6409, log_level::kWarning, "node.client-refused",
  "The server `server` refused a request or closed a connection of the client at `peer`, for the "
  "cause in `reason`; `count` such cases since the last line for this server and cause, of which "
  "there is at most one in 10 s."
};
inline constexpr event_kind kLogLinesDropped{
  6407, log_level::kWarning, "log.dropped",
  "Log lines were dropped since the last such event, because the log's reader was too slow."
};

inline constexpr metric_kind kStoreCalls{ metric_type::kCounter, "briarwind_node_store_calls_total",
                                          "call", "Calls to the platform's store by kind." };
inline constexpr metric_kind kStoreFailures{
  metric_type::kCounter, "briarwind_node_store_failures_total", "reason",
  "Calls to the store without the wanted answer, by reason."
};
inline constexpr metric_kind kStoreRelists{
  metric_type::kCounter, "briarwind_node_store_relists_total", "reason",
  "Views of the store that had to be listed anew, by reason."
};
inline constexpr metric_kind kSettingsVersion{
  metric_type::kGauge, "briarwind_node_settings_version", "",
  "Version of the operators' configuration that is in force on this host; 0: none has been read."
};
inline constexpr metric_kind kSettingsIgnored{
  metric_type::kCounter, "briarwind_node_settings_ignored_total", "reason",
  "Stored configurations that were not taken: unreadable, or not newer than the one in force."
};
inline constexpr metric_kind kStoreRelays{
  metric_type::kCounter, "briarwind_node_store_relays_total", "outcome",
  "Calls to the store that went through a peer, by outcome."
};
inline constexpr metric_kind kWorkDecisionTime{ metric_type::kSummary,
                                                "briarwind_node_decision_seconds", "",
                                                "Time of one pass of decisions." };
inline constexpr metric_kind kWorkWriteTime{ metric_type::kSummary, "briarwind_node_write_seconds",
                                             "", "Time in which progress records were stored." };
inline constexpr metric_kind kWorkWriteRetries{
  metric_type::kCounter, "briarwind_node_write_retries_total", "reason",
  "Writes of progress records that had to be repeated, by reason."
};
inline constexpr metric_kind kWritesRefused{
  metric_type::kCounter, "briarwind_node_writes_refused_total", "reason",
  "Progress records that the store refused for what they hold, by reason; they are not repeated "
  "unchanged."
};
inline constexpr metric_kind kJobsWithRefusedRecord{
  metric_type::kGauge, "briarwind_node_jobs_with_refused_record", "",
  "Jobs that the leader leaves alone for a while since the store refused their progress records."
};
inline constexpr metric_kind kWorkRemovalRetries{
  metric_type::kCounter, "briarwind_node_removal_retries_total", "reason",
  "Deletions of the records of ended jobs that had to be repeated, by reason."
};
inline constexpr metric_kind kStartOrders{ metric_type::kCounter, "briarwind_node_starts_total",
                                           "outcome", "Orders to start a run, by outcome." };
inline constexpr metric_kind kStopOrders{ metric_type::kCounter, "briarwind_node_stops_total",
                                          "outcome", "Orders to stop a run, by outcome." };
inline constexpr metric_kind kPaceOrders{ metric_type::kCounter, "briarwind_node_paces_total",
                                          "outcome", "Orders on the pace of a run, by outcome." };
inline constexpr metric_kind kWorkPolls{ metric_type::kCounter, "briarwind_node_polls_total",
                                         "outcome",
                                         "Questions to workers about their runs, by outcome." };
inline constexpr metric_kind kRegistryUnreadableEntries{
  metric_type::kGauge, "briarwind_node_registry_unreadable_entries", "",
  "Entries of the registry that describe no worker, as last read by the leader."
};
inline constexpr metric_kind kAdviceCalls{ metric_type::kCounter,
                                           "briarwind_node_advice_calls_total", "outcome",
                                           "Questions to the advisor by outcome." };
inline constexpr metric_kind kCoreDecisions{ metric_type::kCounter,
                                             "briarwind_node_decisions_total", "kind",
                                             "Decisions of the core by kind." };
inline constexpr metric_kind kOrganisationUse{
  metric_type::kGauge, "briarwind_node_organisation_use", "resource",
  "What an organisation with a weight or a limit has in use, by organisation and resource, at the "
  "leader."
};
inline constexpr metric_kind kOrganisationLimit{
  metric_type::kGauge, "briarwind_node_organisation_limit", "resource",
  "Limit on what an organisation may have in use, by organisation and resource, at the leader; 0 "
  "for no limit."
};
inline constexpr metric_kind kInterferingPairs{
  metric_type::kGauge, "briarwind_node_interfering_pairs", "",
  "Pairs of kinds of tasks that the leader keeps apart where there is room, at most 256."
};
inline constexpr metric_kind kLimitWaits{
  metric_type::kCounter, "briarwind_node_limit_waits_total", "resource",
  "Waits of jobs for their organisation's limit by the resource that is used up."
};
inline constexpr metric_kind kIdleWaits{
  metric_type::kCounter, "briarwind_node_idle_waits_total", "reason",
  "Waits of ready steps beside workers with room for a task, by what kept the tasks away."
};
inline constexpr metric_kind kStepsBesideIdle{
  metric_type::kGauge, "briarwind_node_steps_beside_idle", "reason",
  "Ready steps that wait beside workers with room for a task, by what keeps them away, at the "
  "leader."
};
inline constexpr metric_kind kReservedRacks{
  metric_type::kGauge, "briarwind_node_reserved_racks", "",
  "Racks that the leader keeps free of other work for gangs that wait for room."
};
inline constexpr metric_kind kJobsBehindSchedule{
  metric_type::kGauge, "briarwind_node_jobs_behind_schedule", "",
  "Timed jobs with due occurrences that wait for earlier ones of their job, at the leader."
};
inline constexpr metric_kind kCallerCalls{ metric_type::kCounter,
                                           "briarwind_node_caller_calls_total", "outcome",
                                           "Calls of callers by outcome." };
inline constexpr metric_kind kCallerRefusals{ metric_type::kCounter,
                                              "briarwind_node_caller_refusals_total", "reason",
                                              "Calls refused, by reason." };
inline constexpr metric_kind kHttpRefusals{
  metric_type::kCounter, "briarwind_node_http_refusals_total", "reason",
  "Connections and requests that a server of this host did not take, by reason."
};
inline constexpr metric_kind kHttpBudgetUsed{
  metric_type::kGauge, "briarwind_node_http_budget_used_bytes", "",
  "Bytes of requests that are not answered and of responses that are not written yet."
};
inline constexpr metric_kind kHttpBudgetTotal{
  metric_type::kGauge, "briarwind_node_http_budget_bytes", "",
  "Limit on the bytes of requests and responses that all servers of the process hold."
};
inline constexpr metric_kind kEarlyCancellations{
  metric_type::kCounter, "briarwind_node_early_cancellations_total", "outcome",
  "Cancellations of ids without a job: written to the store, or found there."
};
inline constexpr metric_kind kCallerTime{ metric_type::kSummary, "briarwind_node_caller_seconds",
                                          "call", "Time to answer a caller, by kind of call." };
inline constexpr metric_kind kPeerCalls{ metric_type::kCounter, "briarwind_node_peer_calls_total",
                                         "outcome", "Calls to other hosts by outcome." };

/// All events and all metrics of this file, for the catalogue and for registration.
std::span<const event_kind> ControlEvents();
std::span<const metric_kind> ControlMetrics();

} // namespace briarwind
