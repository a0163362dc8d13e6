#include "work_table.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace briarwind {

namespace {

constexpr int kMaxDoublings = 6;
// Maximum number of workers that are quarantined for one job's failures: as many as the queues in
// use allow attempts.
constexpr std::size_t kMaxPenalisedWorkers = 4;
// At most one in this many workers of a service is restricted for failed runs.
constexpr int kWorkersPerFailing = 2;
// A worker without a further failure returns to normal this long after its quarantine, whether a
// run was tried there or not: periods in which a worker fails all its runs last 4 to 8 s.
constexpr milliseconds kProbation{ 5'000 };

constexpr int kCompletePercent = 100;
// A progress rate is measured over at least this time: a poll and a little more.
constexpr milliseconds kRateWindow{ 1'000 };
// A rate is compared only if the run should have gained this many percent by then, since
// percentages are whole numbers.
constexpr double kMinExpectedPercent = 5;
// Below this fraction of its best rate, a run counts as slowed down: slow workers are four to seven
// times slower than before.
constexpr double kSlowRateFraction = 0.4;
// How long a slow worker receives no new runs: two measurements and a poll, so that the worker is
// avoided without gaps while it is slow.
constexpr milliseconds kSlowWorkerPause{ 2'500 };
// At most one in this many workers is avoided at a time. A quarter leaves a margin above the sixth
// of the workers that turned slow at the same time.
constexpr int kWorkersPerAvoided = 4;

} // namespace

// Workers that fail all their runs are few. Failures on many workers are those of jobs that fail
// everywhere, and would take the whole service away from other jobs.
bool work_core::state::AreManyFailing(const std::string& aService) const
{
  const auto isOfService = [&](const worker_entry& aWorker) {
    return aWorker.mListed && aWorker.mInfo.mService == aService;
  };
  auto workers = mWorkers | std::views::values | std::views::filter(isOfService);
  const auto failing = std::ranges::count_if(
    workers, [](const worker_entry& aWorker) { return aWorker.mFailuresInRow > 0; });
  return kWorkersPerFailing * failing >= std::ranges::distance(workers);
}

// A report doesn't say whether the worker or the job is at fault. Several failures of one job
// during a quarantine therefore count once, and one job's failures count against a few workers at
// most: a job that always fails would otherwise get every worker quarantined.
void work_core::state::PenaliseFailure(worker_entry& aWorker, const run_id& aRun,
                                       std::string_view aReason, instant aNow)
{
  job_entry* job = FindJob(aRun.mTask.mJob);
  if (job == nullptr ||
      (aWorker.mQuarantinedUntil > aNow && aWorker.mPenalisedForJob == aRun.mTask.mJob) ||
      (aWorker.mFailuresInRow == 0 && AreManyFailing(aWorker.mInfo.mService))) {
    return;
  }
  if (job->mPenalisedWorkers.size() >= kMaxPenalisedWorkers &&
      !job->mPenalisedWorkers.contains(aWorker.mInfo.mId)) {
    return;
  }
  job->mPenalisedWorkers.insert(aWorker.mInfo.mId);
  aWorker.mPenalisedForJob = aRun.mTask.mJob;
  Quarantine(aWorker, aNow, aReason);
}

void work_core::state::ClearFailures(worker_entry& aWorker)
{
  mReplan = mReplan || aWorker.mFailuresInRow > 0;
  aWorker.mFailuresInRow = 0;
  aWorker.mQuarantinedUntil = {};
  aWorker.mStalledSince = {};
}

milliseconds work_core::state::MaxStall(const worker_entry& aWorker, const run_id& aId,
                                        const run_entry& aRun)
{
  const job_entry* job = FindJob(aId.mTask.mJob);
  const step_entry* step = FindStep(aId.mTask);
  const work_step* spec = FindSpec(aId.mTask);
  if (job == nullptr || step == nullptr || spec == nullptr) {
    return mOptions.mMaxStallTime;
  }
  pace_evidence evidence;
  evidence.mOwn = aRun.mPace.TimePerPercent(mOptions.mLongPollWait);
  evidence.mPeers = step->mTimePerPercent;
  evidence.mLearned = mRunTimes.Find(KindOf(job->mSpec, *spec));
  evidence.mDeclared = spec->mEstimate;
  evidence.mIsRemote = IsRemote(aWorker, *spec) || (spec->mGang && spec->mRackLocal);
  evidence.mEarlierStalls = aRun.mEarlierStalls;
  const milliseconds longest = MaxTimeWithoutProgress(evidence, mOptions);
  // The percentage of a long-running task shows its startup, of which no length is declared.
  return spec->mLongRunning ? std::max(longest, mOptions.mMaxStallTime) : longest;
}

void work_core::state::RecordPace(const worker_entry& aWorker, const run_id& aId, run_entry& aRun,
                                  int aPercent, instant aNow)
{
  aRun.mPace.Observe(aPercent, aNow);
  const auto time = aRun.mPace.TimePerPercent(mOptions.mLongPollWait);
  step_entry* step = FindStep(aId.mTask);
  const work_step* spec = FindSpec(aId.mTask);
  if (time && aPercent != aRun.mPercent && step != nullptr && spec != nullptr) {
    step->mTimePerPercent = IsRemote(aWorker, *spec) ? *time / kRemoteFactor : *time;
  }
}

// A run that had shown no pace may have been stopped in error, so only one that lost its pace
// counts against its worker. In either case the task's next run may go without progress for twice
// as long, so that a task which is slower than all evidence shows ends at last.
void work_core::state::RecordStall(worker_entry& aWorker, const run_id& aId, instant aNow)
{
  const auto run = aWorker.mRuns.find(aId);
  if (run == aWorker.mRuns.end()) {
    return;
  }
  const auto record = [&](task_entry& aTask) {
    aTask.mStalls = std::max(aTask.mStalls, run->second.mEarlierStalls + 1);
  };
  step_entry* step = FindStep(aId.mTask);
  if (step != nullptr && run->second.mGang) {
    std::ranges::for_each(step->mTasks, record);
  } else if (task_entry* task = FindTask(aId.mTask)) {
    record(*task);
  }
  if (!run->second.mLongRunning && run->second.mPace.TimePerPercent(mOptions.mLongPollWait)) {
    PenaliseStall(aWorker, aNow);
  }
}

void work_core::state::PenaliseStall(worker_entry& aWorker, instant aNow)
{
  Quarantine(aWorker, aNow, "a run made no progress");
  aWorker.mStalledSince = aNow;
}

// A worker on which a run stalled is healthy again once a run started later makes progress there.
void work_core::state::ClearStallOnProgress(worker_entry& aWorker, const run_entry& aRun)
{
  if (aWorker.mStalledSince != instant() && aRun.mStartedAt > aWorker.mStalledSince) {
    ClearFailures(aWorker);
  }
}

// A run whose progress rate drops to a fraction of its own best rate shows that its worker turned
// slow. The declared run time can't show this, since it is far off. Gangs are not measured: each
// member is as slow as the slowest one, whichever worker that is on. Nor are long-running tasks,
// whose percentage shows their startup and then stays at 100. A resumed run is measured from its
// second measurement on: its percentage may jump to that of its checkpoint while it is restored. A
// run at 100 percent has no progress left to measure. The rate is measured on the worker's clock,
// since reports may arrive late.
void work_core::state::MeasureRate(worker_entry& aWorker, run_entry& aRun, int aPercent,
                                   instant aNow)
{
  if (aRun.mGang || aRun.mLongRunning || aPercent >= kCompletePercent) {
    return;
  }
  const milliseconds clock = aWorker.mInfo.mClock;
  if (aRun.mRatePercent < 0) {
    aRun.mRatePercent = aPercent;
    aRun.mRateClock = clock;
    return;
  }
  const std::chrono::duration<double> elapsed = clock - aRun.mRateClock;
  if (elapsed < kRateWindow) {
    return;
  }
  if (!std::exchange(aRun.mIsRateSettled, true) && !aRun.mFromStart) {
    aRun.mRatePercent = aPercent;
    aRun.mRateClock = clock;
    return;
  }
  const double rate = (aPercent - aRun.mRatePercent) / elapsed.count();
  const bool comparable = aRun.mBestRate * elapsed.count() >= kMinExpectedPercent;
  if (comparable && rate < kSlowRateFraction * aRun.mBestRate) {
    AvoidSlowWorker(aWorker, aNow);
  } else if (comparable && aWorker.mAvoidedUntil > aNow) {
    aWorker.mAvoidedUntil = {};
    mReplan = true;
  }
  aRun.mBestRate = std::max(aRun.mBestRate, rate);
  aRun.mRatePercent = aPercent;
  aRun.mRateClock = clock;
}

// Work that requires the label has no better place than this worker.
bool work_core::state::IsLastWithLabel(const worker_entry& aWorker, instant aNow) const
{
  return std::ranges::any_of(aWorker.mInfo.mLabels, [&](const std::string& aLabel) {
    return std::ranges::none_of(mWorkers | std::views::values, [&](const worker_entry& aEach) {
      return &aEach != &aWorker && aEach.mListed && aEach.mReachable && !aEach.mInfo.mLeaving &&
             aEach.mInfo.mService == aWorker.mInfo.mService && aEach.mAvoidedUntil <= aNow &&
             std::ranges::count(aEach.mInfo.mLabels, aLabel) > 0;
    });
  });
}

// When many workers are slow at the same time, there is no better place for new runs.
void work_core::state::AvoidSlowWorker(worker_entry& aWorker, instant aNow)
{
  if (IsLastWithLabel(aWorker, aNow)) {
    return;
  }
  if (aWorker.mAvoidedUntil <= aNow) {
    const auto slow = std::ranges::count_if(
      mWorkers, [&](const auto& aEach) { return aEach.second.mAvoidedUntil > aNow; });
    if (static_cast<std::size_t>(kWorkersPerAvoided * slow) >= mWorkers.size()) {
      return;
    }
    EmitEvent(work_event_kind::kWorkerQuarantined, {}, {}, aWorker.mInfo.mId,
              "a run slowed down to a fraction of its best rate", kSlowWorkerPause);
  }
  aWorker.mAvoidedUntil = aNow + kSlowWorkerPause;
}

void work_core::state::Quarantine(worker_entry& aWorker, instant aNow, std::string_view aReason)
{
  const int doublings = std::min(aWorker.mFailuresInRow, kMaxDoublings);
  const milliseconds wait =
    std::min(mOptions.mFirstQuarantine * (1 << doublings), mOptions.mMaxQuarantine);
  ++aWorker.mFailuresInRow;
  aWorker.mQuarantinedUntil = aNow + wait;
  aWorker.mProbationUntil = aWorker.mQuarantinedUntil + kProbation;
  EmitEvent(work_event_kind::kWorkerQuarantined, {}, {}, aWorker.mInfo.mId, aReason, wait);
}

} // namespace briarwind
