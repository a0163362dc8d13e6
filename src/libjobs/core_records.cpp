#include "libjobs/core_state.h"

#include <fmt/format.h>

namespace briarwind {

void job_core::state::WriteRecord(job_entry& aJob)
{
  aJob.mDirty = true;
  if (aJob.mWriting || !mStoreReachable) {
    return;
  }
  aJob.mRecord.mEpoch = mEpoch;
  aJob.mRecord.mChange = fmt::format("{}-{}", mEpoch, ++mNextChange);
  aJob.mWritten = aJob.mRecord.mChange;
  aJob.mWriting = true;
  aJob.mDirty = false;
  Do(record_job{ aJob.mRecord, aJob.mRevision });
}

void job_core::state::On(const record_finished& aEvent)
{
  job_entry* const job = FindJob(aEvent.mJob);
  if (job == nullptr || !job->mWriting || job->mWritten != aEvent.mChange) {
    Note(decision_kind::kStaleAnswer, aEvent.mJob);
    return;
  }
  job->mWriting = false;
  switch (aEvent.mOutcome) {
    case record_outcome::kOk:
      job->mRevision = aEvent.mRevision;
      Recorded(*job);
      break;
    case record_outcome::kConflict:
      RecordConflict(*job, aEvent);
      break;
    case record_outcome::kUnknown:
      RecordInDoubt(*job);
      break;
  }
}

/// The write took effect; the job may have moved on since.
void job_core::state::Recorded(job_entry& aJob)
{
  AnswerAll(aJob, submission_outcome::kAccepted, "stored");
  if (aJob.mPhase == job_phase::kSubmitting) {
    Enqueue(aJob);
    mScheduleNow = true;
  }
  if (aJob.mDirty) {
    WriteRecord(aJob);
    return;
  }
  for (forget_lease& each : aJob.mToForget) {
    Do(std::move(each));
  }
  aJob.mToForget.clear();
  if (aJob.mPhase == job_phase::kRecording) {
    StartAll(aJob);
  }
}

void job_core::state::RecordConflict(job_entry& aJob, const record_finished& aEvent)
{
  const bool ours =
    aEvent.mCurrent && aEvent.mCurrent->mEpoch == mEpoch && aEvent.mCurrent->mSpec == aJob.Spec();
  if (ours) {
    // An earlier write of ours took effect without our knowing.
    aJob.mRevision = aEvent.mRevision;
    if (aEvent.mCurrent->mChange == aEvent.mChange) {
      Recorded(aJob);
    } else {
      WriteRecord(aJob);
    }
    return;
  }
  const bool ofPredecessor =
    aEvent.mCurrent && aEvent.mCurrent->mEpoch < mEpoch && aEvent.mCurrent->mSpec == aJob.Spec();
  if (ofPredecessor) {
    TakeLateRecord(aJob, { *aEvent.mCurrent, aEvent.mRevision });
    return;
  }
  const bool other = aEvent.mCurrent && aEvent.mCurrent->mSpec != aJob.Spec();
  AnswerAll(aJob, other ? submission_outcome::kConflict : submission_outcome::kUnknown,
            other ? "the id belongs to another specification" : "another scheduler has the job");
  Note(decision_kind::kRecordConflict, aJob.Spec().mId);
  DropForeign(aJob);
}

/// The leader before us wrote after we had read. Workers that know our epoch refuse its starts, but
/// one that we did not reach may have taken them, so an attempt we do not hold is taken over as
/// after an election.
void job_core::state::TakeLateRecord(job_entry& aJob, const restored_record& aLate)
{
  Note(decision_kind::kRecordConflict, aJob.Spec().mId, {}, {}, "written by the leader before");
  const bool sameAttempt = aLate.mRecord.mAttempt == aJob.mRecord.mAttempt &&
                           !IsFinal(aLate.mRecord.mState) && aJob.mPhase != job_phase::kRecording;
  if (sameAttempt) {
    aJob.mRevision = aLate.mRevision;
    WriteRecord(aJob);
    return;
  }
  AnswerAll(aJob, submission_outcome::kAccepted, "stored");
  const bool cancelled = aJob.mRecord.mState == job_state::kCancelled;
  DropForeign(aJob);
  RestoreJob(aLate, {});
  if (cancelled) {
    On(job_cancelled{ aLate.mRecord.mSpec.mId });
  }
}

/// Lets go of a job that another scheduler acts for. Reservations are given back; what runs is the
/// other's to stop, and lapses when it does not renew.
void job_core::state::DropForeign(job_entry& aJob)
{
  Unqueue(aJob);
  EndDrain(aJob);
  LeaveFlight(aJob);
  for (int i = 0; i < static_cast<int>(aJob.mMembers.size()); ++i) {
    member_state& member = aJob.mMembers[i];
    if (member.mPhase == member_phase::kReserved) {
      Do(release_lease{ IdOf(aJob, i), NameOf(member.mWorker), member.mLease, mEpoch });
    }
    if (member.mHolds) {
      MemberGone(aJob, i);
    }
  }
  LeaveCell(aJob);
  if (aJob.mPhase == job_phase::kRunning) {
    --mRunning;
  }
  if (aJob.mPhase != job_phase::kEnded) {
    --mLiveJobs;
  }
  mJobs.erase(std::string(aJob.Spec().mId));
}

void job_core::state::RecordInDoubt(job_entry& aJob)
{
  aJob.mDirty = true;
  AnswerAll(aJob, submission_outcome::kUnknown, "store");
  At(mNow + mOptions.mRetryDelay, { timer_kind::kWriteAgain, aJob.Spec().mId, 0, 0 });
  if (aJob.mPhase == job_phase::kRecording) {
    // Nothing was started, so the next attempt is a fresh one.
    StopAttempt(aJob, after_stop::kQueueAgain, "its attempt could not be recorded",
                milliseconds(0));
    FinishIfOver(aJob);
  }
}

} // namespace briarwind
