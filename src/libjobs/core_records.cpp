#include "libjobs/core_state.h"

#include <fmt/format.h>

namespace briarwind {

namespace {

// Whether a final record in the store is of a job with the same id and specification whose end was
// dropped from memory before aJob was submitted. No record of aJob itself is stored then, and no
// member of it was started.
bool IsOfEndedJob(const job_entry& aJob, const job_record& aStored)
{
  return aJob.mRevision == 0 && aJob.mPhase != job_phase::kEnded && !aJob.mAnyStarted &&
         IsFinal(aStored.mState);
}

} // namespace

void job_core::state::WriteRecord(job_entry& aJob)
{
  aJob.mDirty = true;
  if (aJob.mWriteInFlight || !mStoreReachable) {
    return;
  }
  aJob.mRecord.mEpoch = mEpoch;
  aJob.mRecord.mChange = fmt::format("{}-{}", mEpoch, ++mNextChange);
  aJob.mPendingChange = aJob.mRecord.mChange;
  aJob.mWriteInFlight = true;
  aJob.mDirty = false;
  Emit(record_job{ aJob.mRecord, aJob.mRevision });
}

void job_core::state::HandleEvent(const record_finished& aEvent)
{
  job_entry* const job = FindJob(aEvent.mJob);
  if (job == nullptr || !job->mWriteInFlight || job->mPendingChange != aEvent.mChange) {
    EmitDecision(decision_kind::kStaleAnswer, aEvent.mJob);
    return;
  }
  job->mWriteInFlight = false;
  switch (aEvent.mOutcome) {
    case record_outcome::kOk:
      job->mRevision = aEvent.mRevision;
      HandleRecordStored(*job);
      break;
    case record_outcome::kConflict:
      HandleRecordConflict(*job, aEvent);
      break;
    case record_outcome::kUnknown:
      HandleUnknownWriteOutcome(*job);
      break;
  }
}

/// Handles a successful write. The job may have changed since the write was sent.
void job_core::state::HandleRecordStored(job_entry& aJob)
{
  AnswerPendingSubmissions(aJob, submission_outcome::kAccepted, "stored");
  if (aJob.mPhase == job_phase::kSubmitting) {
    Enqueue(aJob);
    mScheduleNow = true;
  }
  if (aJob.mDirty) {
    WriteRecord(aJob);
    return;
  }
  for (forget_lease& each : aJob.mToForget) {
    Emit(std::move(each));
  }
  aJob.mToForget.clear();
  if (aJob.mPhase == job_phase::kRecording) {
    StartMembers(aJob);
  }
}

void job_core::state::HandleRecordConflict(job_entry& aJob, const record_finished& aEvent)
{
  const bool ours =
    aEvent.mCurrent && aEvent.mCurrent->mEpoch == mEpoch && aEvent.mCurrent->mSpec == aJob.Spec();
  if (ours && IsOfEndedJob(aJob, *aEvent.mCurrent)) {
    AnswerPendingSubmissions(aJob, submission_outcome::kAccepted, "known");
    DropForeignJob(aJob);
    RestoreJob({ *aEvent.mCurrent, aEvent.mRevision }, {});
    return;
  }
  if (ours) {
    // An earlier write by this process took effect although its outcome was reported as unknown.
    aJob.mRevision = aEvent.mRevision;
    if (aEvent.mCurrent->mChange == aEvent.mChange) {
      HandleRecordStored(aJob);
    } else {
      WriteRecord(aJob);
    }
    return;
  }
  const bool ofPredecessor =
    aEvent.mCurrent && aEvent.mCurrent->mEpoch < mEpoch && aEvent.mCurrent->mSpec == aJob.Spec();
  if (ofPredecessor) {
    AdoptPredecessorRecord(aJob, { *aEvent.mCurrent, aEvent.mRevision });
    return;
  }
  const bool other = aEvent.mCurrent && aEvent.mCurrent->mSpec != aJob.Spec();
  AnswerPendingSubmissions(
    aJob, other ? submission_outcome::kConflict : submission_outcome::kUnknown,
    other ? "the id belongs to another specification" : "another scheduler has the job");
  EmitDecision(decision_kind::kRecordConflict, aJob.Spec().mId);
  DropForeignJob(aJob);
}

/// Handles a record that the previous leader wrote after this process had read the store at
/// takeover. Workers that have seen the present epoch refuse starts of the previous leader, but a
/// worker that was not reached may have accepted them. An attempt that this process does not hold
/// is therefore restored as at takeover.
void job_core::state::AdoptPredecessorRecord(job_entry& aJob, const restored_record& aLate)
{
  EmitDecision(decision_kind::kRecordConflict, aJob.Spec().mId, {}, {},
               "written by the previous leader");
  const bool sameAttempt = aLate.mRecord.mAttempt == aJob.mRecord.mAttempt &&
                           !IsFinal(aLate.mRecord.mState) && aJob.mPhase != job_phase::kRecording;
  if (sameAttempt) {
    aJob.mRevision = aLate.mRevision;
    WriteRecord(aJob);
    return;
  }
  AnswerPendingSubmissions(aJob, submission_outcome::kAccepted, "stored");
  const bool cancelled = aJob.mRecord.mState == job_state::kCancelled;
  DropForeignJob(aJob);
  RestoreJob(aLate, {});
  if (cancelled) {
    HandleEvent(job_cancelled{ aLate.mRecord.mSpec.mId });
  }
}

/// Drops a job that another scheduler manages. Reservations are released. Running tasks are left to
/// the other scheduler and lapse when it does not renew them.
void job_core::state::DropForeignJob(job_entry& aJob)
{
  Dequeue(aJob);
  EndDrain(aJob);
  ClearInFlight(aJob);
  for (int i = 0; i < static_cast<int>(aJob.mMembers.size()); ++i) {
    member_state& member = aJob.mMembers[i];
    if (member.mPhase == member_phase::kReserved) {
      Emit(release_lease{ MemberIdOf(aJob, i), NameOf(member.mWorker), member.mLease, mEpoch });
    }
    if (member.mHoldsResources) {
      ReleaseMember(aJob, i);
    }
  }
  ReleaseCell(aJob);
  if (aJob.mPhase == job_phase::kRunning) {
    --mRunning;
  }
  if (aJob.mPhase != job_phase::kEnded) {
    --mLiveJobs;
  }
  mJobs.erase(std::string(aJob.Spec().mId));
}

void job_core::state::HandleUnknownWriteOutcome(job_entry& aJob)
{
  aJob.mDirty = true;
  AnswerPendingSubmissions(aJob, submission_outcome::kUnknown, "store");
  ScheduleTimer(mNow + mOptions.mRetryDelay, { timer_kind::kRewriteRecord, aJob.Spec().mId, 0, 0 });
  if (aJob.mPhase == job_phase::kRecording) {
    // No member was started, so the attempt can be given up without an unknown outcome.
    StopAttempt(aJob, after_stop::kRequeue, "its attempt could not be recorded", milliseconds(0));
    CompleteAttemptIfOver(aJob);
  }
}

} // namespace briarwind
