#include "work_table.h"

#include <algorithm>

namespace briarwind {

namespace {

constexpr int kCompletePercent = 100;
// Minimum progress in percent for an estimate of a run's speed: percentages are whole numbers, and
// reports are a poll apart.
constexpr int kMinProgressPercent = 5;

// End of the run at its speed so far; nullopt while it has not made enough progress.
std::optional<instant> MeasuredEnd(const run_entry& aEntry)
{
  const int gained = aEntry.mPercent - aEntry.mFirstPercent;
  if (aEntry.mFirstPercent < 0 || gained < kMinProgressPercent) {
    return std::nullopt;
  }
  const auto elapsed = aEntry.mLastProgressAt - aEntry.mFirstReportedAt;
  return aEntry.mLastProgressAt + elapsed * (kCompletePercent - aEntry.mPercent) / gained;
}

} // namespace

// Estimated from the run's speed so far, or from its expected run time while it has not made enough
// progress. A run whose job is unknown ends at no time that is known.
instant work_core::state::ExpectedEnd(const run_id& aRun, const run_entry& aEntry)
{
  if (const auto end = MeasuredEnd(aEntry)) {
    return *end;
  }
  const job_entry* job = FindJob(aRun.mTask.mJob);
  const work_step* step = FindSpec(aRun.mTask);
  return step == nullptr ? instant::max() : aEntry.mStartedAt + ExpectedRunTime(job->mSpec, *step);
}

bool work_core::state::IsExpectedToEndBy(const run_id& aRun, const run_entry& aEntry, instant aBy)
{
  return ExpectedEnd(aRun, aEntry) <= aBy;
}

// A worker that leaves cuts off the runs it still has, and afterwards answers no polls: their tasks
// could be started elsewhere only after the leases have expired. Runs that will not end in time are
// therefore stopped while the worker can still report their end, which also saves a checkpoint.
void work_core::state::UpdateDeparture(worker_entry& aWorker, instant aNow)
{
  if (!aWorker.mInfo.mLeaving || !aWorker.mInfo.mTimeUntilRemoval) {
    aWorker.mDepartsAt = {};
    return;
  }
  const instant departsAt = aNow + *aWorker.mInfo.mTimeUntilRemoval - mOptions.mRegistryInterval;
  aWorker.mDepartsAt =
    aWorker.mDepartsAt == instant() ? departsAt : std::min(departsAt, aWorker.mDepartsAt);
  std::vector<run_id> unfinished;
  for (const auto& [id, run] : aWorker.mRuns) {
    const work_step* step = FindSpec(id.mTask);
    const bool longRunning = step != nullptr && step->mLongRunning;
    if (run.mPhase == run_phase::kRunning && !longRunning &&
        !IsExpectedToEndBy(id, run, aWorker.mDepartsAt)) {
      unfinished.push_back(id);
    }
  }
  for (const run_id& each : unfinished) {
    StopOtherGangMembers(each, aNow);
    StopRun(aWorker, each, "the worker leaves before the run can end", aNow);
  }
}

} // namespace briarwind
