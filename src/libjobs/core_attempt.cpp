#include "libjobs/core_state.h"

#include <algorithm>

namespace briarwind {

namespace {

constexpr int kMostStarts = 3; // a start is idempotent, so a lost answer is asked for again
constexpr int kMostDoublings = 7;

} // namespace

member_id job_core::state::IdOf(const job_entry& aJob, int aMember) const
{
  return { aJob.Spec().mId, aJob.mRecord.mAttempt, aMember };
}

job_entry* job_core::state::FindAttempt(const member_id& aMember)
{
  job_entry* const job = FindJob(aMember.mJob);
  const bool same = job != nullptr && job->mRecord.mAttempt == aMember.mAttempt &&
                    aMember.mMember >= 0 &&
                    aMember.mMember < static_cast<int>(job->mMembers.size());
  if (!same) {
    Note(decision_kind::kStaleAnswer, aMember.mJob);
    return nullptr;
  }
  return job;
}

void job_core::state::BeginAttempt(job_entry& aJob, const placement& aParts, tenure aTenure,
                                   int aCell)
{
  Unqueue(aJob);
  EndDrain(aJob);
  ++aJob.mRecord.mAttempt;
  aJob.mTenure = aTenure;
  aJob.mCell = aCell;
  aJob.mMembers.clear();
  aJob.mAnyStarted = false;
  aJob.mSaved = true;
  aJob.mAfterStop = after_stop::kQueueAgain;
  aJob.mStopReason.clear();
  aJob.mEvicted.clear();
  aJob.mWait = wait_reason::kNone;
  aJob.mWaitDetail.clear();
  if (aCell >= 0) {
    mCells.Claim(aCell, aJob);
  }
  for (const placement_part& part : aParts) {
    for (int i = 0; i < part.mMembers; ++i) {
      const int index = static_cast<int>(aJob.mMembers.size());
      member_state& member = aJob.mMembers.emplace_back();
      member.mWorker = part.mWorker;
      member.mHolds = true;
      mCluster.Take(part.mWorker, aJob.Spec().mShape, aTenure, { &aJob, index });
    }
  }
  aJob.mMembersHolding = static_cast<int>(aJob.mMembers.size());
  aJob.mOrganisation->mUsed = aJob.mOrganisation->mUsed + aJob.Total();
  if (aJob.mTeam != nullptr) {
    aJob.mTeam->mUsedAccelerators += aJob.Accelerators();
  }
  aJob.mInFlight = true;
  mInFlight += aJob.mMembersHolding;
  aJob.mPhase = job_phase::kEvicting;
  Note(decision_kind::kPlaced, aJob.Spec().mId, NameOf(aParts.front().mWorker));
}

bool job_core::state::HasRoom(const job_entry& aJob) const
{
  return std::ranges::all_of(aJob.mMembers, [&](const member_state& aMember) {
    const worker_slot& worker = mCluster.At(aMember.mWorker);
    return worker.mOrphans == 0 && FitsInto(worker.mUsed, worker.mInfo.mCapacity);
  });
}

void job_core::state::ReserveAll(job_entry& aJob)
{
  if (!mFresh) {
    return;
  }
  aJob.mPhase = job_phase::kReserving;
  for (int i = 0; i < static_cast<int>(aJob.mMembers.size()); ++i) {
    member_state& member = aJob.mMembers[i];
    member.mPhase = member_phase::kReserving;
    member.mLeaseUntil = mNow + mOptions.mReservationTimeToLive;
    Do(reserve_lease{ IdOf(aJob, i), NameOf(member.mWorker), mEpoch, aJob.Spec().mShape,
                      mOptions.mReservationTimeToLive });
  }
}

void job_core::state::On(const reserve_finished& aEvent)
{
  job_entry* const job = FindAttempt(aEvent.mMember);
  if (job == nullptr) {
    return;
  }
  const int index = aEvent.mMember.mMember;
  member_state& member = job->mMembers[index];
  if (member.mPhase != member_phase::kReserving) {
    return;
  }
  const bool stopping = job->mPhase == job_phase::kStopping;
  switch (aEvent.mOutcome) {
    case call_outcome::kOk:
      member.mPhase = member_phase::kReserved;
      member.mLease = aEvent.mLease;
      if (stopping) {
        StopMember(*job, index, milliseconds(0));
      } else if (std::ranges::all_of(job->mMembers, [](const member_state& aEach) {
                   return aEach.mPhase == member_phase::kReserved;
                 })) {
        AllReserved(*job);
      }
      break;
    case call_outcome::kRefused:
      MemberGone(*job, index);
      StopAttempt(*job, after_stop::kQueueAgain, "a reservation was refused: " + aEvent.mReason,
                  milliseconds(0));
      break;
    case call_outcome::kUnknown:
      // It may hold until it lapses; a delayed message can make it begin only now.
      member.mLeaseUntil = mNow + mOptions.mReservationTimeToLive;
      LetLapse(*job, index);
      StopAttempt(*job, after_stop::kQueueAgain, "a reservation was not answered", milliseconds(0));
      break;
  }
  FinishIfOver(*job);
}

void job_core::state::AllReserved(job_entry& aJob)
{
  aJob.mRecord.mState = job_state::kAttempted;
  aJob.mRecord.mPlacements.clear();
  for (int i = 0; i < static_cast<int>(aJob.mMembers.size()); ++i) {
    const member_state& member = aJob.mMembers[i];
    aJob.mRecord.mPlacements.push_back({ i, NameOf(member.mWorker), member.mLease });
  }
  aJob.mPhase = job_phase::kRecording;
  WriteRecord(aJob);
  if (mStoreReachable) {
    return;
  }
  if (aJob.Spec().mRepeatable) {
    StartAll(aJob);
    return;
  }
  StopAttempt(aJob, after_stop::kQueueAgain, "its attempt cannot be recorded, the store is away",
              milliseconds(0));
}

/// All members are reserved and the attempt is recorded: nothing may have changed since.
void job_core::state::StartAll(job_entry& aJob)
{
  const bool lapsed = std::ranges::any_of(
    aJob.mMembers, [&](const member_state& aMember) { return aMember.mLeaseUntil <= mNow; });
  const bool out = std::ranges::any_of(aJob.mMembers, [&](const member_state& aMember) {
    return !mCluster.IsOpen(mCluster.At(aMember.mWorker));
  });
  if (lapsed || out || !mFresh) {
    const char* const reason = lapsed ? "a reservation lapsed before the start"
                               : out  ? "a worker went out before the start"
                                      : "the settings are not confirmed";
    StopAttempt(aJob, after_stop::kQueueAgain, reason, milliseconds(0));
    FinishIfOver(aJob);
    return;
  }
  aJob.mPhase = job_phase::kStarting;
  aJob.mAnyStarted = true;
  for (int i = 0; i < static_cast<int>(aJob.mMembers.size()); ++i) {
    SendStart(aJob, i);
  }
}

void job_core::state::SendStart(job_entry& aJob, int aMember)
{
  member_state& member = aJob.mMembers[aMember];
  // A repeated start finds the task running or the reservation lapsed: either answer is certain.
  const instant notAfter =
    member.mStartsSent == 0 ? member.mLeaseUntil : mNow + mOptions.mReservationTimeToLive;
  member.mPhase = member_phase::kStarting;
  member.mStarted = true;
  ++member.mStartsSent;
  const milliseconds left = aJob.Spec().mExpected - aJob.mRecord.mProgress;
  Do(start_lease{ IdOf(aJob, aMember), NameOf(member.mWorker), member.mLease, mEpoch,
                  mOptions.mLeaseTimeToLive, std::max(left, milliseconds(1)),
                  aJob.mRecord.mProgress, aJob.Spec().mCommand, notAfter });
  member.mLeaseUntil = std::max(member.mLeaseUntil, mNow + mOptions.mLeaseTimeToLive);
}

void job_core::state::On(const start_finished& aEvent)
{
  job_entry* const job = FindAttempt(aEvent.mMember);
  if (job == nullptr) {
    return;
  }
  const int index = aEvent.mMember.mMember;
  member_state& member = job->mMembers[index];
  if (member.mPhase != member_phase::kStarting) {
    return;
  }
  switch (aEvent.mOutcome) {
    case call_outcome::kOk:
      member.mLeaseUntil = mNow + mOptions.mLeaseTimeToLive;
      MemberRuns(*job, index);
      break;
    case call_outcome::kRefused: {
      member.mStarted = false;
      MemberGone(*job, index);
      const bool none = std::ranges::none_of(job->mMembers, &member_state::mStarted);
      job->mAnyStarted = !none;
      const bool again = none || job->Spec().mRepeatable;
      StopAttempt(*job, again ? after_stop::kQueueAgain : after_stop::kFailed,
                  "a start was refused", milliseconds(0));
      break;
    }
    case call_outcome::kUnknown:
      if (member.mStartsSent < kMostStarts) {
        SendStart(*job, index);
      } else {
        StopAttempt(*job, after_stop::kQueueAgain, "a start was not answered", milliseconds(0));
      }
      break;
  }
  FinishIfOver(*job);
}

void job_core::state::MemberRuns(job_entry& aJob, int aMember)
{
  aJob.mMembers[aMember].mPhase = member_phase::kRunning;
  const bool all = std::ranges::all_of(aJob.mMembers, [](const member_state& aEach) {
    return aEach.mPhase == member_phase::kRunning || aEach.mFinished;
  });
  if (!all || aJob.mPhase != job_phase::kStarting) {
    return;
  }
  aJob.mPhase = job_phase::kRunning;
  aJob.mRunningSince = mNow;
  aJob.mProgressAtStart = aJob.mRecord.mProgress;
  aJob.mAborts = 0;
  ++mRunning;
  LeaveFlight(aJob);
  Note(decision_kind::kRunning, aJob.Spec().mId);
}

void job_core::state::LeaveFlight(job_entry& aJob)
{
  if (aJob.mInFlight) {
    aJob.mInFlight = false;
    mInFlight -= static_cast<int>(aJob.mMembers.size());
  }
}

/// Stops every member that is left. FinishIfOver has to follow once the caller is done with the
/// job.
void job_core::state::StopAttempt(job_entry& aJob, after_stop aAfter, const std::string& aReason,
                                  milliseconds aCheckpointBound)
{
  if (aJob.mMembersHolding == 0 && aJob.mMembers.empty()) {
    return;
  }
  if (aJob.mPhase == job_phase::kStopping) {
    // A cancellation outlives whatever else the stop was for.
    if (aAfter == after_stop::kCancelled || aJob.mAfterStop == after_stop::kQueueAgain) {
      aJob.mAfterStop = aAfter == after_stop::kQueueAgain ? aJob.mAfterStop : aAfter;
    }
    return;
  }
  if (aJob.mPhase == job_phase::kRunning) {
    --mRunning;
  }
  const bool doubtful = !aJob.Spec().mRepeatable && aJob.mAnyStarted;
  aJob.mAfterStop = doubtful && aAfter == after_stop::kQueueAgain ? after_stop::kUnknown : aAfter;
  aJob.mPhase = job_phase::kStopping;
  aJob.mStopReason = aReason;
  LeaveFlight(aJob);
  GiveUpTenure(aJob);
  if (aAfter == after_stop::kQueueAgain) {
    Note(decision_kind::kAttemptAborted, aJob.Spec().mId, {}, {}, aReason);
  }
  for (int i = 0; i < static_cast<int>(aJob.mMembers.size()); ++i) {
    StopMember(aJob, i, aCheckpointBound);
  }
}

/// What is being stopped is in nobody's way for longer than the stop takes, so its guaranteed shape
/// is free for another claim and may move.
void job_core::state::GiveUpTenure(job_entry& aJob)
{
  for (const member_state& each : aJob.mMembers) {
    if (each.mHolds) {
      mCluster.Retag(each.mWorker, aJob.Spec().mShape, aJob.mTenure, tenure::kBorrowed);
    }
  }
  aJob.mTenure = tenure::kBorrowed;
  LeaveCell(aJob);
}

void job_core::state::LeaveCell(job_entry& aJob)
{
  if (aJob.mCell >= 0) {
    mCells.Unclaim(aJob.mCell);
    aJob.mCell = -1;
    mRebindNeeded = true;
  }
}

void job_core::state::StopMember(job_entry& aJob, int aMember, milliseconds aCheckpointBound)
{
  member_state& member = aJob.mMembers[aMember];
  switch (member.mPhase) {
    case member_phase::kNone:
      MemberGone(aJob, aMember);
      break;
    case member_phase::kReserved:
      member.mPhase = member_phase::kStopping;
      Do(release_lease{ IdOf(aJob, aMember), NameOf(member.mWorker), member.mLease, mEpoch });
      break;
    case member_phase::kStarting:
    case member_phase::kRunning: {
      const bool saves = aJob.Spec().mCheckpoints && member.mPhase == member_phase::kRunning;
      member.mPhase = member_phase::kStopping;
      Do(stop_lease{ IdOf(aJob, aMember), NameOf(member.mWorker), member.mLease, mEpoch,
                     saves ? aCheckpointBound : milliseconds(0) });
      break;
    }
    case member_phase::kReserving: // released when its answer comes
    case member_phase::kStopping:
    case member_phase::kLapsing:
    case member_phase::kGone:
      break;
  }
}

void job_core::state::On(const stop_finished& aEvent)
{
  if (OrphanAnswered(aEvent)) {
    return;
  }
  job_entry* const job = FindAttempt(aEvent.mMember);
  if (job == nullptr) {
    return;
  }
  const int index = aEvent.mMember.mMember;
  member_state& member = job->mMembers[index];
  if (member.mPhase != member_phase::kStopping) {
    return;
  }
  if (aEvent.mOutcome == call_outcome::kUnknown) {
    LetLapse(*job, index);
  } else {
    if (aEvent.mCheckpointed) {
      member.mProgress = aEvent.mProgress;
    } else if (member.mStarted) {
      job->mSaved = false;
    }
    MemberGone(*job, index);
  }
  FinishIfOver(*job);
}

void job_core::state::LetLapse(job_entry& aJob, int aMember)
{
  member_state& member = aJob.mMembers[aMember];
  member.mPhase = member_phase::kLapsing;
  if (member.mStarted) {
    aJob.mSaved = false;
  }
  At(std::max(mNow, member.mLeaseUntil) + mOptions.mLapseMargin,
     { timer_kind::kLapse, aJob.Spec().mId, aJob.mRecord.mAttempt, aMember });
}

/// Lets the jobs that wait for room on a worker look again.
void job_core::state::LetReserve(worker_index aWorker)
{
  for (const occupant& each : mCluster.At(aWorker).mOccupants) {
    if (each.mJob->mPhase == job_phase::kEvicting) {
      mMayReserve.push_back(each.mJob->Spec().mId);
    }
  }
}

/// The member holds nothing on its worker any more.
void job_core::state::MemberGone(job_entry& aJob, int aMember)
{
  member_state& member = aJob.mMembers[aMember];
  member.mPhase = member_phase::kGone;
  if (!member.mHolds) {
    return;
  }
  member.mHolds = false;
  --aJob.mMembersHolding;
  mCluster.Give(member.mWorker, aJob.Spec().mShape, aJob.mTenure, { &aJob, aMember });
  mRoomChanged = true;
  LetReserve(member.mWorker);
  if (aJob.mMembersHolding > 0) {
    return;
  }
  aJob.mOrganisation->mUsed = aJob.mOrganisation->mUsed - aJob.Total();
  if (aJob.mTeam != nullptr) {
    aJob.mTeam->mUsedAccelerators -= aJob.Accelerators();
  }
  LeaveCell(aJob);
}

/// Settles what becomes of the job once no member is left. The job may be gone afterwards.
void job_core::state::FinishIfOver(job_entry& aJob)
{
  if (aJob.mMembers.empty() || aJob.mMembersHolding > 0 || aJob.mPhase == job_phase::kEnded) {
    return;
  }
  LeaveFlight(aJob);
  for (const member_state& each : aJob.mMembers) {
    if (!each.mLease.empty()) {
      aJob.mToForget.push_back({ NameOf(each.mWorker), each.mLease });
    }
  }
  const bool finished = std::ranges::all_of(aJob.mMembers, &member_state::mFinished);
  if (finished) {
    const auto ran = std::chrono::duration_cast<milliseconds>(mNow - aJob.mRunningSince);
    mRunTimes.Learn(aJob.Spec().mOrganisation, aJob.Accelerators(), aJob.Spec().mExpected,
                    aJob.mProgressAtStart + ran);
    if (aJob.mPhase == job_phase::kRunning) {
      --mRunning;
    }
    aJob.mMembers.clear();
    const bool cancelled = aJob.mRecord.mState == job_state::kCancelled;
    End(aJob, cancelled ? job_state::kCancelled : job_state::kFinished,
        cancelled ? "cancelled" : "finished");
    return;
  }
  if (aJob.Spec().mCheckpoints && aJob.mSaved && aJob.mAnyStarted) {
    const auto least = std::ranges::min_element(aJob.mMembers, {}, &member_state::mProgress);
    aJob.mRecord.mProgress = aJob.mProgressAtStart + least->mProgress;
  }
  aJob.mMembers.clear();
  switch (aJob.mAfterStop) {
    case after_stop::kQueueAgain:
      Requeue(aJob, !aJob.mAnyStarted || aJob.mAborts > 0);
      break;
    case after_stop::kCancelled:
      End(aJob, job_state::kCancelled, "cancelled");
      break;
    case after_stop::kFailed:
      End(aJob, job_state::kFailed, aJob.mStopReason);
      break;
    case after_stop::kUnknown:
      End(aJob, job_state::kUnknown, aJob.mStopReason);
      break;
  }
}

void job_core::state::Requeue(job_entry& aJob, bool aDelayed)
{
  aJob.mPhase = job_phase::kQueued;
  const bool recorded = aJob.mRecord.mState == job_state::kAttempted;
  aJob.mRecord.mState = job_state::kQueued;
  aJob.mRecord.mPlacements.clear();
  if (recorded) {
    WriteRecord(aJob);
  }
  if (aDelayed) {
    const int doublings = std::min(aJob.mAborts, kMostDoublings);
    ++aJob.mAborts;
    const duration delay =
      std::min<duration>(mOptions.mRetryDelay * (1 << doublings), mOptions.mRetryDelayCap);
    aJob.mNotBefore = std::max(aJob.mNotBefore, mNow + delay);
  }
  if (aJob.mNotBefore <= mNow) {
    Enqueue(aJob);
    return;
  }
  aJob.mDelayed = true;
  Wait(aJob, wait_reason::kRetryDelay, aJob.mStopReason);
  At(aJob.mNotBefore, { timer_kind::kRetry, aJob.Spec().mId, 0, 0 });
}

} // namespace briarwind
