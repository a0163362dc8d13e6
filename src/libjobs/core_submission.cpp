#include "libjobs/core_state.h"

#include <fmt/format.h>

#include <algorithm>

namespace briarwind {

void job_core::state::HandleEvent(const job_submitted& aEvent)
{
  const job_spec& spec = aEvent.mSpec;
  const auto refuse = [&](submission_outcome aOutcome, std::string aReason, findings aFound = {}) {
    AnswerSubmission(aEvent.mRequest, spec.mId, aOutcome, std::move(aReason), std::move(aFound));
  };
  if (!mActing) {
    refuse(submission_outcome::kNotRun, "not-leader");
    return;
  }
  if (job_entry* const known = FindJob(spec.mId)) {
    HandleResubmission(*known, aEvent);
    return;
  }
  findings wrong = ValidateSpec(spec);
  if (HasErrors(wrong)) {
    refuse(submission_outcome::kInvalid, "invalid", std::move(wrong));
    return;
  }
  if (mCluster.ListedWorkers() == 0) {
    refuse(submission_outcome::kNotRun, "no-workers-known");
    return;
  }
  const std::string impossible = ExplainImpossible(spec);
  if (!impossible.empty()) {
    refuse(submission_outcome::kImpossible, impossible);
    return;
  }
  if (mLiveJobs >= mOptions.mMaxLiveJobs) {
    refuse(submission_outcome::kNotRun, "queue-full");
    return;
  }
  job_record record;
  record.mSpec = spec;
  if (mStoreReachable) {
    job_entry& job = AddJob(record);
    job.mPhase = job_phase::kSubmitting;
    job.mRequests.push_back(aEvent.mRequest);
    WriteRecord(job);
    return;
  }
  job_entry candidate;
  candidate.mRecord = record;
  if (!spec.mGuaranteed || mCells.FindCellFor(candidate) < 0) {
    refuse(submission_outcome::kNotRun, "store-away");
    return;
  }
  job_entry& job = AddJob(record);
  job.mDirty = true;
  Enqueue(job);
  refuse(submission_outcome::kInMemory, "store-away");
}

void job_core::state::HandleResubmission(job_entry& aKnown, const job_submitted& aEvent)
{
  if (aKnown.Spec() != aEvent.mSpec) {
    AnswerSubmission(aEvent.mRequest, aEvent.mSpec.mId, submission_outcome::kConflict,
                     "the id belongs to another specification");
    return;
  }
  if (aKnown.mPhase == job_phase::kSubmitting) {
    aKnown.mRequests.push_back(aEvent.mRequest);
    return;
  }
  const bool stored = aKnown.mRevision > 0;
  AnswerSubmission(aEvent.mRequest, aEvent.mSpec.mId,
                   stored ? submission_outcome::kAccepted : submission_outcome::kInMemory, "known");
}

findings job_core::state::ValidateSpec(const job_spec& aSpec) const
{
  findings wrong;
  const auto report = [&](std::string aPlace, std::string aValue, std::string aExpected) {
    wrong.push_back(
      { severity::kError, std::move(aPlace), std::move(aValue), std::move(aExpected) });
  };
  const auto organisation = mOrganisations.find(aSpec.mOrganisation);
  if (organisation == mOrganisations.end() || !organisation->second.mInSettings) {
    report("organisation", aSpec.mOrganisation, "an organisation of the settings");
  }
  if (!aSpec.mTeam.empty()) {
    const auto team = mTeams.find(aSpec.mTeam);
    const bool good = team != mTeams.end() && team->second.mInSettings &&
                      team->second.mOrganisation == aSpec.mOrganisation;
    if (!good) {
      report("team", aSpec.mTeam, "a team of this organisation");
    }
  }
  if (aSpec.mMembers < 1) {
    report("members", std::to_string(aSpec.mMembers), "at least 1");
  }
  const resource_shape& shape = aSpec.mShape;
  const bool negative = shape.mAccelerators < 0 || shape.mCores < 0 || shape.mMemoryMb < 0;
  if (negative || shape == resource_shape{}) {
    report("shape", "", "at least one resource above 0 and none below");
  }
  if (aSpec.mId.empty()) {
    report("id", "", "an id that is the caller's own");
  }
  return wrong;
}

std::string job_core::state::ExplainImpossible(const job_spec& aSpec) const
{
  const auto team = mTeams.find(aSpec.mTeam);
  const int accelerators = aSpec.mMembers * aSpec.mShape.mAccelerators;
  const bool limited = team != mTeams.end() && team->second.mQuota > 0 && !aSpec.mGuaranteed;
  if (limited && accelerators > team->second.mQuota) {
    return fmt::format("it needs {} accelerators, the quota of team {} is {}", accelerators,
                       aSpec.mTeam, team->second.mQuota);
  }
  placement_request request;
  request.mMembers = aSpec.mMembers;
  request.mShape = aSpec.mShape;
  request.mAdjacency = aSpec.mAdjacency;
  request.mRoom = room_kind::kListedCapacity;
  const placement_result found = FindPlace(mCluster, request);
  if (!found.mParts.empty()) {
    return {};
  }
  if (found.mFailure == placement_failure::kNoAdjacency) {
    return fmt::format("no single {} could hold {} such members, even when empty",
                       ToString(aSpec.mAdjacency), aSpec.mMembers);
  }
  return fmt::format("all workers together could not hold {} such members, even when empty",
                     aSpec.mMembers);
}

job_entry& job_core::state::AddJob(const job_record& aRecord)
{
  auto added = std::make_unique<job_entry>();
  job_entry& job = *added;
  job.mRecord = aRecord;
  job.mSequence = ++mNextSequence;
  job.mArrived = mNow;
  job.mOrganisation = &FindOrAddOrganisation(aRecord.mSpec.mOrganisation);
  job.mTeam = aRecord.mSpec.mTeam.empty() ? nullptr : &FindOrAddTeam(aRecord.mSpec.mTeam);
  mJobs[aRecord.mSpec.mId] = std::move(added);
  ++mLiveJobs;
  return job;
}

void job_core::state::HandleEvent(const job_cancelled& aEvent)
{
  job_entry* const job = FindJob(aEvent.mJob);
  if (job == nullptr || job->mPhase == job_phase::kEnded) {
    return;
  }
  if (job->mMembersHolding == 0) {
    EndJob(*job, job_state::kCancelled, "cancelled");
    return;
  }
  StopAttempt(*job, after_stop::kCancelled, "cancelled", milliseconds(0));
  if (job->mPhase != job_phase::kEnded && !IsFinal(job->mRecord.mState)) {
    // The record is written before the members have stopped, so that a new leader does not run the
    // job again.
    job->mRecord.mState = job_state::kCancelled;
    job->mRecord.mReason = "cancelled";
    WriteRecord(*job);
  }
  CompleteAttemptIfOver(*job);
}

void job_core::state::EndJob(job_entry& aJob, job_state aState, const std::string& aReason)
{
  static constexpr std::pair<job_state, decision_kind> kDecisionOfState[] = {
    { job_state::kFinished, decision_kind::kFinished },
    { job_state::kFailed, decision_kind::kFailed },
    { job_state::kCancelled, decision_kind::kCancelled },
    { job_state::kUnknown, decision_kind::kOutcomeUnknown },
  };
  Dequeue(aJob);
  aJob.mPhase = job_phase::kEnded;
  aJob.mWait = wait_reason::kNone;
  aJob.mRecord.mState = aState;
  aJob.mRecord.mReason = aReason;
  --mLiveJobs;
  const auto note =
    std::ranges::find(kDecisionOfState, aState, &std::pair<job_state, decision_kind>::first);
  EmitDecision(note->second, aJob.Spec().mId, {}, {}, aReason);
  WriteRecord(aJob);
  ScheduleTimer(mNow + mOptions.mEndedJobRetention,
                { timer_kind::kDropEnded, aJob.Spec().mId, 0, 0 });
}

void job_core::state::AnswerSubmission(std::uint64_t aRequest, const std::string& aJob,
                                       submission_outcome aOutcome, std::string aReason,
                                       findings aFindings)
{
  Emit(answer_submission{ aRequest, aJob, aOutcome, std::move(aReason), std::move(aFindings) });
}

void job_core::state::AnswerPendingSubmissions(job_entry& aJob, submission_outcome aOutcome,
                                               const std::string& aReason)
{
  for (const std::uint64_t request : aJob.mRequests) {
    AnswerSubmission(request, aJob.Spec().mId, aOutcome, aReason);
  }
  aJob.mRequests.clear();
}

organisation_state& job_core::state::FindOrAddOrganisation(const std::string& aName)
{
  const auto [found, added] = mOrganisations.try_emplace(aName);
  if (added) {
    found->second.mName = aName;
    found->second.mId = static_cast<int>(mOrganisations.size());
  }
  return found->second;
}

team_state& job_core::state::FindOrAddTeam(const std::string& aName)
{
  const auto [found, added] = mTeams.try_emplace(aName);
  if (added) {
    found->second.mName = aName;
    found->second.mId = static_cast<int>(mTeams.size());
  }
  return found->second;
}

} // namespace briarwind
