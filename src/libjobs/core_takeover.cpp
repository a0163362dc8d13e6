#include "libjobs/core_state.h"

#include <algorithm>
#include <set>

namespace briarwind {

namespace {

const listed_lease* FindLease(const std::vector<worker_listing>& aWorkers,
                              const std::string& aWorker, const lease_id& aLease)
{
  const auto worker = std::ranges::find(aWorkers, aWorker, &worker_listing::mWorker);
  if (worker == aWorkers.end()) {
    return nullptr;
  }
  const auto lease = std::ranges::find(worker->mLeases, aLease, &listed_lease::mLease);
  return lease != worker->mLeases.end() ? &*lease : nullptr;
}

} // namespace

/// Restores the jobs from the stored records, then stops every lease that matches no record.
void job_core::state::HandleEvent(const restored& aEvent)
{
  if (mEpoch == 0 || mActing) {
    return;
  }
  mActing = true;
  mHadUnreachableWorkers = false;
  std::set<std::string> asked;
  for (const worker_listing& each : aEvent.mWorkers) {
    asked.insert(each.mWorker);
  }
  for (worker_index i = 0; i < mCluster.Workers().size(); ++i) {
    const bool known = asked.contains(NameOf(i));
    mCluster.SetLost(i, !known);
    if (mCluster.At(i).mListed && !known) {
      // The worker may hold leases that match no record. It takes no new work until these have
      // lapsed for certain.
      mHadUnreachableWorkers = true;
      ++mCluster.At(i).mOrphans;
      ScheduleTimer(mNow + mOptions.mLeaseTimeToLive + mOptions.mLapseMargin,
                    { timer_kind::kOrphan, NameOf(i), 0, 0 });
    }
  }
  RebindCells();
  for (const restored_record& each : aEvent.mRecords) {
    RestoreJob(each, aEvent.mWorkers);
  }
  for (const worker_listing& worker : aEvent.mWorkers) {
    for (const listed_lease& lease : worker.mLeases) {
      const job_entry* const job = FindJob(lease.mJob);
      const bool explained = job != nullptr && job->mRecord.mAttempt == lease.mAttempt &&
                             lease.mMember < static_cast<int>(job->mMembers.size()) &&
                             job->mMembers[lease.mMember].mLease == lease.mLease;
      const member_id member{ lease.mJob, lease.mAttempt, lease.mMember };
      if (explained) {
        continue;
      }
      if (lease.mState == lease_state::kRunning) {
        EmitDecision(decision_kind::kLeaseOrphaned, lease.mJob, worker.mWorker);
        AddOrphan(member, mCluster.Find(worker.mWorker));
        Emit(stop_lease{ member, worker.mWorker, lease.mLease, mEpoch, milliseconds(0) });
      } else if (lease.mState == lease_state::kReserved) {
        AddOrphan(member, mCluster.Find(worker.mWorker));
        Emit(release_lease{ member, worker.mWorker, lease.mLease, mEpoch });
      } else {
        Emit(forget_lease{ worker.mWorker, lease.mLease });
      }
    }
  }
  mRoomChanged = true;
  mScheduleNow = true;
}

/// Blocks a worker while it holds an orphaned lease. Listings do not contain the resources of a
/// lease, so the worker takes no new work until the lease has ended.
void job_core::state::AddOrphan(const member_id& aMember, worker_index aWorker)
{
  if (aWorker == kNoWorker) {
    return;
  }
  ++mCluster.At(aWorker).mOrphans;
  mOrphans.push_back({ aMember, aWorker });
}

/// Handles the answer to the stop of an orphaned lease. Returns false when the answer belongs to no
/// orphaned lease.
bool job_core::state::HandleOrphanStopped(const stop_finished& aEvent)
{
  const auto found = std::ranges::find(mOrphans, aEvent.mMember, &orphan_lease::mMember);
  if (found == mOrphans.end()) {
    return false;
  }
  const worker_index worker = found->mWorker;
  mOrphans.erase(found);
  if (aEvent.mOutcome == call_outcome::kUnknown) {
    ScheduleTimer(mNow + mOptions.mLeaseTimeToLive + mOptions.mLapseMargin,
                  { timer_kind::kOrphan, NameOf(worker), 0, 0 });
  } else {
    ReleaseOrphan(worker);
  }
  return true;
}

void job_core::state::ReleaseOrphan(worker_index aWorker)
{
  if (aWorker == kNoWorker || mCluster.At(aWorker).mOrphans == 0) {
    return;
  }
  --mCluster.At(aWorker).mOrphans;
  mRoomChanged = true;
  RequestReservationChecks(aWorker);
}

void job_core::state::RestoreJob(const restored_record& aRecord,
                                 const std::vector<worker_listing>& aWorkers)
{
  const job_record& record = aRecord.mRecord;
  job_entry& job = AddJob(record);
  job.mRevision = aRecord.mRevision;
  if (IsFinal(record.mState)) {
    job.mPhase = job_phase::kEnded;
    --mLiveJobs;
    ScheduleTimer(mNow + mOptions.mEndedJobRetention,
                  { timer_kind::kDropEnded, record.mSpec.mId, 0, 0 });
    return;
  }
  if (mHadUnreachableWorkers && record.mSpec.mRepeatable) {
    // A worker that gave no listing may run an attempt that was not recorded, so the next attempt
    // waits until the leases of that worker have lapsed.
    job.mNotBefore = mNow + mOptions.mLeaseTimeToLive + mOptions.mLapseMargin;
  }
  AdoptUnrecorded(job, aWorkers);
  if (job.mRecord.mState == job_state::kAttempted) {
    AdoptAttempt(job, aWorkers);
    return;
  }
  if (job.mNotBefore > mNow) {
    job.mStopReason = "a worker could not be asked at takeover";
    Requeue(job, false);
    return;
  }
  Enqueue(job);
}

/// Adopts leases of an attempt that is not recorded. Repeatable jobs are started without a record
/// while the store is unreachable. Such leases replace the recorded placements, so that they have
/// ended before the job is attempted again.
void job_core::state::AdoptUnrecorded(job_entry& aJob, const std::vector<worker_listing>& aWorkers)
{
  job_record& record = aJob.mRecord;
  int newest = record.mAttempt;
  std::vector<member_placement> placements;
  for (const worker_listing& worker : aWorkers) {
    for (const listed_lease& lease : worker.mLeases) {
      const bool holds =
        lease.mState == lease_state::kReserved || lease.mState == lease_state::kRunning;
      const bool recorded =
        record.mState == job_state::kAttempted && lease.mAttempt <= record.mAttempt;
      if (lease.mJob != record.mSpec.mId || !holds || recorded) {
        continue;
      }
      newest = std::max(newest, lease.mAttempt);
      placements.push_back({ lease.mMember, worker.mWorker, lease.mLease });
    }
  }
  if (placements.empty()) {
    return;
  }
  std::ranges::sort(placements, {}, &member_placement::mMember);
  record.mState = job_state::kAttempted;
  record.mAttempt = newest;
  record.mPlacements = std::move(placements);
  aJob.mDirty = true;
}

/// Allocates resources for the members of an attempt on all known workers and returns their
/// placement.
placement job_core::state::AdoptMembers(job_entry& aJob)
{
  placement place;
  for (const member_placement& each : aJob.mRecord.mPlacements) {
    member_state& member = aJob.mMembers.emplace_back();
    member.mWorker = mCluster.Find(each.mWorker);
    member.mLease = each.mLease;
    member.mStarted = true;
    member.mLeaseUntil = mNow + mOptions.mLeaseTimeToLive;
    if (member.mWorker == kNoWorker) {
      member.mPhase = member_phase::kGone;
      continue;
    }
    member.mHoldsResources = true;
    ++aJob.mMembersHolding;
    const int index = static_cast<int>(aJob.mMembers.size()) - 1;
    mCluster.Allocate(member.mWorker, aJob.Spec().mShape, aJob.mEvictionClass, { &aJob, index });
    member.mPhase = member_phase::kStarting;
    place.push_back({ member.mWorker, 1 });
  }
  return place;
}

/// Updates an adopted member from the listing of its worker. Returns true when the member is
/// running or has finished.
bool job_core::state::AdoptLease(job_entry& aJob, int aMember,
                                 const std::vector<worker_listing>& aWorkers)
{
  member_state& member = aJob.mMembers[aMember];
  if (member.mWorker == kNoWorker) {
    return false;
  }
  const listed_lease* const lease = FindLease(aWorkers, NameOf(member.mWorker), member.mLease);
  if (lease == nullptr) {
    if (!mCluster.At(member.mWorker).mLost) {
      ReleaseMember(aJob, aMember);
    }
    return false;
  }
  if (lease->mState == lease_state::kReserved) {
    // The member was not started. Only a release ensures that a delayed start is refused.
    member.mPhase = member_phase::kReserved;
    return false;
  }
  ApplyLeaseStatus(aJob, aMember, { lease->mLease, lease->mState, lease->mProgress });
  return member.mPhase == member_phase::kRunning || member.mFinished;
}

/// Adopts the members of an attempt of the previous leader. A member whose state is unknown counts
/// as running until its lease has lapsed for certain.
void job_core::state::AdoptAttempt(job_entry& aJob, const std::vector<worker_listing>& aWorkers)
{
  const job_record& record = aJob.mRecord;
  const int cell = record.mSpec.mGuaranteed ? mCells.FindCellFor(aJob) : -1;
  aJob.mEvictionClass = cell >= 0                   ? eviction_class::kClaim
                        : !record.mSpec.mRepeatable ? eviction_class::kPinned
                        : record.mSpec.mUrgent      ? eviction_class::kUrgent
                                                    : eviction_class::kBorrowed;
  aJob.mCell = cell;
  aJob.mAnyStarted = true;
  aJob.mPhase = job_phase::kStarting;
  aJob.mProgressAtStart = record.mProgress;
  aJob.mRunningSince = mNow;
  const placement place = AdoptMembers(aJob);
  if (cell >= 0) {
    mCells.Claim(cell, aJob);
    mCells.MoveCell(cell, place, mCluster);
  }
  aJob.mOrganisation->mUsed = aJob.mOrganisation->mUsed + aJob.Total();
  if (aJob.mTeam != nullptr) {
    aJob.mTeam->mUsedAccelerators += aJob.Accelerators();
  }
  const int members = static_cast<int>(aJob.mMembers.size());
  bool whole = members == record.mSpec.mMembers;
  for (int i = 0; i < members; ++i) {
    whole = AdoptLease(aJob, i, aWorkers) && whole;
  }
  if (!whole) {
    StopAttempt(aJob, after_stop::kRequeue, "takeover found the attempt incomplete",
                milliseconds(0));
  }
  CompleteAttemptIfOver(aJob);
}

} // namespace briarwind
