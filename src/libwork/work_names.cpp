#include "briarwind/work_core.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace briarwind {

namespace {

constexpr std::array<std::string_view, 5> kWorkStates{ "queued", "running", "completed", "failed",
                                                       "cancelled" };

template<std::size_t Count, class Enum>
std::string_view NameAt(const std::array<std::string_view, Count>& aNames, Enum aValue)
{
  return aNames.at(static_cast<std::size_t>(aValue));
}

bool ParseNumberPart(std::string_view& aText, int& aNumber)
{
  if (aText.empty() || aText.front() != '.') {
    return false;
  }
  aText.remove_prefix(1);
  const auto [end, code] = std::from_chars(aText.data(), aText.data() + aText.size(), aNumber);
  const bool read = code == std::errc() && aNumber >= 0;
  aText.remove_prefix(static_cast<std::size_t>(end - aText.data()));
  return read;
}

} // namespace

std::string_view ToString(work_state aState)
{
  return NameAt(kWorkStates, aState);
}

std::optional<work_state> ParseWorkState(std::string_view aName)
{
  const auto found = std::ranges::find(kWorkStates, aName);
  return found == kWorkStates.end()
           ? std::nullopt
           : std::optional(static_cast<work_state>(found - kWorkStates.begin()));
}

std::string_view ToString(run_end aEnd)
{
  static constexpr std::array<std::string_view, 7> kNames{
    "done", "failed", "stopped", "lapsed", "member-lost", "members-missing", "unreadable",
  };
  return NameAt(kNames, aEnd);
}

std::string_view ToString(start_outcome aOutcome)
{
  static constexpr std::array<std::string_view, 10> kNames{
    "started", "fenced",  "old-run",           "late",    "no-ticket",
    "no-room", "refused", "other-incarnation", "unknown", "held-back",
  };
  return NameAt(kNames, aOutcome);
}

std::string_view ToString(pace_outcome aOutcome)
{
  static constexpr std::array<std::string_view, 6> kNames{
    "paced", "fenced", "refused", "other-incarnation", "unknown", "held-back",
  };
  return NameAt(kNames, aOutcome);
}

std::string_view ToString(work_event_kind aKind)
{
  static constexpr std::array<std::string_view, 23> kNames{
    "job-known",
    "started",
    "start-failed",
    "ended",
    "evicted",
    "stopped",
    "lost",
    "job-over",
    "worker-restored",
    "worker-lost",
    "worker-quarantined",
    "waits-for-limit",
    "interference-learned",
    "interference-applied",
    "interference-forgotten",
    "pace-changed",
    "worker-slow",
    "worker-not-slow",
    "worker-flaps",
    "waits-beside-idle",
    "rack-reserved",
    "write-refused",
    "occurrences-wait",
  };
  return NameAt(kNames, aKind);
}

std::string_view ToString(wait_reason aReason)
{
  static constexpr std::array<std::string_view, 16> kNames{
    "none",        "label",        "withdrawn",          "leaving",
    "unreachable", "unknown-runs", "quarantined",        "avoided",
    "advice",      "reserved",     "recent-failure",     "per-worker-limit",
    "locality",    "gang",         "organisation-limit", "organisation-held-back",
  };
  return NameAt(kNames, aReason);
}

std::span<const work_part_switch> WorkPartSwitches()
{
  static constexpr std::array kSwitches{
    work_part_switch{ "learned-times", &work_parts::mLearnedTimes,
                      "expect run times as learned rather than as declared" },
    work_part_switch{ "late-last", &work_parts::mLateLast,
                      "place work that cannot meet its objective behind work that can" },
    work_part_switch{ "shape-fit", &work_parts::mShapeFit,
                      "best fit over all resources rather than accelerators first" },
    work_part_switch{ "spare-in-time", &work_parts::mSpareInTime,
                      "prefer to preempt work that is late already" },
    work_part_switch{ "reservations", &work_parts::mReservations,
                      "hold racks for gangs that wait" },
    work_part_switch{ "worker-rates", &work_parts::mWorkerRates,
                      "order workers by their measured speed and by their absences" },
    work_part_switch{ "interference", &work_parts::mInterference,
                      "keep tasks apart that slow each other down, where there is room" },
    work_part_switch{ "pacing", &work_parts::mPacing,
                      "slow best-effort tasks beside a serving task that misses its target" },
  };
  return kSwitches;
}

std::string ToString(const task_id& aTask)
{
  return fmt::format("{}.{}.{}.{}", aTask.mJob, aTask.mOccurrence, aTask.mStep, aTask.mIndex);
}

result<task_id> ParseTaskId(std::string_view aText)
{
  task_id task;
  const auto dot = std::min(aText.find('.'), aText.size());
  task.mJob = std::string(aText.substr(0, dot));
  std::string_view rest = aText.substr(dot);
  const bool read = !task.mJob.empty() && ParseNumberPart(rest, task.mOccurrence) &&
                    ParseNumberPart(rest, task.mStep) && ParseNumberPart(rest, task.mIndex) &&
                    rest.empty();
  if (!read) {
    return MakeError(error_kind::kInvalid, "task",
                     fmt::format("\"{}\" is not of the form job.occurrence.step.index", aText));
  }
  return task;
}

} // namespace briarwind
