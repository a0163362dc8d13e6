#include "work_table.h"

#include <algorithm>
#include <utility>

namespace briarwind {

namespace {

// A stop order without an answer is sent again after this time, which is slightly longer than a
// slow worker takes to answer.
constexpr milliseconds kStopRetry{ 400 };

} // namespace

void work_core::state::EmitEvent(work_event_kind aKind, const std::string& aJob, std::string aTask,
                                 std::string aWorker, std::string_view aReason, milliseconds aAge)
{
  mActions.emplace_back(
    work_event{ aKind, aJob, std::move(aTask), std::move(aWorker), std::string(aReason), aAge });
}

void work_core::state::RemoveRun(worker_entry& aWorker, const run_id& aRun)
{
  const auto found = aWorker.mRuns.find(aRun);
  if (found != aWorker.mRuns.end()) {
    aWorker.mUsed -= found->second.mDemand;
    aWorker.mUsedByLongRunning -=
      found->second.mLongRunning ? found->second.mDemand : task_demand{};
    RemoveKind(aWorker, found->second);
    mLedger.RemoveRun(found->second.mOrganisation, found->second.mLimitedDemand);
    aWorker.mRuns.erase(found);
    mWithoutRoom.clear();
    mReplan = true;
    if (job_entry* job = FindJob(aRun.mTask.mJob)) {
      job->mStoppingRuns.erase({ aWorker.mInfo.mId, aRun });
    }
  }
}

void work_core::state::HandleRunEnd(worker_entry& aWorker, const run_id& aRun, run_end aHow,
                                    const std::string& aCheckpoint, instant aNow)
{
  const std::string worker = aWorker.mInfo.mId;
  const task_entry* task = FindTask(aRun.mTask);
  const bool current = task != nullptr && task->mPhase == task_phase::kLive &&
                       task->mRun == aRun.mRun && task->mWorker == worker;
  const auto run = aWorker.mRuns.find(aRun);
  if (aHow == run_end::kDone && current && run != aWorker.mRuns.end()) {
    LearnRunTime(aWorker, aRun, run->second, aNow);
    LearnWorkerRate(aWorker, aRun, run->second, aNow);
  }
  RemoveRun(aWorker, aRun);
  EmitEvent(work_event_kind::kEnded, aRun.mTask.mJob, ToString(aRun.mTask), worker,
            current ? ToString(aHow) : "superseded");
  if (aHow == run_end::kDone) {
    ClearFailures(aWorker);
    aWorker.mLastSuccessAt = aNow;
  }
  if (!current) {
    return;
  }
  const work_step& spec =
    FindJob(aRun.mTask.mJob)->mSpec.mSteps[static_cast<std::size_t>(aRun.mTask.mStep)];
  if (aHow == run_end::kDone && !spec.mLongRunning) {
    MarkTaskDone(aRun.mTask, aNow);
    return;
  }
  StopOtherGangMembers(aRun, aNow);
  if (aHow == run_end::kFailed) {
    PenaliseFailure(aWorker, aRun, "a run failed", aNow);
    HandleTaskFailure(aRun, worker, aNow);
  }
  RequeueTask(aRun, aCheckpoint, aNow);
}

void work_core::state::HandleRunLost(worker_entry& aWorker, const run_id& aRun,
                                     std::string_view aReason, instant aNow)
{
  const std::string worker = aWorker.mInfo.mId;
  const auto age = std::chrono::duration_cast<milliseconds>(aNow - aWorker.mLastReportAt);
  RemoveRun(aWorker, aRun);
  const job_entry* job = FindJob(aRun.mTask.mJob);
  if (job == nullptr || !job->IsFinished()) {
    EmitEvent(work_event_kind::kLost, aRun.mTask.mJob, ToString(aRun.mTask), worker, aReason, age);
  }
  const task_entry* task = FindTask(aRun.mTask);
  if (task != nullptr && task->mPhase == task_phase::kLive && task->mRun == aRun.mRun &&
      task->mWorker == worker) {
    StopOtherGangMembers(aRun, aNow);
    RequeueTask(aRun, {}, aNow);
  }
}

void work_core::state::RequeueTask(const run_id& aRun, const std::string& aCheckpoint, instant aNow)
{
  job_entry* job = FindJob(aRun.mTask.mJob);
  step_entry* step = FindStep(aRun.mTask);
  task_entry* task = FindTask(aRun.mTask);
  if (job == nullptr || task == nullptr || job->IsFinished()) {
    return;
  }
  step->SetPhase(*task, task_phase::kWaiting);
  task->mWorker.clear();
  if (!aCheckpoint.empty()) {
    task->mCheckpoint = aCheckpoint;
    const work_step& spec = job->mSpec.mSteps[static_cast<std::size_t>(aRun.mTask.mStep)];
    if (spec.mGang) {
      // A checkpoint of any member is valid for all, and all have to start from the same one.
      for (task_entry& each : step->mTasks) {
        each.mCheckpoint = aCheckpoint;
      }
      MarkStepChanged(*job, aRun.mTask);
    }
  }
  step->mReadySince = aNow;
  MarkChanged(*job);
  MarkPartChanged(*job, aRun.mTask);
}

void work_core::state::MarkTaskDone(const task_id& aTask, instant aNow)
{
  job_entry* job = FindJob(aTask.mJob);
  step_entry* step = FindStep(aTask);
  if (job == nullptr || step == nullptr || job->IsFinished()) {
    return;
  }
  const bool gang = job->mSpec.mSteps[static_cast<std::size_t>(aTask.mStep)].mGang;
  if (gang) {
    std::ranges::for_each(step->mTasks,
                          [&](task_entry& aEach) { step->SetPhase(aEach, task_phase::kDone); });
  } else if (task_entry* task = FindTask(aTask)) {
    step->SetPhase(*task, task_phase::kDone);
  }
  if (gang) {
    RecordStoppingRuns(*job);
  }
  MarkChanged(*job);
  if (gang) {
    MarkStepChanged(*job, aTask);
  } else {
    MarkPartChanged(*job, aTask);
  }
  if (step->IsDone()) {
    mRates.OnStepDone(aTask, aNow);
    FinishJobIfDone(*job, aNow);
  }
}

void work_core::state::HandleTaskFailure(const run_id& aRun, const std::string& aWorker,
                                         instant aNow)
{
  job_entry* job = FindJob(aRun.mTask.mJob);
  step_entry* step = FindStep(aRun.mTask);
  task_entry* task = FindTask(aRun.mTask);
  if (job == nullptr || task == nullptr || job->IsFinished()) {
    return;
  }
  const work_step& spec = job->mSpec.mSteps[static_cast<std::size_t>(aRun.mTask.mStep)];
  task->mFailedOn.insert(aWorker);
  // The failure of a gang counts once, whichever of its members report it, and whichever leader
  // reads the report.
  const bool isCounted = spec.mGang && std::exchange(step->mLastFailedRun, aRun.mRun) == aRun.mRun;
  step->SetFailures(*task, task->mFailures + (isCounted ? 0 : 1));
  if (spec.mGang && !isCounted) {
    task->mCountedFailure = aRun.mRun;
  }
  const int failures = spec.mGang ? step->FailedGangRuns() : task->mFailures;
  const auto queue = mSettings.mQueues.find(job->mSpec.mQueue);
  const int attempts =
    queue == mSettings.mQueues.end() ? job->mSpec.mPolicy.mAttempts : queue->second.mAttempts;
  if (!spec.mLongRunning && failures >= attempts) {
    FinishJob(*job, work_state::kFailed,
              fmt::format("{} failed {} times", ToString(aRun.mTask), failures), aNow);
  }
}

void work_core::state::StopOtherGangMembers(const run_id& aRun, instant aNow)
{
  const job_entry* job = FindJob(aRun.mTask.mJob);
  const step_entry* step = FindStep(aRun.mTask);
  if (job == nullptr || step == nullptr ||
      !job->mSpec.mSteps[static_cast<std::size_t>(aRun.mTask.mStep)].mGang) {
    return;
  }
  for (std::size_t i = 0; i < step->mTasks.size(); ++i) {
    const task_entry& task = step->mTasks[i];
    const auto worker = mWorkers.find(task.mWorker);
    if (static_cast<int>(i) != aRun.mTask.mIndex && task.mPhase == task_phase::kLive &&
        task.mRun == aRun.mRun && worker != mWorkers.end()) {
      run_id other = aRun;
      other.mTask.mIndex = static_cast<int>(i);
      StopRun(worker->second, other, "another member of its gang ended", aNow);
    }
  }
}

void work_core::state::StopRun(worker_entry& aWorker, const run_id& aRun, std::string_view aReason,
                               instant aNow)
{
  const auto found = aWorker.mRuns.find(aRun);
  if (found == aWorker.mRuns.end() || found->second.mPhase == run_phase::kStopping) {
    return;
  }
  run_entry& run = found->second;
  EmitEvent(work_event_kind::kStopped, aRun.mTask.mJob, ToString(aRun.mTask), aWorker.mInfo.mId,
            aReason);
  if (run.mPhase == run_phase::kRecording) {
    // No order was sent, so the worker has nothing to stop. The next change overwrites the record
    // that is being written.
    RemoveRun(aWorker, aRun);
    RequeueTask(aRun, {}, aNow);
    return;
  }
  run.mPhase = run_phase::kStopping;
  run.mPhaseSince = aNow;
  run.mStopAnswered = false;
  run.mStopInFlight = false;
  run.mStopSentAt = {};
  SendStops(aWorker, aNow);
}

void work_core::state::StopJobRuns(job_entry& aJob, std::string_view aReason, instant aNow)
{
  std::vector<std::pair<std::string, run_id>> live;
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    for (std::size_t step = 0; step < occurrence.mSteps.size(); ++step) {
      const step_entry& entry = occurrence.mSteps[step];
      for (std::size_t i = 0; i < entry.mTasks.size(); ++i) {
        if (entry.mTasks[i].mPhase == task_phase::kLive) {
          const task_id task{ aJob.mSpec.mId, number, static_cast<int>(step), static_cast<int>(i) };
          live.emplace_back(entry.mTasks[i].mWorker, run_id{ task, entry.mTasks[i].mRun });
        }
      }
    }
  }
  for (const auto& [worker, run] : live) {
    if (const auto found = mWorkers.find(worker); found != mWorkers.end()) {
      StopRun(found->second, run, aReason, aNow);
    }
  }
}

void work_core::state::SendStops(worker_entry& aWorker, instant aNow)
{
  for (auto& [id, run] : aWorker.mRuns) {
    const bool due = run.mStopSentAt + kStopRetry <= aNow || run.mStopSentAt == instant();
    if (run.mPhase == run_phase::kStopping && !run.mStopAnswered && !run.mStopInFlight && due) {
      run.mStopInFlight = true;
      run.mStopSentAt = aNow;
      mActions.emplace_back(stop_run{ id, aWorker.mInfo.mId });
    }
  }
}

// Start orders are sent only after the record that names the worker is stored, so that a new leader
// polls that worker.
void work_core::state::SendRecordedStarts(job_entry& aJob, instant aNow)
{
  std::vector<std::pair<run_id, std::string>> unusable;
  std::vector<std::pair<run_id, std::string>> unrecorded;
  for (auto& [id, workerId] : std::exchange(aJob.mRecordingRuns, {})) {
    const auto worker = mWorkers.find(workerId);
    if (worker == mWorkers.end()) {
      continue;
    }
    const auto run = worker->second.mRuns.find(id);
    if (run == worker->second.mRuns.end() || run->second.mPhase != run_phase::kRecording) {
      continue;
    }
    if (!aJob.IsStored(id.mTask, run->second.mRecordedIn)) {
      unrecorded.emplace_back(id, workerId);
      continue;
    }
    occurrence_entry& occurrence = aJob.mOccurrences.at(id.mTask.mOccurrence);
    step_entry& entry = *FindStep(id.mTask);
    ready_unit unit;
    unit.mJob = &aJob;
    unit.mOccurrence = &occurrence;
    unit.mStep = id.mTask.mStep;
    const auto queue = mSettings.mQueues.find(aJob.mSpec.mQueue);
    unit.mQueue = queue == mSettings.mQueues.end() ? &aJob.mSpec.mPolicy : &queue->second;
    // The limit may have been lowered while the record was being stored.
    if (!IsUsable(worker->second, unit, aNow) || mLedger.IsOverLimit(aJob.mSpec.mOrganisation)) {
      unusable.emplace_back(id, workerId);
      continue;
    }
    run->second.mPhase = run_phase::kStarting;
    run->second.mPhaseSince = aNow;
    run->second.mStartedAt = aNow;
    const bool resumes = unit.Spec().mCheckpoints;
    mActions.emplace_back(start_run{ id, workerId, aJob.mSpec.mPayload,
                                     resumes ? FindTask(id.mTask)->mCheckpoint : std::string(),
                                     entry.mAdvice[workerId].mTicket });
    EmitEvent(work_event_kind::kStarted, aJob.mSpec.mId, ToString(id.mTask), workerId,
              fmt::format("run {}", id.mRun),
              std::chrono::duration_cast<milliseconds>(aNow - worker->second.mClockReadAt));
  }
  aJob.mRecordingRuns.insert(aJob.mRecordingRuns.begin(), unrecorded.begin(), unrecorded.end());
  for (const auto& [run, worker] : unusable) {
    StopOtherGangMembers(run, aNow);
    StopRun(mWorkers[worker], run,
            "the worker became unusable, or a limit was lowered, before the start order was sent",
            aNow);
  }
}

void work_core::state::AdvanceAcknowledged(worker_entry& aWorker)
{
  const auto isStored = [&](const auto& aPending) {
    const auto& [task, change] = aPending.second;
    const job_entry* job = FindJob(task.mJob);
    return job == nullptr || job->IsStored(task, change);
  };
  while (!aWorker.mPendingEnds.empty() && isStored(*aWorker.mPendingEnds.begin())) {
    aWorker.mPendingEnds.erase(aWorker.mPendingEnds.begin());
  }
  const std::int64_t through =
    aWorker.mPendingEnds.empty() ? aWorker.mLastSeenEnd : aWorker.mPendingEnds.begin()->first - 1;
  if (through > aWorker.mAcknowledged) {
    aWorker.mAcknowledged = through;
    aWorker.mAckDue = true;
  }
}

void work_core::state::HandleExpiredLeases(const std::string& aId, worker_entry& aWorker,
                                           instant aNow)
{
  if (aWorker.mRuns.empty() || aNow < aWorker.mLeasesExpireAt) {
    return;
  }
  std::vector<run_id> expired;
  for (const auto& [id, run] : aWorker.mRuns) {
    if (run.mPhase != run_phase::kRecording) {
      expired.push_back(id);
    }
  }
  if (expired.empty()) {
    return;
  }
  EmitEvent(work_event_kind::kWorkerLost, {}, {}, aId,
            "the worker does not answer and its leases have expired",
            std::chrono::duration_cast<milliseconds>(aNow - aWorker.mLastReportAt));
  for (const run_id& each : expired) {
    HandleRunLost(aWorker, each, "the worker does not answer and its lease has expired", aNow);
  }
}

void work_core::state::HandleTimeouts(instant aNow)
{
  ExpireInterference(aNow);
  RetryRefusedJobs(aNow);
  for (auto& [id, worker] : mWorkers) {
    if (!worker.mReachable) {
      HandleExpiredLeases(id, worker, aNow);
    }
    DropExpiredOrphans(worker, aNow);
    SendStops(worker, aNow);
    SendPaces(worker, aNow);
    if (worker.mFailuresInRow > 0 && worker.mProbationUntil <= aNow) {
      ClearFailures(worker);
    }
  }
  const auto isUnused = [](const worker_entry& aWorker) {
    // Stored ends are acknowledged before the worker is removed, as long as it answers.
    const bool ackPending = aWorker.mAckDue && aWorker.mReachable;
    return !aWorker.mListed && aWorker.mRuns.empty() && aWorker.mOrphans.empty() &&
           aWorker.mPendingEnds.empty() && !ackPending && aWorker.mClaimed == task_demand{};
  };
  std::erase_if(mWorkers, [&](const auto& aWorker) { return isUnused(aWorker.second); });
}

} // namespace briarwind
