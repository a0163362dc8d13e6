#include "libjobs/core_state.h"

#include <algorithm>

namespace briarwind {

namespace {

// How fast the fleet's share of failed tasks follows what happens.
constexpr double kFleetRateGain = 0.02;
// With more than this share of all tasks failing, the cause is not one worker.
constexpr double kFleetRateExonerating = 0.5;
constexpr int kMostFailuresFactor = 2;
constexpr int kLongestQuarantineFactor = 64;

} // namespace

void job_core::state::On(const lease_report& aEvent)
{
  const worker_index worker = mCluster.Find(aEvent.mWorker);
  if (worker == kNoWorker) {
    return;
  }
  for (const lease_status& status : aEvent.mLeases) {
    const auto& occupants = mCluster.At(worker).mOccupants;
    const auto found = std::ranges::find_if(occupants, [&](const occupant& aEach) {
      return aEach.mJob->mMembers[aEach.mMember].mLease == status.mLease;
    });
    if (found != occupants.end()) {
      const occupant who = *found;
      TakeStatus(*who.mJob, who.mMember, status);
      FinishIfOver(*who.mJob);
    }
  }
}

void job_core::state::TakeStatus(job_entry& aJob, int aMember, const lease_status& aStatus)
{
  member_state& member = aJob.mMembers[aMember];
  const bool active =
    member.mPhase == member_phase::kRunning || member.mPhase == member_phase::kStarting;
  switch (aStatus.mState) {
    case lease_state::kReserved:
      break;
    case lease_state::kRunning:
      member.mProgress = aStatus.mProgress;
      if (member.mPhase == member_phase::kStarting) {
        MemberRuns(aJob, aMember);
      } else if (member.mPhase == member_phase::kLapsing) {
        // The stop was lost, and the worker answers again.
        member.mPhase = member_phase::kRunning;
        StopMember(aJob, aMember, milliseconds(0));
      }
      if (member.mProgress >= mOptions.mProbeTime) {
        TaskSucceeded(member.mWorker);
      }
      break;
    case lease_state::kFinished:
      if (active || member.mPhase == member_phase::kStopping ||
          member.mPhase == member_phase::kLapsing) {
        MemberRuns(aJob, aMember);
        member.mFinished = true;
        TaskSucceeded(member.mWorker);
        MemberGone(aJob, aMember);
      }
      break;
    case lease_state::kFailed:
      if (active) {
        MemberFailed(aJob, aMember);
      } else if (member.mPhase == member_phase::kLapsing) {
        MemberGone(aJob, aMember);
      }
      break;
    case lease_state::kStopped:
    case lease_state::kLapsed:
    case lease_state::kUnknown:
      if (active) {
        aJob.mSaved = false;
        MemberGone(aJob, aMember);
        StopAttempt(aJob, after_stop::kQueueAgain, "a lease ended on its worker", milliseconds(0));
      } else if (member.mPhase == member_phase::kLapsing) {
        MemberGone(aJob, aMember);
      }
      break;
  }
}

void job_core::state::MemberFailed(job_entry& aJob, int aMember)
{
  const worker_index worker = aJob.mMembers[aMember].mWorker;
  TaskFailed(worker, aJob.Spec().mId);
  aJob.mSaved = false;
  MemberGone(aJob, aMember);
  if (std::ranges::find(aJob.mFailedOn, worker) == aJob.mFailedOn.end()) {
    aJob.mFailedOn.push_back(worker);
    aJob.mAvoid.push_back(worker);
  }
  ++aJob.mRecord.mFailures;
  aJob.mAborts = std::max(aJob.mAborts, aJob.mRecord.mFailures);
  const auto healthy = std::ranges::count_if(aJob.mFailedOn, [&](worker_index aWorker) {
    return !mCluster.At(aWorker).mHealth.mQuarantined;
  });
  // In a small or tightly adjacent group of workers there may be too few different ones.
  const bool atFault = healthy >= mOptions.mJobFailures ||
                       aJob.mRecord.mFailures >= kMostFailuresFactor * mOptions.mJobFailures;
  if (atFault && aJob.Spec().mRepeatable) {
    Note(decision_kind::kJobAtFault, aJob.Spec().mId);
    for (const worker_index each : aJob.mFailedOn) {
      int& failures = mCluster.At(each).mHealth.mFailuresInRow;
      failures = std::max(0, failures - 1);
    }
  }
  const bool again = aJob.Spec().mRepeatable && !atFault;
  StopAttempt(aJob, again ? after_stop::kQueueAgain : after_stop::kFailed,
              "it failed on worker " + NameOf(worker), milliseconds(0));
}

/// Renews the workers whose turn it is: all of them once in every renewal period.
void job_core::state::RenewDue()
{
  const std::size_t count = mCluster.Workers().size();
  if (!mActing || count == 0) {
    mRenewedUpTo = mNow;
    return;
  }
  const duration period = mOptions.mRenewEvery;
  const duration each = period / count;
  const auto due = each.count() == 0 ? std::int64_t(count) : (mNow - mRenewedUpTo) / each;
  const auto turns = std::min<std::int64_t>(due, static_cast<std::int64_t>(count));
  for (std::int64_t i = 0; i < turns; ++i) {
    mNextRenewal = static_cast<worker_index>((mNextRenewal + 1) % count);
    RenewWorker(mNextRenewal);
  }
  mRenewedUpTo = due > turns ? mNow : mRenewedUpTo + each * due;
}

void job_core::state::RenewWorker(worker_index aWorker)
{
  const worker_slot& worker = mCluster.At(aWorker);
  if (worker.mOccupants.empty()) {
    return;
  }
  renew_leases renewal{ worker.mInfo.mName, mEpoch, mOptions.mLeaseTimeToLive, {} };
  for (const occupant& each : worker.mOccupants) {
    member_state& member = each.mJob->mMembers[each.mMember];
    const bool active =
      member.mPhase == member_phase::kRunning || member.mPhase == member_phase::kStarting;
    if (active) {
      renewal.mLeases.push_back(member.mLease);
      member.mLeaseUntil = mNow + mOptions.mLeaseTimeToLive;
    }
  }
  if (!renewal.mLeases.empty()) {
    Do(std::move(renewal));
  }
}

void job_core::state::TaskFailed(worker_index aWorker, const std::string& aJob)
{
  mFleetFailureRate += (1 - mFleetFailureRate) * kFleetRateGain;
  worker_health& health = mCluster.At(aWorker).mHealth;
  if (health.mProbing) {
    Quarantine(aWorker);
    return;
  }
  // One job that fails again and again says little about its worker.
  if (health.mLastFailed != aJob) {
    ++health.mFailuresInRow;
    health.mLastFailed = aJob;
  }
  const bool worse = mFleetFailureRate < kFleetRateExonerating;
  if (health.mFailuresInRow >= mOptions.mQuarantineAfter && worse && !health.mQuarantined) {
    Quarantine(aWorker);
  }
}

void job_core::state::TaskSucceeded(worker_index aWorker)
{
  mFleetFailureRate -= mFleetFailureRate * kFleetRateGain;
  worker_health& health = mCluster.At(aWorker).mHealth;
  health.mFailuresInRow = 0;
  health.mLastFailed.clear();
  if (health.mProbing) {
    health.mProbing = false;
    health.mQuarantine = seconds(0);
    Note(decision_kind::kWorkerCleared, {}, NameOf(aWorker));
    Rebind();
    mRoomChanged = true;
  }
}

void job_core::state::Quarantine(worker_index aWorker)
{
  worker_health& health = mCluster.At(aWorker).mHealth;
  const int most = std::max(1, mCluster.ListedWorkers() * mOptions.mQuarantinePercent / 100);
  if (mCluster.Quarantined() >= most) {
    Note(decision_kind::kQuarantineCapped, {}, NameOf(aWorker));
    return;
  }
  const seconds longest = mOptions.mQuarantineTime * kLongestQuarantineFactor;
  health.mProbing = false;
  health.mQuarantine = health.mQuarantine == seconds(0) ? mOptions.mQuarantineTime
                                                        : std::min(health.mQuarantine * 2, longest);
  health.mProbeAfter = mNow + health.mQuarantine;
  mCluster.SetQuarantined(aWorker, true);
  At(health.mProbeAfter, { timer_kind::kProbe, NameOf(aWorker), 0, 0 });
  Note(decision_kind::kWorkerQuarantined, {}, NameOf(aWorker));
  Rebind();
}

void job_core::state::ProbeWorker(worker_index aWorker)
{
  if (aWorker == kNoWorker) {
    return;
  }
  worker_health& health = mCluster.At(aWorker).mHealth;
  if (health.mProbing && mCluster.At(aWorker).mOccupants.empty()) {
    // No job that could be the probe came by, and gangs may need this worker. One more failure
    // takes it out again.
    health.mProbing = false;
    health.mFailuresInRow = mOptions.mQuarantineAfter - 1;
    Note(decision_kind::kWorkerCleared, {}, NameOf(aWorker), {}, "no job came to probe it");
    Rebind();
    mRoomChanged = true;
    return;
  }
  if (health.mQuarantined) {
    health.mProbing = true;
    mCluster.SetQuarantined(aWorker, false);
    Note(decision_kind::kWorkerProbed, {}, NameOf(aWorker));
    mRoomChanged = true;
  }
  if (health.mProbing) {
    At(mNow + mOptions.mProbeTime, { timer_kind::kProbe, NameOf(aWorker), 0, 0 });
  }
}

} // namespace briarwind
