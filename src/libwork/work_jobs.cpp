#include "work_record.h"
#include "work_table.h"

#include <algorithm>

namespace briarwind {

namespace {

occurrence_entry MakeOccurrence(const work_job& aJob, int aNumber)
{
  occurrence_entry opened;
  opened.mNumber = aNumber;
  std::ranges::transform(aJob.mSteps, std::back_inserter(opened.mSteps),
                         [](const work_step& aStep) {
                           step_entry step;
                           step.mTasks.resize(static_cast<std::size_t>(aStep.mCount));
                           return step;
                         });
  return opened;
}

occurrence_entry* FindOccurrence(job_entry& aJob, int aNumber)
{
  const auto found = std::ranges::find(aJob.mOccurrences, aNumber, &occurrence_entry::mNumber);
  return found == aJob.mOccurrences.end() ? nullptr : &*found;
}

bool IsFinished(const occurrence_entry& aOccurrence)
{
  return std::ranges::all_of(aOccurrence.mSteps, &step_entry::IsDone);
}

void MarkDone(step_entry& aStep, std::size_t aTask)
{
  if (aTask < aStep.mTasks.size() && aStep.mTasks[aTask].mPhase != task_phase::kDone) {
    aStep.mTasks[aTask].mPhase = task_phase::kDone;
    ++aStep.mDone;
  }
}

} // namespace

job_entry* work_core::state::FindJob(const std::string& aJob)
{
  const auto found = mJobs.find(aJob);
  return found == mJobs.end() ? nullptr : &found->second;
}

step_entry* work_core::state::FindStep(const task_id& aTask)
{
  job_entry* job = FindJob(aTask.mJob);
  occurrence_entry* occurrence = job == nullptr ? nullptr : FindOccurrence(*job, aTask.mOccurrence);
  const auto step = static_cast<std::size_t>(aTask.mStep);
  return occurrence == nullptr || step >= occurrence->mSteps.size() ? nullptr
                                                                    : &occurrence->mSteps[step];
}

const work_step* work_core::state::FindSpec(const task_id& aTask)
{
  const job_entry* job = FindJob(aTask.mJob);
  const auto step = static_cast<std::size_t>(aTask.mStep);
  return job == nullptr || step >= job->mSpec.mSteps.size() ? nullptr : &job->mSpec.mSteps[step];
}

task_entry* work_core::state::FindTask(const task_id& aTask)
{
  step_entry* step = FindStep(aTask);
  const auto index = static_cast<std::size_t>(aTask.mIndex);
  return step == nullptr || index >= step->mTasks.size() ? nullptr : &step->mTasks[index];
}

void work_core::state::MarkChanged(job_entry& aJob)
{
  ++aJob.mChange;
  mReplan = true;
}

// Occurrences become due by the wall clock alone. The tolerance for early starts covers the error
// of that clock.
void work_core::state::OpenOccurrences(job_entry& aJob, wall_time aWallNow)
{
  const int total = std::max(aJob.mSpec.mOccurrences, 1);
  while (aJob.mNextOccurrence < total && !aJob.IsFinished()) {
    const bool timed = aJob.mSpec.mOccurrences > 0;
    if (timed && aJob.mSpec.mFirstDue + aJob.mNextOccurrence * aJob.mSpec.mInterval > aWallNow) {
      return;
    }
    if (!aJob.mFinishedOccurrences.contains(aJob.mNextOccurrence)) {
      aJob.mOccurrences.push_back(MakeOccurrence(aJob.mSpec, aJob.mNextOccurrence));
      mReplan = true;
    }
    ++aJob.mNextOccurrence;
  }
}

void work_core::state::RestoreJob(job_entry& aJob, const stored_job& aStored, instant aNow)
{
  aJob.mRevision = aStored.mProgressRevision;
  if (aStored.mProgress.empty()) {
    return;
  }
  const auto read = ToIoResult([&] { return ParseProgress(aStored.mProgress, aJob.mSpec.mId); });
  if (!read) {
    EmitEvent(work_event_kind::kLost, aJob.mSpec.mId, {}, {},
              "the stored progress record is unreadable; the job starts from the beginning");
    return;
  }
  const progress_record& record = read.value();
  aJob.mState = record.mState;
  aJob.mReason = record.mReason;
  if (aJob.IsFinished()) {
    aJob.mFinishedAt = aNow;
    RestoreStoppingRuns(aJob, record.mStopping, aNow);
    return;
  }
  aJob.mFinishedOccurrences.insert(record.mFinishedOccurrences.begin(),
                                   record.mFinishedOccurrences.end());
  for (int i = 0; i < record.mNextOccurrence; ++i) {
    if (!aJob.mFinishedOccurrences.contains(i)) {
      aJob.mOccurrences.push_back(MakeOccurrence(aJob.mSpec, i));
    }
  }
  aJob.mNextOccurrence = record.mNextOccurrence;
  RestoreSteps(aJob, record);
  RestoreStoppingRuns(aJob, record.mStopping, aNow);
  RestoreTasks(aJob, record.mTasks, aNow);
}

void work_core::state::RestoreSteps(const job_entry& aJob, const progress_record& aRecord)
{
  for (const progress_done& each : aRecord.mDone) {
    step_entry* step = FindStep({ aJob.mSpec.mId, each.mOccurrence, each.mStep, 0 });
    for (std::size_t i = 0; step != nullptr && i < step->mTasks.size(); ++i) {
      if (each.mTasks.empty() || std::ranges::count(each.mTasks, static_cast<int>(i)) > 0) {
        MarkDone(*step, i);
      }
    }
  }
  for (const progress_failure& each : aRecord.mFailures) {
    if (step_entry* step = FindStep({ aJob.mSpec.mId, each.mOccurrence, each.mStep, 0 })) {
      step->mLastFailedRun = each.mRun;
    }
  }
}

void work_core::state::RestoreTasks(job_entry& aJob, const std::vector<progress_task>& aTasks,
                                    instant aNow)
{
  for (const progress_task& each : aTasks) {
    task_entry* task = FindTask(each.mTask);
    if (task == nullptr || task->mPhase == task_phase::kDone) {
      continue;
    }
    task->mRun = each.mRun;
    task->mFailures = each.mFailures;
    task->mCheckpoint = each.mCheckpoint;
    if (!each.mWorker.empty()) {
      task->mPhase = task_phase::kLive;
      task->mWorker = each.mWorker;
      RestoreRun(aJob, { each.mTask, each.mRun }, each.mWorker, aNow);
    }
  }
}

// No task of the job needs the runs, so the next report of the worker leads to a stop order or to
// the run's removal. Until then they count against the organisation's limit.
void work_core::state::RestoreStoppingRuns(job_entry& aJob,
                                           const std::vector<progress_task>& aStopping,
                                           instant aNow)
{
  for (const progress_task& each : aStopping) {
    if (each.mTask.mStep >= 0 && each.mTask.mStep < static_cast<int>(aJob.mSpec.mSteps.size())) {
      aJob.mStoppingRuns.emplace_back(run_id{ each.mTask, each.mRun }, each.mWorker);
      RestoreRun(aJob, { each.mTask, each.mRun }, each.mWorker, aNow);
    }
  }
}

// The order of a restored run may not have been sent, may still be in flight, or may have taken
// effect. Until the worker reports, the run occupies capacity there and its task is not started
// elsewhere.
void work_core::state::RestoreRun(job_entry& aJob, const run_id& aRun, const std::string& aWorker,
                                  instant aNow)
{
  worker_entry& worker = mWorkers[aWorker];
  if (worker.mInfo.mId.empty()) {
    worker.mInfo.mId = aWorker;
    worker.mLeasesExpireAt = mTermSince + std::chrono::duration_cast<milliseconds>(
                                            mOptions.mMaxLease * mOptions.mClockDriftFactor);
  }
  const work_step& step = aJob.mSpec.mSteps[static_cast<std::size_t>(aRun.mTask.mStep)];
  run_entry run;
  run.mPhase = run_phase::kRestored;
  run.mDemand = CapacityDemand(step);
  run.mGang = step.mGang;
  run.mLongRunning = step.mLongRunning;
  run.mPhaseSince = aNow;
  run.mLastProgressAt = aNow;
  run.mStartedAt = aNow;
  run.mPacePercent = -1; // an earlier leader may have set one
  AddRun(worker, aRun, std::move(run), aJob);
  worker.mReachable = false;
}

// Members of a gang are not needed any more once one of them is done, and no run is once the job
// has ended. Only organisations with a limit need the record. While no settings have been read, any
// organisation may have one.
void work_core::state::RecordStoppingRuns(job_entry& aJob)
{
  aJob.mStoppingRuns.clear();
  if (mSettings.mVersion > 0 && !mLedger.HasLimit(aJob.mSpec.mOrganisation)) {
    return;
  }
  for (const auto& [id, worker] : mWorkers) {
    const auto first = worker.mRuns.lower_bound(run_id{ { aJob.mSpec.mId, 0, 0, 0 }, 0 });
    for (auto each = first; each != worker.mRuns.end() && each->first.mTask.mJob == aJob.mSpec.mId;
         ++each) {
      const task_entry* task = FindTask(each->first.mTask);
      const bool needed =
        task != nullptr && task->mPhase == task_phase::kLive && task->mRun == each->first.mRun;
      if (!needed) {
        aJob.mStoppingRuns.emplace_back(each->first, id);
      }
    }
  }
}

void work_core::state::FinishJob(job_entry& aJob, work_state aState, const std::string& aReason,
                                 instant aNow)
{
  if (aJob.IsFinished()) {
    return;
  }
  ReleaseClaims(aJob);
  StopJobRuns(aJob, ToString(aState), aNow);
  aJob.mState = aState;
  aJob.mReason = aReason;
  aJob.mFinishedAt = aNow;
  aJob.mOccurrences.clear();
  RecordStoppingRuns(aJob);
  MarkChanged(aJob);
  EmitEvent(work_event_kind::kJobOver, aJob.mSpec.mId, {}, {},
            aReason.empty() ? std::string(ToString(aState)) : aReason,
            std::chrono::duration_cast<milliseconds>(aNow - aJob.mAddedAt));
}

void work_core::state::FinishJobIfDone(job_entry& aJob, instant aNow)
{
  for (const occurrence_entry& each : aJob.mOccurrences) {
    if (IsFinished(each)) {
      aJob.mFinishedOccurrences.insert(each.mNumber);
    }
  }
  std::erase_if(aJob.mOccurrences, IsFinished);
  if (aJob.mOccurrences.empty() && aJob.mNextOccurrence >= std::max(aJob.mSpec.mOccurrences, 1)) {
    FinishJob(aJob, work_state::kCompleted, {}, aNow);
  }
}

} // namespace briarwind
