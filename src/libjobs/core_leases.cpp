#include "libjobs/core_state.h"

#include <algorithm>

namespace briarwind {

namespace {

// Weight of one task in the moving average of the share of failed tasks over all workers.
constexpr double kFleetRateGain = 0.02;
// When at least this share of all tasks fails, the cause is not a single worker. No worker is
// quarantined then, except after a failed probe.
constexpr double kSystemicFailureRate = 0.5;
constexpr int kMaxFailuresFactor = 2;
constexpr int kMaxQuarantineFactor = 64;

} // namespace

void job_core::state::HandleEvent(const lease_report& aEvent)
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
      ApplyLeaseStatus(*who.mJob, who.mMember, status);
      CompleteAttemptIfOver(*who.mJob);
    }
  }
}

void job_core::state::ApplyLeaseStatus(job_entry& aJob, int aMember, const lease_status& aStatus)
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
        MarkMemberRunning(aJob, aMember);
      } else if (member.mPhase == member_phase::kLapsing) {
        // The stop was not answered, and the worker reports the task as still running.
        member.mPhase = member_phase::kRunning;
        StopMember(aJob, aMember, milliseconds(0));
      }
      if (member.mProgress >= mOptions.mProbeTime) {
        CountTaskSuccess(member.mWorker);
      }
      break;
    case lease_state::kFinished:
      if (active || member.mPhase == member_phase::kStopping ||
          member.mPhase == member_phase::kLapsing) {
        MarkMemberRunning(aJob, aMember);
        member.mFinished = true;
        CountTaskSuccess(member.mWorker);
        ReleaseMember(aJob, aMember);
      }
      break;
    case lease_state::kFailed:
      if (active) {
        HandleMemberFailure(aJob, aMember);
      } else if (member.mPhase == member_phase::kLapsing) {
        ReleaseMember(aJob, aMember);
      }
      break;
    case lease_state::kStopped:
    case lease_state::kLapsed:
    case lease_state::kUnknown:
      if (active) {
        aJob.mAllSaved = false;
        ReleaseMember(aJob, aMember);
        StopAttempt(aJob, after_stop::kRequeue, "a lease ended on its worker", milliseconds(0));
      } else if (member.mPhase == member_phase::kLapsing) {
        ReleaseMember(aJob, aMember);
      }
      break;
  }
}

void job_core::state::HandleMemberFailure(job_entry& aJob, int aMember)
{
  const worker_index worker = aJob.mMembers[aMember].mWorker;
  CountTaskFailure(worker, aJob.Spec().mId);
  aJob.mAllSaved = false;
  ReleaseMember(aJob, aMember);
  if (std::ranges::find(aJob.mFailedOn, worker) == aJob.mFailedOn.end()) {
    aJob.mFailedOn.push_back(worker);
    aJob.mAvoid.push_back(worker);
  }
  ++aJob.mRecord.mFailures;
  aJob.mConsecutiveAborts = std::max(aJob.mConsecutiveAborts, aJob.mRecord.mFailures);
  const auto healthy = std::ranges::count_if(aJob.mFailedOn, [&](worker_index aWorker) {
    return !mCluster.At(aWorker).mHealth.mQuarantined;
  });
  // A small or tightly adjacent group may have too few different workers, so the total number of
  // failures counts as well.
  const bool atFault = healthy >= mOptions.mMaxJobFailures ||
                       aJob.mRecord.mFailures >= kMaxFailuresFactor * mOptions.mMaxJobFailures;
  if (atFault && aJob.Spec().mRepeatable) {
    EmitDecision(decision_kind::kJobAtFault, aJob.Spec().mId);
    for (const worker_index each : aJob.mFailedOn) {
      int& failures = mCluster.At(each).mHealth.mFailuresInRow;
      failures = std::max(0, failures - 1);
    }
  }
  const bool requeue = aJob.Spec().mRepeatable && !atFault;
  StopAttempt(aJob, requeue ? after_stop::kRequeue : after_stop::kFailed,
              "it failed on worker " + NameOf(worker), milliseconds(0));
}

/// Renews the leases of the workers that are due, so that each worker is renewed once in a renewal
/// period.
void job_core::state::RenewDueLeases()
{
  const std::size_t count = mCluster.Workers().size();
  if (!mActing || count == 0) {
    mRenewedUpTo = mNow;
    return;
  }
  const duration period = mOptions.mRenewInterval;
  const duration each = period / count;
  const auto due = each.count() == 0 ? std::int64_t(count) : (mNow - mRenewedUpTo) / each;
  const auto turns = std::min<std::int64_t>(due, static_cast<std::int64_t>(count));
  for (std::int64_t i = 0; i < turns; ++i) {
    mNextRenewal = static_cast<worker_index>((mNextRenewal + 1) % count);
    RenewWorkerLeases(mNextRenewal);
  }
  mRenewedUpTo = due > turns ? mNow : mRenewedUpTo + each * due;
}

void job_core::state::RenewWorkerLeases(worker_index aWorker)
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
    Emit(std::move(renewal));
  }
}

void job_core::state::CountTaskFailure(worker_index aWorker, const std::string& aJob)
{
  mFleetFailureRate += (1 - mFleetFailureRate) * kFleetRateGain;
  worker_health& health = mCluster.At(aWorker).mHealth;
  if (health.mProbing) {
    QuarantineWorker(aWorker);
    return;
  }
  // Repeated failures of the same job say little about the worker and count once.
  if (health.mLastFailed != aJob) {
    ++health.mFailuresInRow;
    health.mLastFailed = aJob;
  }
  const bool workerAtFault = mFleetFailureRate < kSystemicFailureRate;
  if (health.mFailuresInRow >= mOptions.mQuarantineAfterFailures && workerAtFault &&
      !health.mQuarantined) {
    QuarantineWorker(aWorker);
  }
}

void job_core::state::CountTaskSuccess(worker_index aWorker)
{
  mFleetFailureRate -= mFleetFailureRate * kFleetRateGain;
  worker_health& health = mCluster.At(aWorker).mHealth;
  health.mFailuresInRow = 0;
  health.mLastFailed.clear();
  if (health.mProbing) {
    health.mProbing = false;
    health.mQuarantinePeriod = seconds(0);
    EmitDecision(decision_kind::kWorkerCleared, {}, NameOf(aWorker));
    RebindCells();
    mRoomChanged = true;
  }
}

void job_core::state::QuarantineWorker(worker_index aWorker)
{
  worker_health& health = mCluster.At(aWorker).mHealth;
  const int most = std::max(1, mCluster.ListedWorkers() * mOptions.mMaxQuarantinePercent / 100);
  if (mCluster.QuarantinedWorkers() >= most) {
    EmitDecision(decision_kind::kQuarantineCapped, {}, NameOf(aWorker));
    return;
  }
  const seconds longest = mOptions.mInitialQuarantine * kMaxQuarantineFactor;
  health.mProbing = false;
  health.mQuarantinePeriod = health.mQuarantinePeriod == seconds(0)
                               ? mOptions.mInitialQuarantine
                               : std::min(health.mQuarantinePeriod * 2, longest);
  health.mProbeAfter = mNow + health.mQuarantinePeriod;
  mCluster.SetQuarantined(aWorker, true);
  ScheduleTimer(health.mProbeAfter, { timer_kind::kProbe, NameOf(aWorker), 0, 0 });
  EmitDecision(decision_kind::kWorkerQuarantined, {}, NameOf(aWorker));
  RebindCells();
}

void job_core::state::ProbeWorker(worker_index aWorker)
{
  if (aWorker == kNoWorker) {
    return;
  }
  worker_health& health = mCluster.At(aWorker).mHealth;
  if (health.mProbing && mCluster.At(aWorker).mOccupants.empty()) {
    // No suitable job arrived as a probe, and gangs may need the worker. It is cleared, but a
    // single further failure quarantines it again.
    health.mProbing = false;
    health.mFailuresInRow = mOptions.mQuarantineAfterFailures - 1;
    EmitDecision(decision_kind::kWorkerCleared, {}, NameOf(aWorker), {},
                 "no job was available as a probe");
    RebindCells();
    mRoomChanged = true;
    return;
  }
  if (health.mQuarantined) {
    health.mProbing = true;
    mCluster.SetQuarantined(aWorker, false);
    EmitDecision(decision_kind::kWorkerProbed, {}, NameOf(aWorker));
    mRoomChanged = true;
  }
  if (health.mProbing) {
    ScheduleTimer(mNow + mOptions.mProbeTime, { timer_kind::kProbe, NameOf(aWorker), 0, 0 });
  }
}

} // namespace briarwind
