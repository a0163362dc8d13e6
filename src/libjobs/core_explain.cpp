#include "libjobs/core_state.h"

#include <fmt/format.h>

#include <algorithm>

namespace briarwind {

std::optional<job_explanation> job_core::state::Explain(const std::string& aJob) const
{
  const auto found = mJobs.find(aJob);
  if (found == mJobs.end()) {
    return std::nullopt;
  }
  const job_entry& job = *found->second;
  job_explanation why;
  why.mJob = aJob;
  why.mPhase = job.mPhase;
  why.mEvicted = job.mEvicted;
  why.mDetail = job.mPhase == job_phase::kEnded ? job.mRecord.mReason : job.mStopReason;
  for (int i = 0; i < static_cast<int>(job.mMembers.size()); ++i) {
    const member_state& member = job.mMembers[i];
    if (member.mWorker != kNoWorker) {
      why.mPlacements.push_back({ i, NameOf(member.mWorker), member.mLease });
    }
  }
  if (job.mCell >= 0) {
    const cell_demand& cell = mCells.Cells()[static_cast<std::size_t>(job.mCell)].mDemand;
    why.mCell = fmt::format("{}/{}/{}", cell.mOrganisation, cell.mGuarantee, cell.mCopy);
  }
  if (job.mPhase == job_phase::kSubmitting) {
    why.mWait = mStoreReachable ? wait_reason::kNone : wait_reason::kStoreAway;
    return why;
  }
  if (!job.IsWaiting()) {
    return why;
  }
  if (!mActing) {
    why.mWait = wait_reason::kNotLeader;
  } else if (!mFresh) {
    why.mWait = wait_reason::kNotFresh;
    why.mDetail = mFreshReason;
  } else if (job.mWait == wait_reason::kNotTried && job.mClass != nullptr) {
    why.mWait = job.mClass->mWait;
    why.mDetail = job.mClass->mWaitDetail;
  } else {
    why.mWait = job.mWait;
    why.mDetail = job.mWaitDetail;
  }
  return why;
}

job_view job_core::state::ViewOf(const job_entry& aJob) const
{
  return { aJob.mRecord, aJob.mPhase, aJob.mRevision > 0 && !aJob.mDirty && !aJob.mWriteInFlight };
}

std::optional<job_explanation> job_core::Explain(const std::string& aJob) const
{
  return mState->Explain(aJob);
}

std::optional<job_view> job_core::Find(const std::string& aJob) const
{
  const auto found = mState->mJobs.find(aJob);
  if (found == mState->mJobs.end()) {
    return std::nullopt;
  }
  return mState->ViewOf(*found->second);
}

std::vector<job_view> job_core::Jobs() const
{
  std::vector<job_view> all;
  for (const auto& [name, job] : mState->mJobs) {
    all.push_back(mState->ViewOf(*job));
  }
  std::ranges::sort(
    all, {}, [](const job_view& aView) -> const std::string& { return aView.mRecord.mSpec.mId; });
  return all;
}

std::vector<cell_view> job_core::Cells() const
{
  std::vector<cell_view> all;
  for (const bound_cell& each : mState->mCells.Cells()) {
    cell_view& view = all.emplace_back();
    view.mOrganisation = each.mDemand.mOrganisation;
    view.mGuarantee = each.mDemand.mGuarantee;
    view.mCopy = each.mDemand.mCopy;
    view.mClaimedBy = each.mClaim != nullptr ? each.mClaim->Spec().mId : std::string();
    int member = 0;
    for (const placement_part& part : each.mPlace) {
      for (int i = 0; i < part.mMembers; ++i) {
        view.mPlaces.push_back({ member++, mState->NameOf(part.mWorker), {} });
      }
    }
  }
  return all;
}

core_status job_core::Status() const
{
  const state& core = *mState;
  core_status status;
  status.mEpoch = core.mEpoch;
  status.mActing = core.mActing;
  status.mFresh = core.mFresh;
  status.mStoreReachable = core.mStoreReachable;
  status.mRunning = core.mRunning;
  status.mQueued = static_cast<int>(std::ranges::count_if(
    core.mJobs, [](const auto& aEntry) { return aEntry.second->IsWaiting(); }));
  status.mWorkers = core.mCluster.ListedWorkers();
  status.mWorkersOut = core.mCluster.ListedWorkers() - core.mCluster.LiveWorkers();
  status.mQuarantined = core.mCluster.QuarantinedWorkers();
  status.mAccelerators = core.mCluster.LiveCapacity().mAccelerators;
  for (const worker_slot& each : core.mCluster.Workers()) {
    status.mAcceleratorsUsed += core.mCluster.IsLive(each) ? each.mUsed.mAccelerators : 0;
  }
  return status;
}

} // namespace briarwind
