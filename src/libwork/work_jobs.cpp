#include "record_parts.h"
#include "work_record.h"
#include "work_table.h"

#include <algorithm>
#include <numeric>
#include <ranges>
#include <utility>

namespace briarwind {

namespace {

// An occurrence opens only while fewer than this many of its job wait for workers: those behind
// them could not start either, and each costs memory and a part of every placement pass.
constexpr std::int64_t kMaxWaitingOccurrences = 64;
// Tasks of the occurrences that one decision opens over all jobs; the next ones follow with the
// next decision.
constexpr int kMaxTasksOpenedAtOnce = 4'096;

// How many more occurrences may be open. The first one always may.
std::int64_t CountOpenable(const job_entry& aJob, std::int64_t aTasks)
{
  const auto open = static_cast<std::int64_t>(aJob.mOccurrences.size());
  const auto waiting = std::ranges::count_if(
    aJob.mOccurrences | std::views::values,
    [&](const occurrence_entry& aEach) { return aEach.WaitsForWorkers(aJob.mSpec); });
  const std::int64_t more =
    std::min(kMaxWaitingOccurrences - waiting, kMaxOpenTasks / aTasks - open);
  return std::max(more, std::int64_t{ open == 0 });
}

} // namespace

occurrence_entry::occurrence_entry(const work_job& aJob, int aNumber)
  : mNumber(aNumber)
{
  mSteps.reserve(aJob.mSteps.size());
  std::ranges::for_each(aJob.mSteps,
                        [this](const work_step& aStep) { mSteps.emplace_back(aStep.mCount); });
}

bool occurrence_entry::IsFinished() const
{
  return std::ranges::all_of(mSteps, &step_entry::IsDone);
}

bool occurrence_entry::WaitsForWorkers(const work_job& aJob) const
{
  for (std::size_t i = 0; i < mSteps.size(); ++i) {
    if (mSteps[i].HasTasksToPlace() && ArePredecessorsDone(*this, aJob.mSteps[i])) {
      return true;
    }
  }
  return false;
}

bool ArePredecessorsDone(const occurrence_entry& aOccurrence, const work_step& aStep)
{
  return std::ranges::all_of(aStep.mAfter, [&](int aBefore) {
    const auto index = static_cast<std::size_t>(aBefore);
    return index < aOccurrence.mSteps.size() && aOccurrence.mSteps[index].IsDone();
  });
}

job_entry* work_core::state::FindJob(const std::string& aJob)
{
  const auto found = mJobs.find(aJob);
  return found == mJobs.end() ? nullptr : &found->second;
}

step_entry* work_core::state::FindStep(const task_id& aTask)
{
  job_entry* job = FindJob(aTask.mJob);
  if (job == nullptr) {
    return nullptr;
  }
  const auto found = job->mOccurrences.find(aTask.mOccurrence);
  const auto step = static_cast<std::size_t>(aTask.mStep);
  return found == job->mOccurrences.end() || step >= found->second.mSteps.size()
           ? nullptr
           : &found->second.mSteps[step];
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

occurrence_entry* work_core::state::OpenOccurrence(job_entry& aJob, int aNumber)
{
  if (aNumber < 0 || aNumber >= aJob.TotalOccurrences() ||
      boost::icl::contains(aJob.mFinishedOccurrences, aNumber)) {
    return nullptr;
  }
  return &aJob.mOccurrences.try_emplace(aNumber, aJob.mSpec, aNumber).first->second;
}

void work_core::state::MarkPartChanged(job_entry& aJob, const task_id& aTask)
{
  if (aJob.mIsInParts) {
    const std::int64_t part = PartOf(aJob.mSpec, aTask);
    aJob.mParts[part].mChange = aJob.mChange;
    aJob.mChangedParts.insert(part);
  }
}

void work_core::state::MarkStepChanged(job_entry& aJob, const task_id& aTask)
{
  const step_entry* step = aJob.mIsInParts ? FindStep(aTask) : nullptr;
  const int count = step == nullptr ? 0 : static_cast<int>(step->mTasks.size());
  task_id each = aTask;
  for (each.mIndex = 0; each.mIndex < count; ++each.mIndex) {
    MarkPartChanged(aJob, each);
  }
}

std::int64_t job_entry::LastChange(const task_id& aTask) const
{
  if (!mIsInParts || IsFinished()) {
    return mChange;
  }
  const auto part = mParts.find(PartOf(mSpec, aTask));
  return part == mParts.end() ? 0 : part->second.mChange;
}

bool job_entry::IsStored(const task_id& aTask, std::int64_t aChange) const
{
  if (!mIsInParts || IsFinished()) {
    return mChangeStored >= aChange;
  }
  const auto part = mParts.find(PartOf(mSpec, aTask));
  return part == mParts.end() || part->second.mChangeStored >= aChange;
}

// Occurrences become due by the wall clock alone. The tolerance for early starts covers the error
// of that clock.
int work_core::state::OpenOccurrences(job_entry& aJob, wall_time aWallNow, int aMaxTasks)
{
  const bool timed = aJob.mSpec.mOccurrences > 0;
  const auto now = std::chrono::floor<milliseconds>(aWallNow);
  const std::int64_t tasks = TasksPerOccurrence(aJob.mSpec);
  int& next = aJob.mNextOccurrence;
  std::int64_t opened = 0;
  std::optional<std::int64_t> openable;
  bool isBehind = false;
  while (next < aJob.TotalOccurrences() && !aJob.IsFinished()) {
    if (const auto finished = aJob.mFinishedOccurrences.find(next);
        finished != aJob.mFinishedOccurrences.end()) {
      next = boost::icl::last(*finished) + 1;
      continue;
    }
    if (aJob.mOccurrences.contains(next)) {
      ++next;
      continue;
    }
    const bool due =
      !timed || SaturatingAdvance(aJob.mSpec.mFirstDue, next, aJob.mSpec.mInterval) <= now;
    if (due && !openable) {
      openable = CountOpenable(aJob, tasks);
    }
    isBehind = due && (opened >= aMaxTasks || *openable <= 0);
    if (!due || isBehind) {
      break;
    }
    OpenOccurrence(aJob, next++);
    --*openable;
    opened += tasks;
    mReplan = true;
  }
  if (!std::exchange(aJob.mIsBehindSchedule, isBehind) && isBehind) {
    EmitEvent(work_event_kind::kOccurrencesWait, aJob.mSpec.mId, {}, {},
              fmt::format("{} are open, the next is {}", aJob.mOccurrences.size(), next));
  }
  return static_cast<int>(opened);
}

void work_core::state::OpenDueOccurrences(wall_time aWallNow)
{
  int left = kMaxTasksOpenedAtOnce;
  for (auto& [id, job] : mJobs) {
    if (left <= 0) {
      return;
    }
    if (!job.IsFinished() && job.mNextOccurrence < job.TotalOccurrences()) {
      left -= OpenOccurrences(job, aWallNow, left);
    }
  }
}

void work_core::state::RestoreJob(job_entry& aJob, const stored_job& aStored, instant aNow)
{
  aJob.mRevision = aStored.mProgressRevision;
  aJob.mIsInParts = IsInParts(aJob.mSpec);
  if (aStored.mProgress.empty()) {
    return;
  }
  const auto read = ToIoResult([&] { return ParseProgress(aStored.mProgress, aJob.mSpec.mId); });
  if (!read) {
    EmitEvent(work_event_kind::kLost, aJob.mSpec.mId, {}, {},
              "the stored progress record is unreadable; the job starts from the beginning");
    for (const record_part& each : aStored.mProgressParts) {
      aJob.mParts[each.mNumber].mIsStored = true;
      aJob.mChangedParts.insert(each.mNumber);
    }
    return;
  }
  const progress_record& record = read.value();
  aJob.mState = record.mState;
  aJob.mReason = record.mReason;
  // The former version has kept the progress of any job in one record, which is continued.
  aJob.mIsInParts = record.mIsInParts;
  if (aJob.IsFinished()) {
    aJob.mFinishedAt = aNow;
    RestoreStoppingRuns(aJob, record.mStopping, aNow);
    RestoreParts(aJob, aStored, aNow);
    return;
  }
  for (const auto& [first, last] : record.mFinishedOccurrences) {
    aJob.mFinishedOccurrences.add({ first, last });
  }
  RestoreSteps(aJob, record);
  RestoreStoppingRuns(aJob, record.mStopping, aNow);
  RestoreTasks(aJob, record.mTasks, aNow);
  RestoreParts(aJob, aStored, aNow);
}

// Parts may be of different changes, where an earlier leader was replaced between two transactions.
// Each names runs before their orders are sent and ends before they are acknowledged. Of a finished
// job they name the runs that may still be stopping.
void work_core::state::RestoreParts(job_entry& aJob, const stored_job& aStored, instant aNow)
{
  std::vector<progress_record> records;
  for (const record_part& each : aStored.mProgressParts) {
    aJob.mParts[each.mNumber].mIsStored = true;
    auto read = ToIoResult([&] { return ParseProgress(each.mValue, aJob.mSpec.mId); });
    if (!read) {
      EmitEvent(work_event_kind::kLost, aJob.mSpec.mId, {}, {},
                fmt::format("part {} of the stored progress record is unreadable; its tasks start "
                            "from the beginning",
                            each.mNumber));
      continue;
    }
    records.push_back(std::move(read).value());
  }
  if (aJob.IsFinished()) {
    for (progress_record& each : records) {
      std::erase_if(each.mTasks, [](const progress_task& aTask) { return aTask.mWorker.empty(); });
      RestoreStoppingRuns(aJob, each.mTasks, aNow);
    }
    return;
  }
  for (const progress_record& each : records) {
    RestoreSteps(aJob, each);
  }
  RestoreGangEnds(aJob);
  for (const progress_record& each : records) {
    RestoreTasks(aJob, each.mTasks, aNow);
  }
}

// The end of one member stands for all of them, whatever parts their rows are in.
void work_core::state::RestoreGangEnds(job_entry& aJob)
{
  for (auto& [number, occurrence] : aJob.mOccurrences) {
    for (std::size_t i = 0; i < occurrence.mSteps.size(); ++i) {
      step_entry& step = occurrence.mSteps[i];
      if (!aJob.mSpec.mSteps[i].mGang || step.DoneTasks() == 0 || step.IsDone()) {
        continue;
      }
      MarkChanged(aJob);
      MarkStepChanged(aJob, { aJob.mSpec.mId, number, static_cast<int>(i), 0 });
      std::ranges::for_each(step.mTasks,
                            [&](task_entry& aTask) { step.SetPhase(aTask, task_phase::kDone); });
    }
  }
}

// Only the occurrences that the record says something about are opened; the others are opened as
// they become due, like those that never were.
void work_core::state::RestoreSteps(job_entry& aJob, const progress_record& aRecord)
{
  for (const progress_done& each : aRecord.mDone) {
    OpenOccurrence(aJob, each.mOccurrence);
    step_entry* step = FindStep({ aJob.mSpec.mId, each.mOccurrence, each.mStep, 0 });
    if (step == nullptr) {
      continue;
    }
    if (each.mTasks.empty()) {
      std::ranges::for_each(step->mTasks,
                            [&](task_entry& aTask) { step->SetPhase(aTask, task_phase::kDone); });
    }
    for (const int index : each.mTasks) {
      if (std::cmp_less(index, step->mTasks.size()) && index >= 0) {
        step->SetPhase(step->mTasks[static_cast<std::size_t>(index)], task_phase::kDone);
      }
    }
  }
  for (const progress_failure& each : aRecord.mFailures) {
    OpenOccurrence(aJob, each.mOccurrence);
    if (step_entry* step = FindStep({ aJob.mSpec.mId, each.mOccurrence, each.mStep, 0 })) {
      step->mLastFailedRun = each.mRun;
    }
  }
}

void work_core::state::RestoreTasks(job_entry& aJob, const std::vector<progress_task>& aTasks,
                                    instant aNow)
{
  for (const progress_task& each : aTasks) {
    OpenOccurrence(aJob, each.mTask.mOccurrence);
    step_entry* step = FindStep(each.mTask);
    task_entry* task = FindTask(each.mTask);
    if (task == nullptr || task->mPhase == task_phase::kDone) {
      continue;
    }
    task->mRun = each.mRun;
    step->SetFailures(*task, each.mFailures);
    task->mCountedFailure = each.mCountedFailure;
    step->mLastFailedRun = std::max(step->mLastFailedRun, each.mCountedFailure);
    task->mCheckpoint = each.mCheckpoint;
    if (!each.mWorker.empty()) {
      step->SetPhase(*task, task_phase::kLive);
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
      aJob.mStoppingRuns.emplace(each.mWorker, run_id{ each.mTask, each.mRun });
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
  // The parts that are stored last name the runs of a wide job.
  if (aJob.mIsInParts) {
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
        aJob.mStoppingRuns.emplace(id, each->first);
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
  std::erase_if(aJob.mOccurrences, [&](const auto& aEach) {
    const auto& [number, occurrence] = aEach;
    if (occurrence.IsFinished()) {
      aJob.mFinishedOccurrences.add(number);
      return true;
    }
    return false;
  });
  if (boost::icl::contains(aJob.mFinishedOccurrences,
                           boost::icl::closed_interval<int>(0, aJob.TotalOccurrences() - 1))) {
    FinishJob(aJob, work_state::kCompleted, {}, aNow);
  }
}

} // namespace briarwind
