#include "libjobs/core_state.h"

#include <algorithm>

namespace briarwind {

namespace {

// Start calls for one member. A start is idempotent, so it is repeated when the answer is lost.
constexpr int kMaxStartCalls = 3;
constexpr int kMaxBackoffDoublings = 7;

} // namespace

member_id job_core::state::MemberIdOf(const job_entry& aJob, int aMember) const
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
    EmitDecision(decision_kind::kStaleAnswer, aMember.mJob);
    return nullptr;
  }
  return job;
}

void job_core::state::BeginAttempt(job_entry& aJob, const placement& aParts,
                                   eviction_class aEvictionClass, int aCell)
{
  Dequeue(aJob);
  EndDrain(aJob);
  ++aJob.mRecord.mAttempt;
  aJob.mEvictionClass = aEvictionClass;
  aJob.mCell = aCell;
  aJob.mMembers.clear();
  aJob.mAnyStarted = false;
  aJob.mAllSaved = true;
  aJob.mAfterStop = after_stop::kRequeue;
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
      member.mHoldsResources = true;
      mCluster.Allocate(part.mWorker, aJob.Spec().mShape, aEvictionClass, { &aJob, index });
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
  EmitDecision(decision_kind::kPlaced, aJob.Spec().mId, NameOf(aParts.front().mWorker));
}

bool job_core::state::HasRoom(const job_entry& aJob) const
{
  return std::ranges::all_of(aJob.mMembers, [&](const member_state& aMember) {
    const worker_slot& worker = mCluster.At(aMember.mWorker);
    return worker.mOrphans == 0 && FitsInto(worker.mUsed, worker.mInfo.mCapacity);
  });
}

void job_core::state::ReserveMembers(job_entry& aJob)
{
  if (!mFresh) {
    return;
  }
  aJob.mPhase = job_phase::kReserving;
  for (int i = 0; i < static_cast<int>(aJob.mMembers.size()); ++i) {
    member_state& member = aJob.mMembers[i];
    member.mPhase = member_phase::kReserving;
    member.mLeaseUntil = mNow + mOptions.mReservationTimeToLive;
    Emit(reserve_lease{ MemberIdOf(aJob, i), NameOf(member.mWorker), mEpoch, aJob.Spec().mShape,
                        mOptions.mReservationTimeToLive });
  }
}

void job_core::state::HandleEvent(const reserve_finished& aEvent)
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
        RecordAttempt(*job);
      }
      break;
    case call_outcome::kRefused:
      ReleaseMember(*job, index);
      StopAttempt(*job, after_stop::kRequeue, "a reservation was refused: " + aEvent.mReason,
                  milliseconds(0));
      break;
    case call_outcome::kUnknown:
      // The reservation may exist until it lapses, and a delayed request may take effect only now,
      // so the time to live counts from now.
      member.mLeaseUntil = mNow + mOptions.mReservationTimeToLive;
      AwaitLapse(*job, index);
      StopAttempt(*job, after_stop::kRequeue, "a reservation was not answered", milliseconds(0));
      break;
  }
  CompleteAttemptIfOver(*job);
}

void job_core::state::RecordAttempt(job_entry& aJob)
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
    StartMembers(aJob);
    return;
  }
  StopAttempt(aJob, after_stop::kRequeue, "its attempt cannot be recorded, the store is away",
              milliseconds(0));
}

/// Starts all members once they are reserved and the attempt is recorded. Stops the attempt instead
/// when a reservation has lapsed, a worker no longer accepts starts or the settings are
/// unconfirmed.
void job_core::state::StartMembers(job_entry& aJob)
{
  const bool lapsed = std::ranges::any_of(
    aJob.mMembers, [&](const member_state& aMember) { return aMember.mLeaseUntil <= mNow; });
  const bool out = std::ranges::any_of(aJob.mMembers, [&](const member_state& aMember) {
    return !mCluster.AcceptsStarts(mCluster.At(aMember.mWorker));
  });
  if (lapsed || out || !mFresh) {
    const char* const reason = lapsed ? "a reservation lapsed before the start"
                               : out  ? "a worker went out before the start"
                                      : "the settings are not confirmed";
    StopAttempt(aJob, after_stop::kRequeue, reason, milliseconds(0));
    CompleteAttemptIfOver(aJob);
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
  // A repeated start finds the task running or the reservation lapsed. Both give a definite answer,
  // so a repeated start may be sent after the reservation has expired.
  const instant notAfter =
    member.mStartsSent == 0 ? member.mLeaseUntil : mNow + mOptions.mReservationTimeToLive;
  member.mPhase = member_phase::kStarting;
  member.mStarted = true;
  ++member.mStartsSent;
  const milliseconds left = aJob.Spec().mExpected - aJob.mRecord.mProgress;
  Emit(start_lease{ MemberIdOf(aJob, aMember), NameOf(member.mWorker), member.mLease, mEpoch,
                    mOptions.mLeaseTimeToLive, std::max(left, milliseconds(1)),
                    aJob.mRecord.mProgress, aJob.Spec().mCommand, notAfter });
  member.mLeaseUntil = std::max(member.mLeaseUntil, mNow + mOptions.mLeaseTimeToLive);
}

void job_core::state::HandleEvent(const start_finished& aEvent)
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
      MarkMemberRunning(*job, index);
      break;
    case call_outcome::kRefused:
      HandleStartRefused(*job, index);
      break;
    case call_outcome::kUnknown:
      if (member.mStartsSent < kMaxStartCalls) {
        SendStart(*job, index);
      } else {
        StopAttempt(*job, after_stop::kRequeue, "a start was not answered", milliseconds(0));
      }
      break;
  }
  CompleteAttemptIfOver(*job);
}

// The refusal of the first start proves that the task did not start. After an unanswered start the
// task may have run until its lease lapsed.
void job_core::state::HandleStartRefused(job_entry& aJob, int aMember)
{
  member_state& member = aJob.mMembers[aMember];
  const bool certain = member.mStartsSent <= 1;
  member.mStarted = !certain;
  ReleaseMember(aJob, aMember);
  const bool noneStarted = std::ranges::none_of(aJob.mMembers, &member_state::mStarted);
  aJob.mAnyStarted = !noneStarted;
  const bool requeue = noneStarted || aJob.Spec().mRepeatable;
  const after_stop otherwise = certain ? after_stop::kFailed : after_stop::kUnknown;
  StopAttempt(aJob, requeue ? after_stop::kRequeue : otherwise, "a start was refused",
              milliseconds(0));
}

void job_core::state::MarkMemberRunning(job_entry& aJob, int aMember)
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
  aJob.mConsecutiveAborts = 0;
  ++mRunning;
  ClearInFlight(aJob);
  EmitDecision(decision_kind::kRunning, aJob.Spec().mId);
}

void job_core::state::ClearInFlight(job_entry& aJob)
{
  if (aJob.mInFlight) {
    aJob.mInFlight = false;
    mInFlight -= static_cast<int>(aJob.mMembers.size());
  }
}

/// Stops all remaining members. The caller must call CompleteAttemptIfOver afterwards, when it no
/// longer needs the job.
void job_core::state::StopAttempt(job_entry& aJob, after_stop aAfter, const std::string& aReason,
                                  milliseconds aCheckpointBound)
{
  if (aJob.mMembersHolding == 0 && aJob.mMembers.empty()) {
    return;
  }
  if (aJob.mPhase == job_phase::kStopping) {
    // The job is being stopped already. A cancellation replaces any other outcome, and a requeue is
    // replaced by any other outcome.
    if (aAfter == after_stop::kCancelled || aJob.mAfterStop == after_stop::kRequeue) {
      aJob.mAfterStop = aAfter == after_stop::kRequeue ? aJob.mAfterStop : aAfter;
    }
    return;
  }
  if (aJob.mPhase == job_phase::kRunning) {
    --mRunning;
  }
  const bool doubtful = !aJob.Spec().mRepeatable && aJob.mAnyStarted;
  aJob.mAfterStop = doubtful && aAfter == after_stop::kRequeue ? after_stop::kUnknown : aAfter;
  aJob.mPhase = job_phase::kStopping;
  aJob.mStopReason = aReason;
  ClearInFlight(aJob);
  DowngradeToBorrowed(aJob);
  if (aAfter == after_stop::kRequeue) {
    EmitDecision(decision_kind::kAttemptAborted, aJob.Spec().mId, {}, {}, aReason);
  }
  for (int i = 0; i < static_cast<int>(aJob.mMembers.size()); ++i) {
    StopMember(aJob, i, aCheckpointBound);
  }
}

/// Makes the members of a stopping job count as borrowed and releases its guarantee cell. The
/// resources become free as soon as the stop ends, so another claim may use the cell, and the cell
/// may move.
void job_core::state::DowngradeToBorrowed(job_entry& aJob)
{
  for (const member_state& each : aJob.mMembers) {
    if (each.mHoldsResources) {
      mCluster.Reclassify(each.mWorker, aJob.Spec().mShape, aJob.mEvictionClass,
                          eviction_class::kBorrowed);
    }
  }
  aJob.mEvictionClass = eviction_class::kBorrowed;
  ReleaseCell(aJob);
}

void job_core::state::ReleaseCell(job_entry& aJob)
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
      ReleaseMember(aJob, aMember);
      break;
    case member_phase::kReserved:
      member.mPhase = member_phase::kStopping;
      Emit(
        release_lease{ MemberIdOf(aJob, aMember), NameOf(member.mWorker), member.mLease, mEpoch });
      break;
    case member_phase::kStarting:
    case member_phase::kRunning: {
      const bool saves = aJob.Spec().mCheckpoints && member.mPhase == member_phase::kRunning;
      member.mPhase = member_phase::kStopping;
      Emit(stop_lease{ MemberIdOf(aJob, aMember), NameOf(member.mWorker), member.mLease, mEpoch,
                       saves ? aCheckpointBound : milliseconds(0) });
      break;
    }
    case member_phase::kReserving: // released when the answer to the reservation arrives
    case member_phase::kStopping:
    case member_phase::kLapsing:
    case member_phase::kGone:
      break;
  }
}

void job_core::state::HandleEvent(const stop_finished& aEvent)
{
  if (HandleOrphanStopped(aEvent)) {
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
    AwaitLapse(*job, index);
  } else {
    if (aEvent.mCheckpointed) {
      member.mProgress = aEvent.mProgress;
    } else if (member.mStarted) {
      job->mAllSaved = false;
    }
    ReleaseMember(*job, index);
  }
  CompleteAttemptIfOver(*job);
}

void job_core::state::AwaitLapse(job_entry& aJob, int aMember)
{
  member_state& member = aJob.mMembers[aMember];
  member.mPhase = member_phase::kLapsing;
  if (member.mStarted) {
    aJob.mAllSaved = false;
  }
  ScheduleTimer(std::max(mNow, member.mLeaseUntil) + mOptions.mLapseMargin,
                { timer_kind::kLapse, aJob.Spec().mId, aJob.mRecord.mAttempt, aMember });
}

/// Schedules a check of the jobs that wait for evictions on the worker.
void job_core::state::RequestReservationChecks(worker_index aWorker)
{
  for (const occupant& each : mCluster.At(aWorker).mOccupants) {
    if (each.mJob->mPhase == job_phase::kEvicting) {
      mReservationChecks.push_back(each.mJob->Spec().mId);
    }
  }
}

/// Releases the resources of a member that no longer runs on its worker.
void job_core::state::ReleaseMember(job_entry& aJob, int aMember)
{
  member_state& member = aJob.mMembers[aMember];
  member.mPhase = member_phase::kGone;
  if (!member.mHoldsResources) {
    return;
  }
  member.mHoldsResources = false;
  --aJob.mMembersHolding;
  mCluster.Release(member.mWorker, aJob.Spec().mShape, aJob.mEvictionClass, { &aJob, aMember });
  mRoomChanged = true;
  RequestReservationChecks(member.mWorker);
  if (aJob.mMembersHolding > 0) {
    return;
  }
  aJob.mOrganisation->mUsed = aJob.mOrganisation->mUsed - aJob.Total();
  if (aJob.mTeam != nullptr) {
    aJob.mTeam->mUsedAccelerators -= aJob.Accelerators();
  }
  ReleaseCell(aJob);
}

/// Ends or requeues the job once none of its members holds resources. The job may have been removed
/// from mJobs afterwards.
void job_core::state::CompleteAttemptIfOver(job_entry& aJob)
{
  if (aJob.mMembers.empty() || aJob.mMembersHolding > 0 || aJob.mPhase == job_phase::kEnded) {
    return;
  }
  ClearInFlight(aJob);
  for (const member_state& each : aJob.mMembers) {
    if (!each.mLease.empty()) {
      aJob.mToForget.push_back({ NameOf(each.mWorker), each.mLease });
    }
  }
  const bool finished = std::ranges::all_of(aJob.mMembers, &member_state::mFinished);
  if (finished) {
    const auto ran = std::chrono::duration_cast<milliseconds>(mNow - aJob.mRunningSince);
    mRunTimes.AddObservation(aJob.Spec().mOrganisation, aJob.Accelerators(), aJob.Spec().mExpected,
                             aJob.mProgressAtStart + ran);
    if (aJob.mPhase == job_phase::kRunning) {
      --mRunning;
    }
    aJob.mMembers.clear();
    const bool cancelled = aJob.mRecord.mState == job_state::kCancelled;
    EndJob(aJob, cancelled ? job_state::kCancelled : job_state::kFinished,
           cancelled ? "cancelled" : "finished");
    return;
  }
  if (aJob.Spec().mCheckpoints && aJob.mAllSaved && aJob.mAnyStarted) {
    const auto least = std::ranges::min_element(aJob.mMembers, {}, &member_state::mProgress);
    aJob.mRecord.mProgress = aJob.mProgressAtStart + least->mProgress;
  }
  aJob.mMembers.clear();
  switch (aJob.mAfterStop) {
    case after_stop::kRequeue:
      Requeue(aJob, !aJob.mAnyStarted || aJob.mConsecutiveAborts > 0);
      break;
    case after_stop::kCancelled:
      EndJob(aJob, job_state::kCancelled, "cancelled");
      break;
    case after_stop::kFailed:
      EndJob(aJob, job_state::kFailed, aJob.mStopReason);
      break;
    case after_stop::kUnknown:
      EndJob(aJob, job_state::kUnknown, aJob.mStopReason);
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
    const int doublings = std::min(aJob.mConsecutiveAborts, kMaxBackoffDoublings);
    ++aJob.mConsecutiveAborts;
    const duration delay =
      std::min<duration>(mOptions.mRetryDelay * (1 << doublings), mOptions.mRetryDelayCap);
    aJob.mNotBefore = std::max(aJob.mNotBefore, mNow + delay);
  }
  if (aJob.mNotBefore <= mNow) {
    Enqueue(aJob);
    return;
  }
  aJob.mDelayed = true;
  SetWait(aJob, wait_reason::kRetryDelay, aJob.mStopReason);
  ScheduleTimer(aJob.mNotBefore, { timer_kind::kRetry, aJob.Spec().mId, 0, 0 });
}

} // namespace briarwind
