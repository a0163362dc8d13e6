#include "work_table.h"

#include <algorithm>

namespace briarwind {

namespace {

// Maximum number of the step's tasks that are looked at for a comparison. Eight tasks on each
// worker leave eight workers to compare with.
constexpr int kMaxComparedTasks = 64;
// Number of other workers after which no further tasks are looked at: the median of 16 tasks that
// differ by 30% is off by 5%, and each task looked at costs two look-ups.
constexpr std::size_t kMaxComparedWorkers = 16;
// A step of fewer tasks has too few on other workers.
constexpr int kMinComparedTasks = 4;
// Classes change over seconds, and an update visits all workers.
constexpr milliseconds kUpdateInterval{ 250 };

} // namespace

// The members of a gang go at the pace of the slowest one. Long-running tasks report no progress,
// best-effort tasks depend on the cores left idle beside them, and runs away from their data take
// several times as long.
bool work_core::state::ShowsRate(const worker_entry& aWorker, const work_step& aStep) const
{
  const bool isRemote = !aStep.mDataRack.empty() && aStep.mDataRack != aWorker.mInfo.mRack;
  return mOptions.mParts.mWorkerRates && aStep.mCount >= kMinComparedTasks && !aStep.mGang &&
         !aStep.mLongRunning && !aStep.mBestEffort && !isRemote;
}

void work_core::state::MeasurePace(const worker_entry& aWorker, const run_id& aId, run_entry& aRun,
                                   int aPercent, instant aNow)
{
  if (!aRun.mShowsRate) {
    return;
  }
  aRun.mPaceMeter.Read(aPercent, aWorker.mInfo.mClock);
  if (aRun.mPhase == run_phase::kRunning && aRun.mPaceMeter.IsComparisonDue()) {
    const worker_pace pace{ aWorker.mInfo.mId, *aRun.mPaceMeter.PerSecond() };
    const auto relative = RelativePace(pace, PacesOfOtherTasks(aWorker, aId));
    aRun.mPaceMeter.OnCompared(relative.has_value());
    if (relative) {
      mRates.AddSample(pace.mWorker, *relative, aNow);
    }
  }
}

// Paces of the step's tasks that run elsewhere, whatever their progress: taking only those that
// have progressed far would compare with the faster ones. Empty if they are not most of the tasks
// that were started: the measured ones may be those on the workers polled first, and once many
// tasks are done, those that still run are the slower ones.
std::vector<worker_pace> work_core::state::PacesOfOtherTasks(const worker_entry& aWorker,
                                                             const run_id& aId)
{
  std::vector<worker_pace> paces;
  std::size_t started = 0;
  run_id other = aId;
  const step_entry* step = FindStep(aId.mTask);
  const int count = step == nullptr ? 0 : static_cast<int>(step->mTasks.size());
  for (int i = 1; i < std::min(count, kMaxComparedTasks) && paces.size() < kMaxComparedWorkers;
       ++i) {
    other.mTask.mIndex = (aId.mTask.mIndex + i) % count;
    const task_entry& task = step->mTasks[static_cast<std::size_t>(other.mTask.mIndex)];
    other.mRun = task.mRun;
    // Of each worker one run counts, and tasks next to each other are often on one worker.
    if (task.mPhase == task_phase::kLive && !paces.empty() &&
        paces.back().mWorker == task.mWorker) {
      continue;
    }
    started += task.mPhase == task_phase::kDone ? 1 : 0;
    const auto worker = mWorkers.find(task.mWorker);
    if (task.mPhase != task_phase::kLive || worker == mWorkers.end() ||
        &worker->second == &aWorker) {
      continue;
    }
    const auto run = worker->second.mRuns.find(other);
    if (run == worker->second.mRuns.end() || run->second.mPhase != run_phase::kRunning) {
      continue;
    }
    ++started;
    if (const auto pace = run->second.mPaceMeter.PerSecond()) {
      paces.push_back({ task.mWorker, *pace });
    }
  }
  return 2 * paces.size() > started ? paces : std::vector<worker_pace>();
}

// Runs that were compared by their percentages are not counted twice.
void work_core::state::LearnWorkerRate(const worker_entry& aWorker, const run_id& aId,
                                       const run_entry& aRun, instant aNow)
{
  if (aRun.mShowsRate && aRun.mFromStart && !aRun.mPaceMeter.WasCompared()) {
    mRates.AddCompleted(aId.mTask, aWorker.mInfo.mId,
                        std::chrono::duration_cast<milliseconds>(aNow - aRun.mStartedAt), aNow);
  }
}

void work_core::state::UpdateWorkerRates(instant aNow)
{
  if (!mOptions.mParts.mWorkerRates || aNow < mRatesUpdatedAt + kUpdateInterval) {
    return;
  }
  mRatesUpdatedAt = aNow;
  for (const worker_rates::change& each : mRates.Update(aNow)) {
    const auto worker = mWorkers.find(each.mWorker);
    if (worker == mWorkers.end()) {
      continue;
    }
    if (each.mFrom == speed_class::kSlow || each.mTo == speed_class::kSlow) {
      EmitEvent(each.mTo == speed_class::kSlow ? work_event_kind::kWorkerSlow
                                               : work_event_kind::kWorkerNotSlow,
                {}, {}, each.mWorker, fmt::format("rate {:.2f}", each.mRate));
    }
  }
  for (auto& [id, worker] : mWorkers) {
    worker.mSpeed = mRates.Class(id);
  }
}

void work_core::state::UpdateWorkerPresence(instant aNow)
{
  if (!mOptions.mParts.mWorkerRates) {
    return;
  }
  for (const std::string& each : mPresence.Update(aNow)) {
    EmitEvent(work_event_kind::kWorkerFlaps, {}, {}, each, "went away twice within 10 s");
  }
  for (auto& [id, worker] : mWorkers) {
    worker.mIsFlapping = mPresence.IsFlapping(id, aNow);
    worker.mHasJustReturned = mPresence.HasJustReturned(id, aNow);
  }
}

} // namespace briarwind
