#include "work_table.h"

#include <algorithm>
#include <ranges>

namespace briarwind {

namespace {

constexpr std::string_view kNoProgress = "no progress";

const listed_run* FindListed(const worker_report& aReport, const run_id& aRun)
{
  const auto found = std::ranges::find(aReport.mRunning, aRun, &listed_run::mRun);
  return found == aReport.mRunning.end() ? nullptr : &*found;
}

// Whether a run that the worker does not list is over, as this report left no doubt about it. The
// report has raised the fence, so that no order of an earlier leader can be carried out any more.
bool IsSurelyGone(const run_entry& aRun, instant aSent)
{
  switch (aRun.mPhase) {
    case run_phase::kRestored:
      return true;
    case run_phase::kRunning:
      return aRun.mStartAnswered <= aSent;
    case run_phase::kStopping:
      return aRun.mStopAnswered && aRun.mStopAnsweredAt <= aSent;
    case run_phase::kRecording:
    case run_phase::kStarting:
    case run_phase::kUnclear: // may still be on its way
      return false;
  }
  return false;
}

} // namespace

// A worker that has started anew holds nothing of its former incarnation. Which life an order
// reached is not known, though: the registry tells of a new one late. So the worker's own list
// decides.
void work_core::state::NewIncarnation(worker_entry& aWorker, std::int64_t aIncarnation,
                                      instant aNow)
{
  aWorker.mInfo.mIncarnation = aIncarnation;
  aWorker.mPendingEnds.clear();
  aWorker.mAcknowledged = 0;
  aWorker.mSeenEnds = 0;
  aWorker.mAckDue = false;
  aWorker.mInTouch = false;
  aWorker.mOrphans.clear();
  for (auto& [id, run] : aWorker.mRuns) {
    if (run.mPhase == run_phase::kRunning) {
      run.mPhase = run_phase::kRestored;
      run.mPhaseSince = aNow;
    }
  }
}

// Takes over what a worker says of a run that it lists; the reason why the run has to be stopped,
// or nothing.
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
  if (aRun.mPhase == run_phase::kStarting || aRun.mPhase == run_phase::kUnclear ||
      aRun.mPhase == run_phase::kRestored) {
    aRun.mPhase = run_phase::kRunning;
    aRun.mPhaseSince = aNow;
    aRun.mStartAnswered = aNow;
    aRun.mProgressAt = aNow;
    reason = current ? std::string_view() : "no longer wanted";
  }
  MeasurePace(aWorker, aRun, aListed.mPercent, aNow);
  if (aRun.mFirstPercent < 0) {
    aRun.mFirstPercent = aListed.mPercent;
    aRun.mFirstListed = aNow;
  }
  if (aRun.mPercent != aListed.mPercent) {
    if (aRun.mPercent >= 0) {
      NoteProgress(aWorker, aRun);
    }
    aRun.mPercent = aListed.mPercent;
    aRun.mProgressAt = aNow;
    return reason;
  }
  constexpr int kWhole = 100;
  const bool stalled = aRun.mPhase == run_phase::kRunning && aRun.mPercent < kWhole &&
                       aNow - aRun.mProgressAt > aRun.mStallTime;
  return stalled ? kNoProgress : reason;
}

// An end counts as known once the record that holds it is stored; only then is it acknowledged.
void work_core::state::ApplyEnds(worker_entry& aWorker, const worker_report& aReport, instant aNow)
{
  for (const listed_end& each : aReport.mEnds) {
    if (each.mNumber <= aWorker.mSeenEnds) {
      continue;
    }
    aWorker.mSeenEnds = each.mNumber;
    if (aWorker.mRuns.contains(each.mRun)) {
      RunEnded(aWorker, each.mRun, each.mHow, each.mCheckpoint, aNow);
    }
    // Also for a run that is not known here: the end may have been taken note of already, while its
    // record waits for the store.
    const job_entry* job = FindJob(each.mRun.mTask.mJob);
    if (job != nullptr && job->mChangeStored < job->mChange) {
      aWorker.mPendingEnds[each.mNumber] = { job->mSpec.mId, job->mChange };
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
}

void work_core::state::ApplyReport(worker_entry& aWorker, const worker_report& aReport,
                                   instant aSent, instant aNow)
{
  std::vector<std::pair<run_id, std::string_view>> toStop;
  std::vector<run_id> gone;
  for (auto& [id, run] : aWorker.mRuns) {
    if (const listed_run* listed = FindListed(aReport, id)) {
      const std::string_view reason = ApplyListedRun(aWorker, id, run, *listed, aNow);
      if (!reason.empty()) {
        toStop.emplace_back(id, reason);
      }
      continue;
    }
    const bool ended = std::ranges::count(aReport.mEnds, id, &listed_end::mRun) > 0;
    if (ended || aReport.mMoreEnds) {
      continue;
    }
    if (IsSurelyGone(run, aSent)) {
      gone.push_back(id);
    } else if (run.mPhase == run_phase::kUnclear && run.mPhaseSince <= aSent) {
      toStop.emplace_back(id, "no answer to its start and not listed");
    }
  }
  ApplyEnds(aWorker, aReport, aNow);
  for (const run_id& each : gone) {
    RunLost(aWorker, each, "not listed by its worker", aNow);
  }
  for (const auto& [run, reason] : toStop) {
    if (reason == kNoProgress) {
      BlameForStall(aWorker, aNow);
    }
    StopOthersOfGang(run, aNow);
    StopRun(aWorker, run, reason, aNow);
  }
  StopOrphans(aWorker, aReport);
  AdvanceAcknowledged(aWorker);
}

} // namespace briarwind
