#include "libjobs/core_state.h"

#include <algorithm>

namespace briarwind {

void job_core::state::HandleEvent(const settings_changed& aEvent)
{
  // Events may arrive out of order. An older revision never replaces a newer one.
  if (aEvent.mView.mRevision < mSettings.mRevision) {
    return;
  }
  mSettings = aEvent.mView;
  for (auto& [name, organisation] : mOrganisations) {
    organisation.mInSettings = false;
  }
  for (auto& [name, team] : mTeams) {
    team.mInSettings = false;
  }
  for (const auto& [name, settings] : mSettings.mOrganisations) {
    organisation_state& organisation = FindOrAddOrganisation(name);
    organisation.mInSettings = true;
    organisation.mWeight = std::max(1, settings.mWeight);
  }
  for (const auto& [name, settings] : mSettings.mTeams) {
    team_state& team = FindOrAddTeam(name);
    team.mInSettings = true;
    team.mOrganisation = settings.mOrganisation;
    team.mQuota = settings.mAcceleratorQuota;
  }
  const std::vector<worker_index> out = mCluster.SetDomains(mSettings.mDomains);
  StopJobsOn(out, "its failure domain is withdrawn");
  UpdateGuarantees();
  mRoomChanged = true;
  mScheduleNow = true;
}

void job_core::state::HandleEvent(const workers_changed& aEvent)
{
  const std::vector<worker_index> out = mCluster.ReplaceWorkers(aEvent.mWorkers);
  // A new worker may be in a domain that the table did not contain yet, so the withdrawals are
  // applied again.
  const std::vector<worker_index> withdrawn = mCluster.SetDomains(mSettings.mDomains);
  StopJobsOn(out, "its worker is leaving");
  StopJobsOn(withdrawn, "its failure domain is withdrawn");
  RebindCells();
  mRoomChanged = true;
}

void job_core::state::HandleEvent(const worker_lost& aEvent)
{
  const worker_index worker = mCluster.Find(aEvent.mWorker);
  if (worker == kNoWorker || mCluster.At(worker).mLost) {
    return;
  }
  mCluster.SetLost(worker, true);
  const std::vector<occupant> occupants = mCluster.At(worker).mOccupants;
  for (const occupant& each : occupants) {
    // The whole attempt is stopped, because a gang never runs in part.
    StopAttempt(*each.mJob, after_stop::kRequeue, "worker " + aEvent.mWorker + " was lost",
                milliseconds(0));
    CompleteAttemptIfOver(*each.mJob);
  }
  RebindCells();
}

void job_core::state::HandleEvent(const worker_recovered& aEvent)
{
  const worker_index worker = mCluster.Find(aEvent.mWorker);
  if (worker == kNoWorker || !mCluster.At(worker).mLost) {
    return;
  }
  mCluster.SetLost(worker, false);
  RebindCells();
  mRoomChanged = true;
}

void job_core::state::HandleEvent(const freshness_changed& aEvent)
{
  mFresh = aEvent.mFresh;
  mFreshReason = aEvent.mReason;
  if (!mFresh) {
    return;
  }
  for (const auto& [name, job] : mJobs) {
    if (job->mPhase == job_phase::kEvicting) {
      mReservationChecks.push_back(name);
    }
  }
  mScheduleNow = true;
}

void job_core::state::HandleEvent(const epoch_gained& aEvent)
{
  if (aEvent.mEpoch <= mEpoch && mActing) {
    return;
  }
  DropJobs();
  mEpoch = aEvent.mEpoch;
  mActing = false;
}

void job_core::state::HandleEvent(const epoch_lost& /*aEvent*/)
{
  DropJobs();
  mActing = false;
  mEpoch = 0;
}

/// Drops all jobs from memory without stopping them. Reservations lapse on their own, and the next
/// leader takes over running leases.
void job_core::state::DropJobs()
{
  for (auto& [name, job] : mJobs) {
    AnswerPendingSubmissions(*job, submission_outcome::kUnknown, "leader-changed");
    if (job->mCell >= 0) {
      mCells.Unclaim(job->mCell);
    }
    for (member_state& member : job->mMembers) {
      if (member.mHoldsResources) {
        const int index = static_cast<int>(&member - job->mMembers.data());
        mCluster.Release(member.mWorker, job->Spec().mShape, job->mEvictionClass,
                         { job.get(), index });
      }
    }
    EndDrain(*job);
  }
  mQueue.Clear();
  mJobs.clear();
  std::erase_if(mTimers,
                [](const auto& aTimer) { return aTimer.second.mKind != timer_kind::kProbe; });
  mDrains.clear();
  for (worker_index i = 0; i < mCluster.Workers().size(); ++i) {
    mCluster.At(i).mOrphans = 0;
  }
  mOrphans.clear();
  mReservationChecks.clear();
  mDrainCandidate = nullptr;
  mLiveJobs = 0;
  mInFlight = 0;
  mRunning = 0;
  for (auto& [name, organisation] : mOrganisations) {
    organisation.mUsed = {};
  }
  for (auto& [name, team] : mTeams) {
    team.mUsedAccelerators = 0;
  }
}

void job_core::state::HandleEvent(const store_reachable& aEvent)
{
  const bool returned = aEvent.mReachable && !mStoreReachable;
  mStoreReachable = aEvent.mReachable;
  if (!returned) {
    return;
  }
  for (const auto& [name, job] : mJobs) {
    if (job->mDirty) {
      WriteRecord(*job);
    }
  }
  mRoomChanged = true;
  mScheduleNow = true;
}

void job_core::state::HandleEvent(const tick& /*aEvent*/)
{
  FireTimers();
  RenewDueLeases();
  AdvanceDrains();
  mScheduleNow = true;
}

void job_core::state::FireTimers()
{
  while (!mTimers.empty() && mTimers.begin()->first <= mNow) {
    const timer due = std::move(mTimers.begin()->second);
    mTimers.erase(mTimers.begin());
    Fire(due);
  }
}

void job_core::state::Fire(const timer& aTimer)
{
  if (aTimer.mKind == timer_kind::kProbe) {
    ProbeWorker(mCluster.Find(aTimer.mName));
    return;
  }
  if (aTimer.mKind == timer_kind::kOrphan) {
    ReleaseOrphan(mCluster.Find(aTimer.mName));
    return;
  }
  job_entry* const job = FindJob(aTimer.mName);
  if (job == nullptr) {
    return;
  }
  switch (aTimer.mKind) {
    case timer_kind::kLapse: {
      const bool same = job->mRecord.mAttempt == aTimer.mAttempt &&
                        aTimer.mMember < static_cast<int>(job->mMembers.size());
      if (same && job->mMembers[aTimer.mMember].mPhase == member_phase::kLapsing) {
        ReleaseMember(*job, aTimer.mMember);
        CompleteAttemptIfOver(*job);
      }
      break;
    }
    case timer_kind::kRetry:
      if (job->mDelayed) {
        job->mDelayed = false;
        Enqueue(*job);
      }
      break;
    case timer_kind::kRewriteRecord:
      if (job->mDirty) {
        WriteRecord(*job);
      }
      break;
    case timer_kind::kGrace:
      if (job->mRecord.mAttempt == aTimer.mAttempt && job->mPhase == job_phase::kRunning) {
        StopAttempt(*job, after_stop::kRequeue, "its time after a withdrawal is over",
                    milliseconds(0));
        CompleteAttemptIfOver(*job);
      }
      break;
    case timer_kind::kDropEnded:
      if (job->mDirty || job->mWriteInFlight) {
        ScheduleTimer(mNow + mOptions.mEndedJobRetention, aTimer);
      } else {
        mJobs.erase(aTimer.mName);
      }
      break;
    case timer_kind::kOrphan:
    case timer_kind::kProbe:
      break;
  }
}

/// Runs the work that an event has requested: rebinding, reservations that have room now, and
/// scheduling.
void job_core::state::AfterEvent()
{
  if (mRebindNeeded) {
    mRebindNeeded = false;
    RebindCells();
  }
  std::vector<std::string> toCheck;
  toCheck.swap(mReservationChecks);
  for (const std::string& each : toCheck) {
    job_entry* const job = FindJob(each);
    if (job != nullptr && job->mPhase == job_phase::kEvicting && HasRoom(*job)) {
      ReserveMembers(*job);
    }
  }
  if (mScheduleNow) {
    mScheduleNow = false;
    Schedule();
  }
}

job_entry* job_core::state::FindJob(const std::string& aName)
{
  const auto found = mJobs.find(aName);
  return found != mJobs.end() ? found->second.get() : nullptr;
}

void job_core::state::EmitDecision(decision_kind aKind, std::string aJob, std::string aWorker,
                                   std::string aOther, std::string aReason)
{
  Emit(decision_note{ aKind, std::move(aJob), std::move(aWorker), std::move(aOther),
                      std::move(aReason) });
}

job_core::job_core(const job_options& aOptions)
  : mState(std::make_unique<state>(aOptions))
{
}

job_core::~job_core() = default;
job_core::job_core(job_core&&) noexcept = default;
job_core& job_core::operator=(job_core&&) noexcept = default;

std::vector<action> job_core::Handle(const event& aEvent, instant aNow)
{
  // Time never decreases here; otherwise a lapsed lease could count as valid again.
  mState->mNow = std::max(mState->mNow, aNow);
  std::visit([&](const auto& aTyped) { mState->HandleEvent(aTyped); }, aEvent);
  mState->AfterEvent();
  std::vector<action> actions;
  actions.swap(mState->mActions);
  return actions;
}

} // namespace briarwind
