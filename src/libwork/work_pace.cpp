#include "work_table.h"

#include <algorithm>

namespace briarwind {

namespace {

// A pace is judged over at least this long: percents are whole numbers.
constexpr milliseconds kPaceLeast{ 500 };
constexpr double kWholePercent = 100;
// Of what is known of a queue's run time, this much is the last run.
constexpr double kLearnShare = 0.15;
// A run is taken away from a slow worker when what is left is this many times a whole fresh run.
constexpr double kRescueGain = 1.5;
constexpr int kMostRescues = 2;

milliseconds Scale(milliseconds aTime, double aFactor)
{
  return std::chrono::duration_cast<milliseconds>(aTime * aFactor);
}

} // namespace

void work_core::state::MeasurePace(run_entry& aRun, const listed_run& aListed, instant aNow) const
{
  if (aRun.mPaceFrom < 0 || aListed.mPercent < aRun.mPaceFrom) {
    aRun.mPaceFrom = aListed.mPercent;
    aRun.mPaceSince = aNow;
    return;
  }
  const auto passed = std::chrono::duration_cast<milliseconds>(aNow - aRun.mPaceSince);
  if (passed >= kPaceLeast) {
    const int gained = std::max(1, aListed.mPercent - aRun.mPaceFrom);
    aRun.mWhole = Scale(passed, kWholePercent / gained);
  }
}

void work_core::state::LearnTime(const run_id& aRun, const run_entry& aEntry, instant aNow)
{
  const job_entry* job = FindJob(aRun.mTask.mJob);
  if (job == nullptr || aEntry.mAway || aEntry.mPhase != run_phase::kRunning) {
    return;
  }
  const auto took = std::chrono::duration_cast<milliseconds>(aNow - aEntry.mStartedAt);
  const auto [known, isNew] = mUsualTime.try_emplace(job->mSpec.mQueue, took);
  if (!isNew) {
    known->second = Scale(known->second, 1 - kLearnShare) + Scale(took, kLearnShare);
  }
}

milliseconds work_core::state::UsualTime(const job_entry& aJob, const work_step& aStep) const
{
  const auto known = mUsualTime.find(aJob.mSpec.mQueue);
  return known == mUsualTime.end() ? aStep.mEstimate : known->second;
}

std::optional<milliseconds> work_core::state::MiddleOfSiblings(const run_id& aId)
{
  const step_entry* step = FindStep(aId.mTask);
  std::vector<milliseconds> paces;
  for (std::size_t i = 0; step != nullptr && i < step->mTasks.size(); ++i) {
    const task_entry& task = step->mTasks[i];
    const auto worker = mWorkers.find(task.mWorker);
    run_id other = aId;
    other.mTask.mIndex = static_cast<int>(i);
    other.mRun = task.mRun;
    if (other == aId || task.mPhase != task_phase::kLive || worker == mWorkers.end()) {
      continue;
    }
    const auto run = worker->second.mRuns.find(other);
    if (run != worker->second.mRuns.end() && run->second.mWhole.count() > 0) {
      paces.push_back(run->second.mWhole);
    }
  }
  if (paces.empty()) {
    return std::nullopt;
  }
  const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
  std::ranges::nth_element(paces, middle);
  return *middle;
}

// Siblings tell best, since declared times are far off and jobs of a queue differ; where there are
// none, the run is held against both what was declared and what is usual.
bool work_core::state::IsHeldUp(worker_entry& aWorker, const run_id& aId, const run_entry& aRun,
                                instant aNow)
{
  const job_entry* job = FindJob(aId.mTask.mJob);
  task_entry* task = FindTask(aId.mTask);
  if (job == nullptr || task == nullptr || job->IsOver() || aRun.mWhole.count() == 0 ||
      aRun.mAway || aRun.mPhase != run_phase::kRunning) {
    return false;
  }
  const work_step& spec = job->mSpec.mSteps[static_cast<std::size_t>(aId.mTask.mStep)];
  const milliseconds usual = UsualTime(*job, spec);
  const auto siblings = MiddleOfSiblings(aId);
  if (!siblings && spec.mCount > 1) {
    return false; // the others are not measured yet, or over
  }
  const milliseconds expected =
    siblings ? std::max(*siblings, usual) : std::max(usual, spec.mEstimate);
  const double factor = siblings ? mOptions.mSlowAgainstSiblings : mOptions.mSlowAgainstUsual;
  if (spec.mLasting || aRun.mWhole < Scale(expected, factor)) {
    return false;
  }
  if (aWorker.mSlowUntil <= aNow) {
    Note(work_note_kind::kWorkerSlow, aId.mTask.mJob, ToString(aId.mTask), aWorker.mInfo.mId,
         fmt::format("{} ms at its pace, {} expected", aRun.mWhole.count(), expected.count()));
  }
  aWorker.mSlowUntil = aNow + mOptions.mSlowTime;
  const milliseconds left = Scale(aRun.mWhole, (kWholePercent - aRun.mPercent) / kWholePercent);
  if (left < Scale(expected, kRescueGain) || task->mRescues >= kMostRescues) {
    return false;
  }
  ++task->mRescues;
  return true;
}

} // namespace briarwind
