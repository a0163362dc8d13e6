#include "briarwind/work_core.h"

#include "work_record.h"
#include "work_table.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace briarwind {

namespace {

// Placement is retried after this time even without a change, since locality waits and quarantines
// expire without any event.
constexpr milliseconds kReplanInterval{ 250 };

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
  mState->mLedger.SetPolicies(aSettings.mOrganisations);
  mState->mReplan = true;
  mState->mReplanAt = aNow;
}

void work_core::SetWorkers(const std::vector<registered_worker>& aWorkers, instant aNow)
{
  std::vector<std::string> listedBefore;
  for (auto& [id, worker] : mState->mWorkers) {
    if (std::exchange(worker.mListed, false)) {
      listedBefore.push_back(id);
    }
  }
  for (const registered_worker& each : aWorkers) {
    worker_entry& worker = mState->mWorkers[each.mId];
    const bool isNew = worker.mInfo.mService.empty();
    const bool restarted = !isNew && each.mIncarnation > worker.mInfo.mIncarnation;
    const bool stale = !isNew && each.mIncarnation < worker.mInfo.mIncarnation;
    worker.mListed = true;
    if (stale) {
      continue;
    }
    if (restarted || (isNew && worker.mInfo.mIncarnation != each.mIncarnation)) {
      mState->ResetForIncarnation(worker, each.mIncarnation, aNow);
    }
    const bool newer = isNew || restarted || each.mClock > worker.mInfo.mClock;
    const milliseconds clock = newer ? each.mClock : worker.mInfo.mClock;
    mState->mReplan = mState->mReplan || isNew || worker.mInfo.mLeaving != each.mLeaving;
    worker.mInfo = each;
    worker.mInfo.mClock = clock;
    if (newer) {
      worker.mClockReadAt = aNow;
    }
    if (isNew && worker.mLeasesExpireAt == instant()) {
      worker.mLastReportAt = aNow;
    }
    mState->mRates.OnListed(each, aNow);
    if (restarted) {
      mState->mPresence.OnRestarted(each.mId, aNow);
    } else if (worker.mReachable) {
      mState->mPresence.OnPresent(each.mId, aNow);
    }
    mState->UpdateDeparture(worker, aNow);
  }
  for (const std::string& id : listedBefore) {
    if (!mState->mWorkers[id].mListed) {
      mState->mPresence.OnAway(id, aNow);
    }
  }
}

bool work_core::IsNewJob(const std::string& aJob, store_revision aAccepted) const
{
  const job_entry* known = mState->FindJob(aJob);
  return known == nullptr ? aAccepted > mState->mFollowedRevision
                          : known->IsFinished() && aAccepted > known->mAcceptedRevision;
}

void work_core::AddJob(const stored_job& aJob, instant aNow, wall_time aWallNow)
{
  // The id was accepted again, so the records of the job that had it are deleted, although the
  // answer to that deletion has not arrived.
  if (const job_entry* known = mState->FindJob(aJob.mJob.mId);
      known != nullptr && IsNewJob(aJob.mJob.mId, aJob.mAcceptedRevision)) {
    mState->mJobs.erase(aJob.mJob.mId);
  }
  const auto [place, isNew] = mState->mJobs.try_emplace(aJob.mJob.mId);
  job_entry& job = place->second;
  if (isNew) {
    job.mSpec = aJob.mJob;
    job.mAcceptedRevision = aJob.mAcceptedRevision;
    job.mAddedAt = aNow;
    mState->mAcceptances.Record(job.mSpec.mOrganisation, job.mSpec.mAccepted, job.mSpec.mId);
    mState->RestoreJob(job, aJob, aNow);
    mState->mHasTargets =
      mState->mHasTargets || std::ranges::any_of(job.mSpec.mSteps, [](const work_step& aStep) {
        return aStep.mLatencyTarget.count() > 0;
      });
    mState->EmitEvent(work_event_kind::kJobKnown, job.mSpec.mId, {}, {}, job.mSpec.mQueue,
                      std::chrono::duration_cast<milliseconds>(aWallNow - job.mSpec.mAccepted));
  }
  if (aJob.mCancelled) {
    CancelJob(aJob.mJob.mId, aNow);
  }
  // The occurrences of timed jobs are opened a bounded number at a time, by the next decisions.
  if (job.mSpec.mOccurrences == 0) {
    mState->OpenOccurrences(job, aWallNow, 1);
  }
  if (isNew && !job.IsFinished()) {
    mState->FinishJobIfDone(job, aNow);
  }
}

void work_core::SetFollowedRevision(store_revision aRevision)
{
  mState->mFollowedRevision = std::max(mState->mFollowedRevision, aRevision);
}

void work_core::CancelJob(const std::string& aJob, instant aNow)
{
  job_entry* job = mState->FindJob(aJob);
  if (job != nullptr && !job->IsFinished()) {
    job->mCancelled = true;
    mState->FinishJob(*job, work_state::kCancelled, "cancelled by its caller", aNow);
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
      run.mStartAnsweredAt = aNow;
      run.mLastProgressAt = aNow;
    }
    return;
  }
  const run_id id = aOrder.mRun;
  mState->EmitEvent(work_event_kind::kStartFailed, id.mTask.mJob, ToString(id.mTask),
                    aOrder.mWorker, ToString(aOutcome),
                    std::chrono::duration_cast<milliseconds>(aNow - aSent));
  if (aOutcome == start_outcome::kUnknown) {
    // Most often only the answer was lost, so the worker is polled before the run is stopped.
    if (run.mPhase == run_phase::kStarting) {
      run.mPhase = run_phase::kUnconfirmed;
      run.mPhaseSince = aNow;
    }
    return;
  }
  mState->StopOtherGangMembers(id, aNow);
  if (aOutcome == start_outcome::kNoTicket) {
    if (step_entry* step = mState->FindStep(id.mTask); step != nullptr) {
      step->mAdvice.erase(aOrder.mWorker);
    }
  }
  const bool workerNotAtFault = aOutcome == start_outcome::kFenced ||
                                aOutcome == start_outcome::kHeldBack ||
                                aOutcome == start_outcome::kNoTicket;
  if (!workerNotAtFault) {
    mState->Quarantine(worker->second, aNow, ToString(aOutcome));
  }
  mState->RemoveRun(worker->second, id);
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
  run.mStopInFlight = false;
  if (aOutcome == stop_outcome::kOtherIncarnation) {
    mState->HandleRunLost(worker->second, aOrder.mRun, "the worker restarted", aNow);
  } else if (aOutcome == stop_outcome::kStopping) {
    run.mStopAnswered = true;
    run.mStopAnsweredAt = aNow;
  }
}

void work_core::OnPaced(const pace_run& aOrder, pace_outcome aOutcome, instant aNow)
{
  const auto worker = mState->mWorkers.find(aOrder.mWorker);
  if (worker != mState->mWorkers.end()) {
    mState->HandlePaced(worker->second, aOrder, aOutcome, aNow);
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
  // A report whose poll was sent earlier than that of the newest report is stale.
  if (aReport.mIncarnation < worker.mInfo.mIncarnation || aSent < worker.mReportRequestedAt) {
    return;
  }
  worker.mReportRequestedAt = aSent;
  if (aReport.mIncarnation > worker.mInfo.mIncarnation) {
    mState->ResetForIncarnation(worker, aReport.mIncarnation, aNow);
    mState->mPresence.OnRestarted(aWorker, aNow);
  }
  worker.mInfo.mClock = aReport.mClock;
  worker.mClockReadAt = aNow;
  worker.mLastReportAt = aNow;
  const bool becameReachable = !std::exchange(worker.mReachable, true);
  if (worker.mListed) {
    mState->mPresence.OnPresent(aWorker, aNow);
  }
  mState->ApplyReport(worker, aReport, aSent, aNow);
  if (becameReachable) {
    mState->mReplan = true;
    mState->EmitEvent(work_event_kind::kWorkerRestored, {}, {}, aWorker,
                      fmt::format("{} runs", worker.mRuns.size()));
  }
}

void work_core::OnPollFailed(const std::string& aWorker, instant aNow)
{
  const auto found = mState->mWorkers.find(aWorker);
  if (found != mState->mWorkers.end()) {
    if (std::exchange(found->second.mReachable, false)) {
      mState->mPresence.OnAway(aWorker, aNow);
    }
    mState->HandleExpiredLeases(aWorker, found->second, aNow);
  }
}

void work_core::Decide(instant aNow, wall_time aWallNow)
{
  if (!mState->mInTerm) {
    return;
  }
  mState->OpenDueOccurrences(aWallNow);
  mState->HandleTimeouts(aNow);
  if (mState->mReplan || aNow >= mState->mReplanAt) {
    mState->mReplan = false;
    mState->mReplanAt = aNow + kReplanInterval;
    mState->PlaceAll(aNow);
  }
}

std::vector<work_action> work_core::TakeActions()
{
  return std::exchange(mState->mActions, {});
}

// A job that was accepted after the followed revision is not removed yet: its accepted record is
// still to be read, and would be taken for a new job.
std::vector<expired_job> work_core::ExpiredJobs(instant aNow) const
{
  std::vector<expired_job> expired;
  for (const auto& [id, job] : mState->mJobs) {
    if (job.IsFinished() && job.mChangeStored == job.mChange &&
        job.mAcceptedRevision <= mState->mFollowedRevision &&
        aNow - job.mFinishedAt > mState->mOptions.mFinishedRetention) {
      expired.push_back({ id, job.mRevision, {} });
      std::ranges::copy(job.mParts | std::views::keys, std::back_inserter(expired.back().mParts));
    }
  }
  return expired;
}

void work_core::ForgetJob(const expired_job& aJob)
{
  const job_entry* job = mState->FindJob(aJob.mId);
  if (job != nullptr && job->IsFinished() && job->mRevision == aJob.mProgressRevision) {
    mState->mJobs.erase(aJob.mId);
  }
}

std::vector<std::string> work_core::Workers() const
{
  std::vector<std::string> ids;
  std::ranges::copy(mState->mWorkers | std::views::keys, std::back_inserter(ids));
  return ids;
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

std::optional<store_revision> work_core::AcceptedRevision(const std::string& aJob) const
{
  const job_entry* job = mState->FindJob(aJob);
  return job == nullptr ? std::nullopt : std::optional(job->mAcceptedRevision);
}

// A final state that is not stored is reported as running: a new leader that finds no end in the
// store may have to run the task again.
std::optional<work_state> work_core::StoredState(const std::string& aJob) const
{
  const auto found = mState->mJobs.find(aJob);
  if (found == mState->mJobs.end()) {
    return std::nullopt;
  }
  const job_entry& job = found->second;
  const bool unstored = job.IsFinished() && !job.mCancelled && job.mChangeStored < job.mChange;
  return unstored ? work_state::kRunning : job.mState;
}

std::vector<organisation_use> work_core::OrganisationUse() const
{
  std::vector<organisation_use> uses;
  std::ranges::transform(
    mState->mLedger.Policies(), std::back_inserter(uses), [this](const auto& aPolicy) {
      const auto& [organisation, policy] = aPolicy;
      return organisation_use{ organisation, mState->mLedger.InUse(organisation),
                               policy.mMaxInUse };
    });
  return uses;
}

work_counts work_core::Counts() const
{
  work_counts counts;
  for (const auto& [id, job] : mState->mJobs) {
    counts.mJobs += job.IsFinished() ? 0 : 1;
    for (const occurrence_entry& occurrence : job.mOccurrences | std::views::values) {
      for (const step_entry& step : occurrence.mSteps) {
        counts.mWaitingTasks += step.InPhase(task_phase::kWaiting);
      }
    }
  }
  for (const auto& [id, worker] : mState->mWorkers) {
    counts.mLiveRuns += static_cast<int>(worker.mRuns.size());
    counts.mWorkers += worker.mListed ? 1 : 0;
    counts.mReachableWorkers += worker.mListed && worker.mReachable ? 1 : 0;
  }
  return counts;
}

int work_core::JobsBehindSchedule() const
{
  return static_cast<int>(std::ranges::count_if(mState->mJobs, [](const auto& aJob) {
    return !aJob.second.IsFinished() && aJob.second.mIsBehindSchedule;
  }));
}

std::size_t work_core::InterferingPairs() const
{
  return mState->mInterference.KnownPairs();
}

} // namespace briarwind
