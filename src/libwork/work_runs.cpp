#include "work_table.h"

#include <algorithm>

namespace briarwind {

namespace {

// A stop without an answer is sent again after this; a little over what an answer takes when the
// worker is slow.
constexpr milliseconds kStopRetry{ 400 };

} // namespace

void work_core::state::Note(work_note_kind aKind, const std::string& aJob, std::string aTask,
                            std::string aWorker, std::string_view aReason, milliseconds aAge)
{
  mActions.emplace_back(
    work_note{ aKind, aJob, std::move(aTask), std::move(aWorker), std::string(aReason), aAge });
}

void work_core::state::DropRun(worker_entry& aWorker, const run_id& aRun)
{
  const auto found = aWorker.mRuns.find(aRun);
  if (found != aWorker.mRuns.end()) {
    aWorker.mUsed -= found->second.mDemand;
    aWorker.mRuns.erase(found);
    mReplan = true;
  }
}

void work_core::state::RunEnded(worker_entry& aWorker, const run_id& aRun, run_end aHow,
                                const std::string& aCheckpoint, instant aNow)
{
  const std::string worker = aWorker.mInfo.mId;
  DropRun(aWorker, aRun);
  const task_entry* task = FindTask(aRun.mTask);
  const bool current = task != nullptr && task->mPhase == task_phase::kLive &&
                       task->mRun == aRun.mRun && task->mWorker == worker;
  Note(work_note_kind::kEnded, aRun.mTask.mJob, ToString(aRun.mTask), worker,
       current ? ToString(aHow) : "superseded");
  if (aHow == run_end::kDone) {
    TrustAgain(aWorker);
    aWorker.mLastDone = aNow;
  }
  if (!current) {
    return;
  }
  const work_step& spec =
    FindJob(aRun.mTask.mJob)->mSpec.mSteps[static_cast<std::size_t>(aRun.mTask.mStep)];
  if (aHow == run_end::kDone && !spec.mLasting) {
    TaskDone(aRun.mTask, aNow);
    return;
  }
  StopOthersOfGang(aRun, aNow);
  if (aHow == run_end::kFailed) {
    BlameFor(aWorker, aRun, "a run failed", aNow);
    TaskFailed(aRun, worker, aNow);
  }
  RequeueTask(aRun, aCheckpoint, aNow);
}

void work_core::state::RunLost(worker_entry& aWorker, const run_id& aRun, std::string_view aReason,
                               instant aNow)
{
  const std::string worker = aWorker.mInfo.mId;
  const auto age = std::chrono::duration_cast<milliseconds>(aNow - aWorker.mLastHeard);
  DropRun(aWorker, aRun);
  Note(work_note_kind::kLost, aRun.mTask.mJob, ToString(aRun.mTask), worker, aReason, age);
  const task_entry* task = FindTask(aRun.mTask);
  if (task != nullptr && task->mPhase == task_phase::kLive && task->mRun == aRun.mRun &&
      task->mWorker == worker) {
    StopOthersOfGang(aRun, aNow);
    RequeueTask(aRun, {}, aNow);
  }
}

void work_core::state::RequeueTask(const run_id& aRun, const std::string& aCheckpoint, instant aNow)
{
  job_entry* job = FindJob(aRun.mTask.mJob);
  task_entry* task = FindTask(aRun.mTask);
  if (job == nullptr || task == nullptr || job->IsOver()) {
    return;
  }
  task->mPhase = task_phase::kWaiting;
  task->mWorker.clear();
  if (!aCheckpoint.empty()) {
    task->mCheckpoint = aCheckpoint;
    const work_step& spec = job->mSpec.mSteps[static_cast<std::size_t>(aRun.mTask.mStep)];
    if (spec.mGang) {
      // The state of any member serves all, and all have to start from the same one.
      for (task_entry& each : FindStep(aRun.mTask)->mTasks) {
        each.mCheckpoint = aCheckpoint;
      }
    }
  }
  FindStep(aRun.mTask)->mReadySince = aNow;
  Changed(*job);
}

void work_core::state::TaskDone(const task_id& aTask, instant aNow)
{
  job_entry* job = FindJob(aTask.mJob);
  step_entry* step = FindStep(aTask);
  if (job == nullptr || step == nullptr || job->IsOver()) {
    return;
  }
  const bool gang = job->mSpec.mSteps[static_cast<std::size_t>(aTask.mStep)].mGang;
  for (std::size_t i = 0; i < step->mTasks.size(); ++i) {
    task_entry& task = step->mTasks[i];
    if ((gang || static_cast<int>(i) == aTask.mIndex) && task.mPhase != task_phase::kDone) {
      task.mPhase = task_phase::kDone;
      ++step->mDone;
    }
  }
  Changed(*job);
  if (step->IsDone()) {
    FinishIfDone(*job, aNow);
  }
}

void work_core::state::TaskFailed(const run_id& aRun, const std::string& aWorker, instant aNow)
{
  job_entry* job = FindJob(aRun.mTask.mJob);
  step_entry* step = FindStep(aRun.mTask);
  task_entry* task = FindTask(aRun.mTask);
  if (job == nullptr || task == nullptr || job->IsOver()) {
    return;
  }
  const work_step& spec = job->mSpec.mSteps[static_cast<std::size_t>(aRun.mTask.mStep)];
  task->mFailedOn.insert(aWorker);
  // A gang that fails counts once, whichever of its members told of it.
  if (!spec.mGang || step->mLastFailedRun != aRun.mRun) {
    step->mLastFailedRun = aRun.mRun;
    ++step->mFailedRuns;
    ++task->mFailures;
  }
  const int failures = spec.mGang ? step->mFailedRuns : task->mFailures;
  const auto queue = mSettings.mQueues.find(job->mSpec.mQueue);
  const int attempts =
    queue == mSettings.mQueues.end() ? job->mSpec.mPolicy.mAttempts : queue->second.mAttempts;
  if (!spec.mLasting && failures >= attempts) {
    Finish(*job, work_state::kFailed,
           fmt::format("{} failed {} times", ToString(aRun.mTask), failures), aNow);
  }
}

void work_core::state::StopOthersOfGang(const run_id& aRun, instant aNow)
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
      StopRun(worker->second, other, "member of its gang ended", aNow);
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
  Note(work_note_kind::kStopped, aRun.mTask.mJob, ToString(aRun.mTask), aWorker.mInfo.mId, aReason);
  if (run.mPhase == run_phase::kRecording) {
    // No order has left, so there is nothing to stop; the record that is under way is written
    // over by the change that follows.
    DropRun(aWorker, aRun);
    RequeueTask(aRun, {}, aNow);
    return;
  }
  run.mPhase = run_phase::kStopping;
  run.mPhaseSince = aNow;
  run.mStopAnswered = false;
  run.mStopUnderWay = false;
  run.mStopSent = {};
  SendStops(aWorker, aNow);
}

void work_core::state::StopTaskRuns(job_entry& aJob, std::string_view aReason, instant aNow)
{
  std::vector<std::pair<std::string, run_id>> live;
  for (const occurrence_entry& occurrence : aJob.mOccurrences) {
    for (std::size_t step = 0; step < occurrence.mSteps.size(); ++step) {
      const step_entry& entry = occurrence.mSteps[step];
      for (std::size_t i = 0; i < entry.mTasks.size(); ++i) {
        if (entry.mTasks[i].mPhase == task_phase::kLive) {
          const task_id task{ aJob.mSpec.mId, occurrence.mNumber, static_cast<int>(step),
                              static_cast<int>(i) };
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
    const bool due = run.mStopSent + kStopRetry <= aNow || run.mStopSent == instant();
    if (run.mPhase == run_phase::kStopping && !run.mStopAnswered && !run.mStopUnderWay && due) {
      run.mStopUnderWay = true;
      run.mStopSent = aNow;
      mActions.emplace_back(stop_run{ id, aWorker.mInfo.mId });
    }
  }
}

// Orders leave only now that the record names the worker: whoever leads next will ask it.
void work_core::state::ReleaseRecorded(job_entry& aJob, instant aNow)
{
  std::vector<std::pair<std::string, run_id>> dropped;
  for (occurrence_entry& occurrence : aJob.mOccurrences) {
    for (std::size_t step = 0; step < occurrence.mSteps.size(); ++step) {
      const work_step& spec = aJob.mSpec.mSteps[step];
      step_entry& entry = occurrence.mSteps[step];
      for (std::size_t i = 0; i < entry.mTasks.size(); ++i) {
        task_entry& task = entry.mTasks[i];
        const auto worker = mWorkers.find(task.mWorker);
        if (task.mPhase != task_phase::kLive || worker == mWorkers.end()) {
          continue;
        }
        const run_id id{ { aJob.mSpec.mId, occurrence.mNumber, static_cast<int>(step),
                           static_cast<int>(i) },
                         task.mRun };
        const auto run = worker->second.mRuns.find(id);
        if (run == worker->second.mRuns.end() || run->second.mPhase != run_phase::kRecording ||
            run->second.mRecordedIn > aJob.mChangeStored) {
          continue;
        }
        ready_unit unit;
        unit.mJob = &aJob;
        unit.mOccurrence = &occurrence;
        unit.mStep = static_cast<int>(step);
        const auto queue = mSettings.mQueues.find(aJob.mSpec.mQueue);
        unit.mQueue = queue == mSettings.mQueues.end() ? &aJob.mSpec.mPolicy : &queue->second;
        if (!IsUsable(worker->second, unit, aNow)) {
          dropped.emplace_back(task.mWorker, id);
          continue;
        }
        run->second.mPhase = run_phase::kStarting;
        run->second.mPhaseSince = aNow;
        run->second.mStartedAt = aNow;
        mActions.emplace_back(start_run{ id, task.mWorker, aJob.mSpec.mPayload,
                                         spec.mCheckpoints ? task.mCheckpoint : std::string(),
                                         entry.mAdvice[task.mWorker].mTicket });
        Note(work_note_kind::kStarted, aJob.mSpec.mId, ToString(id.mTask), task.mWorker,
             fmt::format("run {}", id.mRun),
             std::chrono::duration_cast<milliseconds>(aNow - worker->second.mClockAt));
      }
    }
  }
  for (const auto& [worker, run] : dropped) {
    StopOthersOfGang(run, aNow);
    StopRun(mWorkers[worker], run, "worker not to be used any more", aNow);
  }
}

void work_core::state::AdvanceAcknowledged(worker_entry& aWorker)
{
  std::erase_if(aWorker.mPendingEnds, [&](const auto& aPending) {
    const auto& [jobId, change] = aPending.second;
    const job_entry* job = FindJob(jobId);
    return job == nullptr || job->mChangeStored >= change;
  });
  const std::int64_t through =
    aWorker.mPendingEnds.empty() ? aWorker.mSeenEnds : aWorker.mPendingEnds.begin()->first - 1;
  if (through > aWorker.mAcknowledged) {
    aWorker.mAcknowledged = through;
    aWorker.mAckDue = true;
  }
}

void work_core::state::WorkerSilent(const std::string& aId, worker_entry& aWorker, instant aNow)
{
  if (aWorker.mRuns.empty() || aNow < aWorker.mLeaseSurelyOver) {
    return;
  }
  std::vector<run_id> gone;
  for (const auto& [id, run] : aWorker.mRuns) {
    if (run.mPhase != run_phase::kRecording) {
      gone.push_back(id);
    }
  }
  if (gone.empty()) {
    return;
  }
  Note(work_note_kind::kWorkerLost, {}, {}, aId, "its leases have run out",
       std::chrono::duration_cast<milliseconds>(aNow - aWorker.mLastHeard));
  for (const run_id& each : gone) {
    RunLost(aWorker, each, "lease surely over", aNow);
  }
}

void work_core::state::TimeOut(instant aNow)
{
  for (auto& [id, worker] : mWorkers) {
    if (!worker.mInTouch) {
      WorkerSilent(id, worker, aNow);
    }
    SendStops(worker, aNow);
    if (worker.mFailuresInRow > 0 && worker.mProbedUntil <= aNow) {
      TrustAgain(worker);
    }
  }
  std::erase_if(mWorkers, [](const auto& aWorker) {
    const worker_entry& worker = aWorker.second;
    // An end that is stored is acknowledged before its worker is forgotten, while that answers.
    const bool owesAck = worker.mAckDue && worker.mInTouch;
    return !worker.mListed && worker.mRuns.empty() && worker.mPendingEnds.empty() && !owesAck &&
           worker.mClaimed == task_demand{};
  });
}

} // namespace briarwind
