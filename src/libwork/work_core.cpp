#include "briarwind/work_core.h"

#include "work_record.h"
#include "work_table.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace briarwind {

namespace {

// Ends that wait for the store keep a worker's answer from waiting, so it is not asked in a loop.
constexpr milliseconds kPollWhilePending{ 300 };
// A worker that did not answer is asked again after this.
constexpr milliseconds kPollRetry{ 150 };
// Leases that were granted longer ago than this are extended once more before that ends: a poll
// waits this long, and few are granted with an order meanwhile.
constexpr milliseconds kLastHoldEvery{ 250 };
// Without a change everything is planned again after this, since waits for locality and quarantine
// run out by time alone.
constexpr milliseconds kReplanEvery{ 250 };

bool HasOrdered(const worker_entry& aWorker)
{
  return std::ranges::any_of(
    aWorker.mRuns, [](const auto& aRun) { return aRun.second.mPhase != run_phase::kRecording; });
}

} // namespace

work_core::work_core(const work_options& aOptions)
  : mState(std::make_unique<state>(aOptions))
{
}

work_core::~work_core() = default;

void work_core::BeginTerm(std::int64_t aEpoch, instant aNow)
{
  *mState = state(mState->mOptions);
  mState->mEpoch = aEpoch;
  mState->mInTerm = true;
  mState->mTermSince = aNow;
  mState->mReplan = true;
}

void work_core::EndTerm()
{
  *mState = state(mState->mOptions);
}

void work_core::RaiseEpoch(std::int64_t aEpoch)
{
  mState->mEpoch = aEpoch;
  mState->mReplan = true;
}

std::int64_t work_core::Epoch() const
{
  return mState->mEpoch;
}

void work_core::SetSettings(const work_settings& aSettings, instant aNow)
{
  mState->mSettings = aSettings;
  mState->mReplan = true;
  mState->mReplanAt = aNow;
}

void work_core::SetWorkers(const std::vector<registered_worker>& aWorkers, instant aNow)
{
  for (auto& [id, worker] : mState->mWorkers) {
    worker.mListed = false;
  }
  for (const registered_worker& each : aWorkers) {
    worker_entry& worker = mState->mWorkers[each.mId];
    const bool isNew = worker.mInfo.mService.empty();
    const bool newLife = !isNew && each.mIncarnation > worker.mInfo.mIncarnation;
    const bool stale = !isNew && each.mIncarnation < worker.mInfo.mIncarnation;
    worker.mListed = true;
    if (stale) {
      continue;
    }
    if (newLife || (isNew && worker.mInfo.mIncarnation != each.mIncarnation)) {
      mState->NewIncarnation(worker, each.mIncarnation, aNow);
    }
    const bool newer = isNew || newLife || each.mClock > worker.mInfo.mClock;
    const milliseconds clock = newer ? each.mClock : worker.mInfo.mClock;
    mState->mReplan = mState->mReplan || isNew || worker.mInfo.mLeaving != each.mLeaving;
    worker.mInfo = each;
    worker.mInfo.mClock = clock;
    if (newer) {
      worker.mClockAt = aNow;
    }
    if (isNew && worker.mLeaseSurelyOver == instant()) {
      worker.mLastHeard = aNow;
    }
    mState->NoteDeparture(worker, aNow);
  }
}

void work_core::AddJob(const stored_job& aJob, instant aNow, wall_time aWallNow)
{
  const auto [place, isNew] = mState->mJobs.try_emplace(aJob.mJob.mId);
  job_entry& job = place->second;
  if (isNew) {
    job.mSpec = aJob.mJob;
    job.mKnownSince = aNow;
    mState->Restore(job, aJob, aNow);
    mState->Note(work_note_kind::kJobKnown, job.mSpec.mId, {}, {}, job.mSpec.mQueue,
                 std::chrono::duration_cast<milliseconds>(aWallNow - job.mSpec.mAccepted));
  }
  if (aJob.mCancelled) {
    CancelJob(aJob.mJob.mId, aNow);
  }
  mState->OpenOccurrences(job, aWallNow);
  if (isNew && !job.IsOver()) {
    mState->FinishIfDone(job, aNow);
  }
}

void work_core::CancelJob(const std::string& aJob, instant aNow)
{
  job_entry* job = mState->FindJob(aJob);
  if (job != nullptr && !job->IsOver()) {
    job->mCancelled = true;
    mState->Finish(*job, work_state::kCancelled, "cancelled by its caller", aNow);
  }
}

void work_core::OnStarted(const start_run& aOrder, start_outcome aOutcome, instant aSent,
                          instant aNow)
{
  const auto worker = mState->mWorkers.find(aOrder.mWorker);
  if (worker == mState->mWorkers.end()) {
    return;
  }
  const auto found = worker->second.mRuns.find(aOrder.mRun);
  if (found == worker->second.mRuns.end()) {
    return;
  }
  run_entry& run = found->second;
  if (aOutcome == start_outcome::kStarted) {
    if (run.mPhase == run_phase::kStarting) {
      run.mPhase = run_phase::kRunning;
      run.mPhaseSince = aNow;
      run.mStartAnswered = aNow;
      run.mProgressAt = aNow;
    }
    return;
  }
  const run_id id = aOrder.mRun;
  mState->Note(work_note_kind::kStartFailed, id.mTask.mJob, ToString(id.mTask), aOrder.mWorker,
               ToString(aOutcome), std::chrono::duration_cast<milliseconds>(aNow - aSent));
  if (aOutcome == start_outcome::kUnknown) {
    // Most often only the answer was lost. The worker is asked before anything is stopped.
    if (run.mPhase == run_phase::kStarting) {
      run.mPhase = run_phase::kUnclear;
      run.mPhaseSince = aNow;
    }
    return;
  }
  mState->StopOthersOfGang(id, aNow);
  if (aOutcome == start_outcome::kNoTicket) {
    if (step_entry* step = mState->FindStep(id.mTask); step != nullptr) {
      step->mAdvice.erase(aOrder.mWorker);
    }
  }
  const bool blameless = aOutcome == start_outcome::kFenced ||
                         aOutcome == start_outcome::kHeldBack ||
                         aOutcome == start_outcome::kNoTicket;
  if (!blameless) {
    mState->Quarantine(worker->second, aNow, ToString(aOutcome));
  }
  mState->DropRun(worker->second, id);
  const task_entry* task = mState->FindTask(id.mTask);
  if (task != nullptr && task->mPhase == task_phase::kLive && task->mRun == id.mRun) {
    mState->RequeueTask(id, {}, aNow);
  }
}

void work_core::OnStopped(const stop_run& aOrder, stop_outcome aOutcome, instant /*aSent*/,
                          instant aNow)
{
  const auto worker = mState->mWorkers.find(aOrder.mWorker);
  if (worker == mState->mWorkers.end()) {
    return;
  }
  const auto found = worker->second.mRuns.find(aOrder.mRun);
  if (found == worker->second.mRuns.end() || found->second.mPhase != run_phase::kStopping) {
    return;
  }
  run_entry& run = found->second;
  run.mStopUnderWay = false;
  if (aOutcome == stop_outcome::kOtherIncarnation) {
    mState->RunLost(worker->second, aOrder.mRun, "worker started anew", aNow);
  } else if (aOutcome == stop_outcome::kStopping) {
    run.mStopAnswered = true;
    run.mStopAnsweredAt = aNow;
  }
}

void work_core::OnReport(const std::string& aWorker, const worker_report& aReport, instant aSent,
                         instant aNow)
{
  const auto found = mState->mWorkers.find(aWorker);
  if (found == mState->mWorkers.end() || !mState->mInTerm) {
    return;
  }
  worker_entry& worker = found->second;
  // An answer that was overtaken by a later one knows less.
  if (aReport.mIncarnation < worker.mInfo.mIncarnation || aSent < worker.mReportSent) {
    return;
  }
  worker.mReportSent = aSent;
  if (aReport.mIncarnation > worker.mInfo.mIncarnation) {
    mState->NewIncarnation(worker, aReport.mIncarnation, aNow);
  }
  worker.mInfo.mClock = aReport.mClock;
  worker.mClockAt = aNow;
  worker.mLastHeard = aNow;
  const bool restored = !std::exchange(worker.mInTouch, true);
  mState->ApplyReport(worker, aReport, aSent, aNow);
  if (restored) {
    mState->mReplan = true;
    mState->Note(work_note_kind::kWorkerRestored, {}, {}, aWorker,
                 fmt::format("{} runs", worker.mRuns.size()));
  }
}

void work_core::OnPollFailed(const std::string& aWorker, instant aNow)
{
  const auto found = mState->mWorkers.find(aWorker);
  if (found != mState->mWorkers.end()) {
    found->second.mInTouch = false;
    mState->WorkerSilent(aWorker, found->second, aNow);
  }
}

void work_core::Decide(instant aNow, wall_time aWallNow)
{
  if (!mState->mInTerm) {
    return;
  }
  for (auto& [id, job] : mState->mJobs) {
    if (!job.IsOver() && job.mNextOccurrence < job.mSpec.mOccurrences) {
      mState->OpenOccurrences(job, aWallNow);
    }
  }
  mState->TimeOut(aNow);
  if (mState->mReplan || aNow >= mState->mReplanAt) {
    mState->mReplan = false;
    mState->mReplanAt = aNow + kReplanEvery;
    mState->PlaceAll(aNow);
  }
}

std::vector<work_action> work_core::TakeActions()
{
  return std::exchange(mState->mActions, {});
}

std::vector<progress_write> work_core::TakeWrites(std::size_t aMost)
{
  std::vector<progress_write> writes;
  for (auto& [id, job] : mState->mJobs) {
    if (writes.size() == aMost) {
      break;
    }
    if (job.NeedsWrite()) {
      job.mChangeWriting = job.mChange;
      writes.push_back({ id, job.mRevision, FormatProgress(job, mState->mEpoch) });
    }
  }
  return writes;
}

void work_core::OnWritten(const std::string& aJob, store_revision aRevision, instant aNow)
{
  job_entry* job = mState->FindJob(aJob);
  if (job == nullptr) {
    return;
  }
  job->mRevision = aRevision;
  job->mChangeStored = std::exchange(job->mChangeWriting, 0);
  if (!job->IsOver()) {
    mState->ReleaseRecorded(*job, aNow);
  }
  for (auto& [id, worker] : mState->mWorkers) {
    if (!worker.mPendingEnds.empty()) {
      mState->AdvanceAcknowledged(worker);
    }
  }
}

void work_core::OnNotWritten(const std::string& aJob, store_revision aCurrent)
{
  if (job_entry* job = mState->FindJob(aJob); job != nullptr) {
    job->mRevision = aCurrent;
    job->mChangeWriting = 0;
  }
}

std::vector<std::string> work_core::TakeForgotten(instant aNow)
{
  std::vector<std::string> forgotten;
  for (const auto& [id, job] : mState->mJobs) {
    if (job.IsOver() && job.mChangeStored == job.mChange &&
        aNow - job.mOverSince > mState->mOptions.mKeepFinished) {
      forgotten.push_back(id);
    }
  }
  for (const std::string& each : forgotten) {
    mState->mJobs.erase(each);
  }
  return forgotten;
}

std::optional<poll_plan> work_core::PlanPoll(const std::string& aWorker, instant aNow)
{
  const auto found = mState->mWorkers.find(aWorker);
  if (found == mState->mWorkers.end() || !mState->mInTerm) {
    return std::nullopt;
  }
  worker_entry& worker = found->second;
  const bool ordered = HasOrdered(worker);
  const bool contact = !worker.mInTouch && (worker.mListed || ordered);
  const bool wanted = contact || ordered || worker.mAckDue || !worker.mOrphans.empty();
  if (worker.mInfo.mAddress.empty() || !wanted) {
    return std::nullopt;
  }
  const instant last = std::max(worker.mLastPoll, worker.mLastHeard);
  const bool again = !worker.mInTouch || !worker.mOrphans.empty();
  const milliseconds pause = again                          ? kPollRetry
                             : !worker.mPendingEnds.empty() ? kPollWhilePending
                                                            : milliseconds{ 0 };
  if (aNow < last + pause && worker.mLastPoll != instant()) {
    return std::nullopt;
  }
  poll_plan plan = mState->MakePlan(worker, aNow);
  const bool unclear = std::ranges::any_of(
    worker.mRuns, [](const auto& aRun) { return aRun.second.mPhase == run_phase::kUnclear; });
  const bool mayWait = worker.mInTouch && worker.mOrphans.empty() && !unclear;
  plan.mWait = mayWait ? mState->mOptions.mPollWait : milliseconds{ 0 };
  // A silent worker gets no longer lease: its tasks could never be taken for lost.
  if (worker.mInTouch && ordered) {
    plan.mLeaseUntil = GrantLease(aWorker, aNow);
  }
  return plan;
}

// A look that waits for an end may have left before the order in question. Until the order's fate
// is known its task cannot be started elsewhere, and a gang waits for it.
std::optional<poll_plan> work_core::PlanSecondPoll(const std::string& aWorker, instant aNow,
                                                   bool aEnding)
{
  const auto found = mState->mWorkers.find(aWorker);
  if (found == mState->mWorkers.end() || !mState->mInTerm || !found->second.mInTouch) {
    return std::nullopt;
  }
  worker_entry& worker = found->second;
  const bool asks = std::ranges::any_of(worker.mRuns, [&](const auto& aRun) {
    const run_entry& run = aRun.second;
    const bool unclear = run.mPhase == run_phase::kUnclear && run.mPhaseSince > worker.mLastPoll;
    const bool stopped = run.mPhase == run_phase::kStopping && run.mFirstPercent < 0 &&
                         run.mStopAnswered && run.mStopAnsweredAt > worker.mLastPoll;
    return unclear || stopped;
  });
  const bool holds = aEnding && aNow - worker.mLastPoll > kLastHoldEvery && HasOrdered(worker);
  if (!asks && !holds) {
    return std::nullopt;
  }
  poll_plan plan = mState->MakePlan(worker, aNow);
  if (holds) {
    plan.mLeaseUntil = GrantLease(aWorker, aNow);
  }
  return plan;
}

poll_plan work_core::state::MakePlan(worker_entry& aWorker, instant aNow) const
{
  poll_plan plan;
  plan.mAddress = aWorker.mInfo.mAddress;
  plan.mIncarnation = aWorker.mInfo.mIncarnation;
  plan.mAcknowledged = aWorker.mAcknowledged;
  aWorker.mAckDue = false;
  aWorker.mLastPoll = aNow;
  return plan;
}

std::vector<std::string> work_core::Workers() const
{
  std::vector<std::string> ids;
  std::ranges::copy(mState->mWorkers | std::views::keys, std::back_inserter(ids));
  return ids;
}

milliseconds work_core::GrantLease(const std::string& aWorker, instant aNow)
{
  const auto found = mState->mWorkers.find(aWorker);
  if (found == mState->mWorkers.end()) {
    return milliseconds{ 0 };
  }
  worker_entry& worker = found->second;
  const auto hold = mState->mOptions.mMaxHold;
  worker.mLeaseSurelyOver =
    std::max(worker.mLeaseSurelyOver,
             aNow + std::chrono::duration_cast<milliseconds>(hold * mState->mOptions.mClockSlack));
  return worker.mInfo.mClock + std::chrono::duration_cast<milliseconds>(aNow - worker.mClockAt) +
         hold;
}

std::string work_core::Address(const std::string& aWorker) const
{
  const auto found = mState->mWorkers.find(aWorker);
  return found == mState->mWorkers.end() ? std::string() : found->second.mInfo.mAddress;
}

int work_core::CountWaiting(const std::string& aQueue) const
{
  return static_cast<int>(std::ranges::count_if(mState->mJobs, [&](const auto& aJob) {
    const job_entry& job = aJob.second;
    return job.mSpec.mQueue == aQueue && job.mState == work_state::kQueued &&
           job.mSpec.mOccurrences == 0;
  }));
}

std::optional<work_state> work_core::State(const std::string& aJob) const
{
  const auto found = mState->mJobs.find(aJob);
  return found == mState->mJobs.end() ? std::nullopt : std::optional(found->second.mState);
}

// A successor that finds no end in the store may have to run the task again.
std::optional<work_state> work_core::StoredState(const std::string& aJob) const
{
  const auto found = mState->mJobs.find(aJob);
  if (found == mState->mJobs.end()) {
    return std::nullopt;
  }
  const job_entry& job = found->second;
  const bool unstored = job.IsOver() && !job.mCancelled && job.mChangeStored < job.mChange;
  return unstored ? work_state::kRunning : job.mState;
}

work_counts work_core::Counts() const
{
  work_counts counts;
  for (const auto& [id, job] : mState->mJobs) {
    counts.mJobs += job.IsOver() ? 0 : 1;
    for (const occurrence_entry& occurrence : job.mOccurrences) {
      for (const step_entry& step : occurrence.mSteps) {
        counts.mWaitingTasks += static_cast<int>(
          std::ranges::count(step.mTasks, task_phase::kWaiting, &task_entry::mPhase));
      }
    }
  }
  for (const auto& [id, worker] : mState->mWorkers) {
    counts.mLiveRuns += static_cast<int>(worker.mRuns.size());
    counts.mWorkers += worker.mListed ? 1 : 0;
    counts.mWorkersInTouch += worker.mListed && worker.mInTouch ? 1 : 0;
  }
  return counts;
}

} // namespace briarwind
