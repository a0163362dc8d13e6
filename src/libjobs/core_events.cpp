#include "libjobs/core_state.h"

#include <algorithm>

namespace briarwind {

void job_core::state::On(const settings_changed& aEvent)
{
  // Settings never go back, whatever order the adapters deliver them in.
  if (aEvent.mView.mRevision < mSettings.mRevision) {
    return;
  }
  mSettings = aEvent.mView;
  for (auto& [name, organisation] : mOrganisations) {
    organisation.mKnown = false;
  }
  for (auto& [name, team] : mTeams) {
    team.mKnown = false;
  }
  for (const auto& [name, settings] : mSettings.mOrganisations) {
    organisation_state& organisation = OrganisationOf(name);
    organisation.mKnown = true;
    organisation.mWeight = std::max(1, settings.mWeight);
  }
  for (const auto& [name, settings] : mSettings.mTeams) {
    team_state& team = TeamOf(name);
    team.mKnown = true;
    team.mOrganisation = settings.mOrganisation;
    team.mQuota = settings.mAcceleratorQuota;
  }
  const std::vector<worker_index> out = mCluster.SetDomains(mSettings.mDomains);
  StopOut(out, "its failure domain is withdrawn");
  SetDemands();
  mRoomChanged = true;
  mScheduleNow = true;
}

void job_core::state::On(const workers_changed& aEvent)
{
  const std::vector<worker_index> out = mCluster.Replace(aEvent.mWorkers);
  // A worker may be in a domain that was never seen before.
  const std::vector<worker_index> withdrawn = mCluster.SetDomains(mSettings.mDomains);
  StopOut(out, "its worker is leaving");
  StopOut(withdrawn, "its failure domain is withdrawn");
  Rebind();
  mRoomChanged = true;
}

void job_core::state::On(const worker_lost& aEvent)
{
  const worker_index worker = mCluster.Find(aEvent.mWorker);
  if (worker == kNoWorker || mCluster.At(worker).mLost) {
    return;
  }
  mCluster.SetLost(worker, true);
  const std::vector<occupant> occupants = mCluster.At(worker).mOccupants;
  for (const occupant& each : occupants) {
    // The others of its gang go with it: no gang runs in part.
    StopAttempt(*each.mJob, after_stop::kQueueAgain, "worker " + aEvent.mWorker + " was lost",
                milliseconds(0));
    FinishIfOver(*each.mJob);
  }
  Rebind();
}

void job_core::state::On(const worker_found& aEvent)
{
  const worker_index worker = mCluster.Find(aEvent.mWorker);
  if (worker == kNoWorker || !mCluster.At(worker).mLost) {
    return;
  }
  mCluster.SetLost(worker, false);
  Rebind();
  mRoomChanged = true;
}

void job_core::state::On(const freshness_changed& aEvent)
{
  mFresh = aEvent.mFresh;
  mFreshReason = aEvent.mReason;
  if (!mFresh) {
    return;
  }
  for (const auto& [name, job] : mJobs) {
    if (job->mPhase == job_phase::kEvicting) {
      mMayReserve.push_back(name);
    }
  }
  mScheduleNow = true;
}

void job_core::state::On(const epoch_gained& aEvent)
{
  if (aEvent.mEpoch <= mEpoch && mActing) {
    return;
  }
  DropJobs();
  mEpoch = aEvent.mEpoch;
  mActing = false;
}

void job_core::state::On(const epoch_lost& /*aEvent*/)
{
  DropJobs();
  mActing = false;
  mEpoch = 0;
}

/// Forgets all jobs. Reservations lapse by themselves, and running leases are the successor's.
void job_core::state::DropJobs()
{
  for (auto& [name, job] : mJobs) {
    AnswerAll(*job, submission_outcome::kUnknown, "leader-changed");
    if (job->mCell >= 0) {
      mCells.Unclaim(job->mCell);
    }
    for (member_state& member : job->mMembers) {
      if (member.mHolds) {
        const int index = static_cast<int>(&member - job->mMembers.data());
        mCluster.Give(member.mWorker, job->Spec().mShape, job->mTenure, { job.get(), index });
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
  mMayReserve.clear();
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

void job_core::state::On(const store_reachable& aEvent)
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

void job_core::state::On(const tick& /*aEvent*/)
{
  FireTimers();
  RenewDue();
  ServeDrains();
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
    OrphanGone(mCluster.Find(aTimer.mName));
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
        MemberGone(*job, aTimer.mMember);
        FinishIfOver(*job);
      }
      break;
    }
    case timer_kind::kRetry:
      if (job->mDelayed) {
        job->mDelayed = false;
        Enqueue(*job);
      }
      break;
    case timer_kind::kWriteAgain:
      if (job->mDirty) {
        WriteRecord(*job);
      }
      break;
    case timer_kind::kGrace:
      if (job->mRecord.mAttempt == aTimer.mAttempt && job->mPhase == job_phase::kRunning) {
        StopAttempt(*job, after_stop::kQueueAgain, "its time after a withdrawal is over",
                    milliseconds(0));
        FinishIfOver(*job);
      }
      break;
    case timer_kind::kDropEnded:
      if (job->mDirty || job->mWriting) {
        At(mNow + mOptions.mEndedKept, aTimer);
      } else {
        mJobs.erase(aTimer.mName);
      }
      break;
    case timer_kind::kOrphan:
    case timer_kind::kProbe:
      break;
  }
}

/// Goes on with what the event made possible.
void job_core::state::AfterEvent()
{
  if (mRebindNeeded) {
    mRebindNeeded = false;
    Rebind();
  }
  std::vector<std::string> mayReserve;
  mayReserve.swap(mMayReserve);
  for (const std::string& each : mayReserve) {
    job_entry* const job = FindJob(each);
    if (job != nullptr && job->mPhase == job_phase::kEvicting && HasRoom(*job)) {
      ReserveAll(*job);
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

void job_core::state::Note(decision_kind aKind, std::string aJob, std::string aWorker,
                           std::string aOther, std::string aReason)
{
  Do(decision_note{ aKind, std::move(aJob), std::move(aWorker), std::move(aOther),
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
  // Time that goes back would revive leases.
  mState->mNow = std::max(mState->mNow, aNow);
  std::visit([&](const auto& aTyped) { mState->On(aTyped); }, aEvent);
  mState->AfterEvent();
  std::vector<action> actions;
  actions.swap(mState->mActions);
  return actions;
}

} // namespace briarwind
