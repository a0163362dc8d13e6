#include "briarwind/job_core.h"

#include <algorithm>
#include <array>
#include <utility>

namespace briarwind {

namespace {

template<class Enum, std::size_t Size>
using name_table = std::array<std::pair<Enum, std::string_view>, Size>;

template<class Enum, std::size_t Size>
std::string_view NameIn(const name_table<Enum, Size>& aTable, Enum aValue)
{
  const auto found = std::ranges::find(aTable, aValue, &std::pair<Enum, std::string_view>::first);
  return found != aTable.end() ? found->second : std::string_view("unknown");
}

constexpr name_table<job_state, 6> kStates{ {
  { job_state::kQueued, "queued" },
  { job_state::kAttempted, "attempted" },
  { job_state::kFinished, "finished" },
  { job_state::kFailed, "failed" },
  { job_state::kCancelled, "cancelled" },
  { job_state::kUnknown, "unknown" },
} };

constexpr name_table<lease_state, 7> kLeaseStates{ {
  { lease_state::kReserved, "reserved" },
  { lease_state::kRunning, "running" },
  { lease_state::kFinished, "finished" },
  { lease_state::kFailed, "failed" },
  { lease_state::kStopped, "stopped" },
  { lease_state::kLapsed, "lapsed" },
  { lease_state::kUnknown, "unknown" },
} };

constexpr name_table<job_phase, 9> kPhases{ {
  { job_phase::kSubmitting, "submitting" },
  { job_phase::kQueued, "queued" },
  { job_phase::kEvicting, "evicting" },
  { job_phase::kReserving, "reserving" },
  { job_phase::kRecording, "recording" },
  { job_phase::kStarting, "starting" },
  { job_phase::kRunning, "running" },
  { job_phase::kStopping, "stopping" },
  { job_phase::kEnded, "ended" },
} };

constexpr name_table<wait_reason, 12> kWaitReasons{ {
  { wait_reason::kNone, "none" },
  { wait_reason::kNotTried, "not-tried" },
  { wait_reason::kQuota, "quota" },
  { wait_reason::kNoCapacity, "no-capacity" },
  { wait_reason::kNoAdjacency, "no-adjacency" },
  { wait_reason::kNotFresh, "not-fresh" },
  { wait_reason::kDomainOut, "domain-out" },
  { wait_reason::kDraining, "draining" },
  { wait_reason::kEvictionPending, "eviction-pending" },
  { wait_reason::kStoreAway, "store-away" },
  { wait_reason::kRetryDelay, "retry-delay" },
  { wait_reason::kNotLeader, "not-leader" },
} };

constexpr name_table<decision_kind, 21> kDecisions{ {
  { decision_kind::kPlaced, "placed" },
  { decision_kind::kRunning, "running" },
  { decision_kind::kEvicted, "evicted" },
  { decision_kind::kDraining, "draining" },
  { decision_kind::kWithdrawn, "withdrawn" },
  { decision_kind::kAttemptAborted, "attempt-aborted" },
  { decision_kind::kFinished, "finished" },
  { decision_kind::kFailed, "failed" },
  { decision_kind::kCancelled, "cancelled" },
  { decision_kind::kOutcomeUnknown, "unknown-fate" },
  { decision_kind::kImpossibleForNow, "impossible-for-now" },
  { decision_kind::kWorkerQuarantined, "worker-quarantined" },
  { decision_kind::kWorkerProbed, "worker-probed" },
  { decision_kind::kWorkerCleared, "worker-cleared" },
  { decision_kind::kQuarantineCapped, "quarantine-capped" },
  { decision_kind::kJobAtFault, "job-at-fault" },
  { decision_kind::kRecordConflict, "record-conflict" },
  { decision_kind::kStaleAnswer, "stale-answer" },
  { decision_kind::kLeaseOrphaned, "lease-orphaned" },
  { decision_kind::kCellsMoved, "cells-moved" },
  { decision_kind::kGuaranteeUnmet, "guarantee-unmet" },
} };

} // namespace

std::string_view ToString(job_state aState)
{
  return NameIn(kStates, aState);
}

std::string_view ToString(job_phase aPhase)
{
  return NameIn(kPhases, aPhase);
}

std::string_view ToString(wait_reason aReason)
{
  return NameIn(kWaitReasons, aReason);
}

std::string_view ToString(decision_kind aKind)
{
  return NameIn(kDecisions, aKind);
}

lease_state ParseLeaseState(std::string_view aText)
{
  const auto found =
    std::ranges::find(kLeaseStates, aText, &std::pair<lease_state, std::string_view>::second);
  return found != kLeaseStates.end() ? found->first : lease_state::kUnknown;
}

} // namespace briarwind
