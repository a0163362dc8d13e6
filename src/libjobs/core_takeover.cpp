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

/// Rebuilds from the records, then stops every lease that no record explains.
void job_core::state::On(const restored& aEvent)
{
  if (mEpoch == 0 || mActing) {
    return;
  }
  mActing = true;
  mSomeNotAsked = false;
  std::set<std::string> asked;
  for (const worker_listing& each : aEvent.mWorkers) {
    asked.insert(each.mWorker);
  }
  for (worker_index i = 0; i < mCluster.Workers().size(); ++i) {
    const bool known = asked.contains(NameOf(i));
    mCluster.SetLost(i, !known);
    if (mCluster.At(i).mListed && !known) {
      // It may hold leases that nobody knows of any more, until they must have lapsed.
      mSomeNotAsked = true;
      ++mCluster.At(i).mOrphans;
      At(mNow + mOptions.mLeaseTimeToLive + mOptions.mLapseMargin,
         { timer_kind::kOrphan, NameOf(i), 0, 0 });
    }
  }
  Rebind();
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
        Note(decision_kind::kLeaseOrphaned, lease.mJob, worker.mWorker);
        AddOrphan(member, mCluster.Find(worker.mWorker));
        Do(stop_lease{ member, worker.mWorker, lease.mLease, mEpoch, milliseconds(0) });
      } else if (lease.mState == lease_state::kReserved) {
        AddOrphan(member, mCluster.Find(worker.mWorker));
        Do(release_lease{ member, worker.mWorker, lease.mLease, mEpoch });
      } else {
        Do(forget_lease{ worker.mWorker, lease.mLease });
      }
    }
  }
  mRoomChanged = true;
  mScheduleNow = true;
}

/// The listing does not tell what an orphan takes, so its worker takes nothing until it is gone.
void job_core::state::AddOrphan(const member_id& aMember, worker_index aWorker)
{
  if (aWorker == kNoWorker) {
    return;
  }
  ++mCluster.At(aWorker).mOrphans;
  mOrphans.push_back({ aMember, aWorker });
}

/// Takes the answer of a stop that was for an orphan. False when it was not.
bool job_core::state::OrphanAnswered(const stop_finished& aEvent)
{
  const auto found = std::ranges::find(mOrphans, aEvent.mMember, &orphan_lease::mMember);
  if (found == mOrphans.end()) {
    return false;
  }
  const worker_index worker = found->mWorker;
  mOrphans.erase(found);
  if (aEvent.mOutcome == call_outcome::kUnknown) {
    At(mNow + mOptions.mLeaseTimeToLive + mOptions.mLapseMargin,
       { timer_kind::kOrphan, NameOf(worker), 0, 0 });
  } else {
    OrphanGone(worker);
  }
  return true;
}

void job_core::state::OrphanGone(worker_index aWorker)
{
  if (aWorker == kNoWorker || mCluster.At(aWorker).mOrphans == 0) {
    return;
  }
  --mCluster.At(aWorker).mOrphans;
  mRoomChanged = true;
  LetReserve(aWorker);
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
    At(mNow + mOptions.mEndedKept, { timer_kind::kDropEnded, record.mSpec.mId, 0, 0 });
    return;
  }
  if (mSomeNotAsked && record.mSpec.mRepeatable) {
    // A worker that could not be asked may run an attempt that was not recorded.
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

/// While the store is away a repeatable job is started without a record. Such leases take the place
/// of the recorded placements, so that they are gone before the job is tried again.
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

/// The members of a recorded attempt hold their places on the workers that are still listed.
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
    member.mHolds = true;
    ++aJob.mMembersHolding;
    const int index = static_cast<int>(aJob.mMembers.size()) - 1;
    mCluster.Take(member.mWorker, aJob.Spec().mShape, aJob.mTenure, { &aJob, index });
    member.mPhase = member_phase::kStarting;
    place.push_back({ member.mWorker, 1 });
  }
  return place;
}

/// Compares one adopted member with what its worker lists. True when it runs or has finished.
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
      MemberGone(aJob, aMember);
    }
    return false;
  }
  if (lease->mState == lease_state::kReserved) {
    // Its start never came. Only a release makes sure that it never does.
    member.mPhase = member_phase::kReserved;
    return false;
  }
  TakeStatus(aJob, aMember, { lease->mLease, lease->mState, lease->mProgress });
  return member.mPhase == member_phase::kRunning || member.mFinished;
}

/// Takes over the members of a recorded attempt. Whatever is not certain counts as still running
/// until its lease must have lapsed.
void job_core::state::AdoptAttempt(job_entry& aJob, const std::vector<worker_listing>& aWorkers)
{
  const job_record& record = aJob.mRecord;
  const int cell = record.mSpec.mGuaranteed ? mCells.FindFor(aJob) : -1;
  aJob.mTenure = cell >= 0                   ? tenure::kClaim
                 : !record.mSpec.mRepeatable ? tenure::kFirm
                 : record.mSpec.mUrgent      ? tenure::kUrgent
                                             : tenure::kBorrowed;
  aJob.mCell = cell;
  aJob.mAnyStarted = true;
  aJob.mPhase = job_phase::kStarting;
  aJob.mProgressAtStart = record.mProgress;
  aJob.mRunningSince = mNow;
  const placement place = AdoptMembers(aJob);
  if (cell >= 0) {
    mCells.Claim(cell, aJob);
    mCells.Move(cell, place, mCluster);
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
    StopAttempt(aJob, after_stop::kQueueAgain, "takeover found the attempt incomplete",
                milliseconds(0));
  }
  FinishIfOver(aJob);
}

} // namespace briarwind
