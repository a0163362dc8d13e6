#include "work_table.h"

#include <algorithm>
#include <ranges>

namespace briarwind {

namespace {

constexpr std::string_view kNoProgress = "the run made no progress";

// Finds the runs of a report; a worker may list hundreds.
class report_index
{
public:
  explicit report_index(const worker_report& aReport)
  {
    for (const listed_run& each : aReport.mRunning) {
      mRunning.push_back(&each);
    }
    for (const listed_end& each : aReport.mEnds) {
      mEnds.push_back(&each);
    }
    // Of a run that is listed twice, the first entry counts.
    std::ranges::stable_sort(mRunning, {}, &listed_run::mRun);
    std::ranges::sort(mEnds, {}, &listed_end::mRun);
  }

  const listed_run* FindRunning(const run_id& aRun) const
  {
    const auto found = std::ranges::lower_bound(mRunning, aRun, {}, &listed_run::mRun);
    return found == mRunning.end() || (*found)->mRun != aRun ? nullptr : *found;
  }
  bool HasEnded(const run_id& aRun) const
  {
    return std::ranges::binary_search(mEnds, aRun, {}, &listed_end::mRun);
  }

private:
  std::vector<const listed_run*> mRunning;
  std::vector<const listed_end*> mEnds;
};

// Whether a run that is missing from the worker's report has certainly ended. The poll has raised
// the worker's fencing epoch, so an order of an earlier leader can no longer take effect.
bool IsCertainlyGone(const run_entry& aRun, instant aSent)
{
  switch (aRun.mPhase) {
    case run_phase::kRestored:
      return true;
    case run_phase::kRunning:
      return aRun.mStartAnsweredAt <= aSent;
    case run_phase::kStopping:
      return aRun.mStopAnswered && aRun.mStopAnsweredAt <= aSent;
    case run_phase::kRecording:
    case run_phase::kStarting:
    case run_phase::kUnconfirmed: // the start order may still arrive
      return false;
  }
  return false;
}

} // namespace

// A restarted worker has no runs of its former incarnation. Which incarnation an order reached is
// uncertain, though, because the registry lists a new incarnation late. So running runs become
// restored ones, and the worker's next report shows whether they still exist.
void work_core::state::ResetForIncarnation(worker_entry& aWorker, std::int64_t aIncarnation,
                                           instant aNow)
{
  aWorker.mInfo.mIncarnation = aIncarnation;
  aWorker.mPendingEnds.clear();
  aWorker.mAcknowledged = 0;
  aWorker.mLastSeenEnd = 0;
  aWorker.mAckDue = false;
  aWorker.mReachable = false;
  aWorker.mOrphans.clear();
  ReleaseOrphanUse(aWorker);
  for (auto& [id, run] : aWorker.mRuns) {
    if (run.mPhase == run_phase::kRunning) {
      run.mPhase = run_phase::kRestored;
      run.mPhaseSince = aNow;
      run.mPacePercent = -1;
    }
  }
}

// Whether members of the run's gang have ended or were requeued. An earlier leader has stopped the
// other members then, but its stop orders may not have arrived.
bool work_core::state::LacksGangMembers(const run_id& aRun)
{
  const work_step* spec = FindSpec(aRun.mTask);
  const step_entry* step = FindStep(aRun.mTask);
  return spec != nullptr && step != nullptr && spec->mGang &&
         std::ranges::any_of(step->mTasks, [&](const task_entry& aTask) {
           return aTask.mPhase != task_phase::kDone &&
                  (aTask.mPhase != task_phase::kLive || aTask.mRun != aRun.mRun);
         });
}

// Applies what the worker reports about a live run. Returns the reason why the run has to be
// stopped, or an empty text.
std::string_view work_core::state::ApplyListedRun(worker_entry& aWorker, const run_id& aId,
                                                  run_entry& aRun, const listed_run& aListed,
                                                  instant aNow)
{
  task_entry* task = FindTask(aId.mTask);
  const bool current =
    task != nullptr && task->mPhase == task_phase::kLive && task->mRun == aId.mRun;
  if (current && !aListed.mCheckpoint.empty()) {
    task->mCheckpoint = aListed.mCheckpoint;
  }
  std::string_view reason;
  if (aRun.mPhase == run_phase::kStarting || aRun.mPhase == run_phase::kUnconfirmed ||
      aRun.mPhase == run_phase::kRestored) {
    aRun.mPhase = run_phase::kRunning;
    aRun.mPhaseSince = aNow;
    aRun.mStartAnsweredAt = aNow;
    aRun.mLastProgressAt = aNow;
    if (!current) {
      reason = "its task no longer needs the run";
    } else if (LacksGangMembers(aId)) {
      reason = "another member of its gang ended";
    }
  }
  if (IsSlowed(aWorker, aRun)) {
    // Neither its speed nor the lack of progress says anything about its worker.
    aRun.mLastProgressAt = aNow;
    aRun.mRatePercent = -1;
    aRun.mFromStart = false;
    aRun.mPace = {};
  } else {
    MeasureRate(aWorker, aRun, aListed.mPercent, aNow);
    RecordPace(aWorker, aId, aRun, aListed.mPercent, aNow);
    MeasurePace(aWorker, aId, aRun, aListed.mPercent, aNow);
  }
  aRun.mFigure = aListed.mFigure;
  MeasureInterference(aWorker, aId, aRun, aListed, aNow);
  if (aRun.mFirstPercent < 0) {
    aRun.mFirstPercent = aListed.mPercent;
    aRun.mFirstReportedAt = aNow;
  }
  if (aRun.mPercent != aListed.mPercent) {
    if (aRun.mPercent >= 0) {
      ClearStallOnProgress(aWorker, aRun);
    }
    aRun.mPercent = aListed.mPercent;
    aRun.mLastProgressAt = aNow;
    return reason;
  }
  constexpr int kCompletePercent = 100;
  const bool stalled = aRun.mPhase == run_phase::kRunning && aRun.mPercent < kCompletePercent &&
                       aNow - aRun.mLastProgressAt > mOptions.mMinStallTime &&
                       aNow - aRun.mLastProgressAt > MaxStall(aWorker, aId, aRun);
  return stalled ? kNoProgress : reason;
}

// An end is acknowledged only after the record that contains it is stored.
void work_core::state::ApplyEnds(worker_entry& aWorker, const worker_report& aReport, instant aNow)
{
  for (const listed_end& each : aReport.mEnds) {
    if (each.mNumber <= aWorker.mLastSeenEnd) {
      continue;
    }
    aWorker.mLastSeenEnd = each.mNumber;
    if (aWorker.mRuns.contains(each.mRun)) {
      HandleRunEnd(aWorker, each.mRun, each.mEndKind, each.mCheckpoint, aNow);
    }
    // Also for an unknown run: its end may have been applied already, while the record is not
    // stored yet.
    const job_entry* job = FindJob(each.mRun.mTask.mJob);
    if (job != nullptr) {
      const std::int64_t change = job->LastChange(each.mRun.mTask);
      if (!job->IsStored(each.mRun.mTask, change)) {
        aWorker.mPendingEnds[each.mNumber] = { each.mRun.mTask, change };
      }
    }
  }
}

void work_core::state::StopOrphans(worker_entry& aWorker, const worker_report& aReport)
{
  aWorker.mOrphans.clear();
  for (const listed_run& each : aReport.mRunning) {
    if (!aWorker.mRuns.contains(each.mRun)) {
      aWorker.mOrphans.insert(each.mRun);
      mActions.emplace_back(stop_run{ each.mRun, aWorker.mInfo.mId });
    }
  }
  SetOrphanUse(aWorker);
}

void work_core::state::ApplyReport(worker_entry& aWorker, const worker_report& aReport,
                                   instant aSent, instant aNow)
{
  std::vector<std::pair<run_id, std::string_view>> toStop;
  std::vector<run_id> gone;
  const report_index listedRuns(aReport);
  for (auto& [id, run] : aWorker.mRuns) {
    if (const listed_run* listed = listedRuns.FindRunning(id)) {
      const std::string_view reason = ApplyListedRun(aWorker, id, run, *listed, aNow);
      if (!reason.empty()) {
        toStop.emplace_back(id, reason);
      }
      continue;
    }
    if (listedRuns.HasEnded(id) || aReport.mMoreEnds) {
      continue;
    }
    if (IsCertainlyGone(run, aSent)) {
      gone.push_back(id);
    } else if (run.mPhase == run_phase::kUnconfirmed && run.mPhaseSince <= aSent) {
      toStop.emplace_back(id,
                          "its start order was not answered and the worker does not list the run");
    }
  }
  ApplyEnds(aWorker, aReport, aNow);
  for (const run_id& each : gone) {
    HandleRunLost(aWorker, each, "the worker does not list the run any more", aNow);
  }
  for (const auto& [run, reason] : toStop) {
    if (reason == kNoProgress) {
      RecordStall(aWorker, run, aNow);
    }
    StopOtherGangMembers(run, aNow);
    StopRun(aWorker, run, reason, aNow);
  }
  StopOrphans(aWorker, aReport);
  SetPaces(aWorker, aNow);
  AdvanceAcknowledged(aWorker);
}

} // namespace briarwind
