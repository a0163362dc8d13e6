#include "libjobs/core_state.h"

#include "libjobs/resources.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace briarwind {

bool job_core::state::MayEvict(const job_entry& aVictim, const job_entry& aFor) const
{
  if (&aVictim == &aFor || aVictim.mPhase == job_phase::kStopping) {
    return false;
  }
  return aVictim.mTenure == tenure::kBorrowed ||
         (aVictim.mTenure == tenure::kUrgent && aFor.mTenure == tenure::kClaim);
}

/// What a stop costs, in accelerator-milliseconds or, without accelerators, core-milliseconds.
std::int64_t job_core::state::LossOf(const job_entry& aJob) const
{
  if (aJob.mPhase != job_phase::kRunning) {
    return 0;
  }
  const std::int64_t size =
    std::max(aJob.Accelerators(), aJob.Spec().mMembers * aJob.Spec().mShape.mCores / 16);
  const auto ran = std::chrono::duration_cast<milliseconds>(mNow - aJob.mRunningSince);
  // With a checkpoint only the time to save and load it is lost.
  const milliseconds lost =
    aJob.Spec().mCheckpoints ? std::min(ran, mOptions.mCheckpointBound) : ran;
  return std::max<std::int64_t>(size, 1) * lost.count();
}

/// Evicts what stands in the way on the job's workers, then reserves as soon as there is room.
void job_core::state::MakeRoom(job_entry& aJob, milliseconds aCheckpointBound)
{
  std::set<worker_index> workers;
  for (const member_state& each : aJob.mMembers) {
    workers.insert(each.mWorker);
  }
  for (const worker_index each : workers) {
    EvictOn(each, aJob, aCheckpointBound);
  }
  if (aJob.mPhase != job_phase::kEvicting) {
    return;
  }
  if (HasRoom(aJob)) {
    ReserveAll(aJob);
  } else {
    Wait(aJob, wait_reason::kEvictionPending);
  }
}

void job_core::state::EvictOn(worker_index aWorker, job_entry& aFor, milliseconds aCheckpointBound)
{
  const worker_slot& worker = mCluster.At(aWorker);
  resource_shape used = worker.mUsed;
  std::set<job_entry*> victims;
  for (const occupant& each : worker.mOccupants) {
    if (each.mJob->mPhase == job_phase::kStopping) {
      used = used - each.mJob->Spec().mShape;
    } else if (MayEvict(*each.mJob, aFor)) {
      victims.insert(each.mJob);
    }
  }
  std::vector<job_entry*> ranked(victims.begin(), victims.end());
  std::ranges::sort(ranked, {}, [&](const job_entry* aJob) {
    return std::tuple(aJob->mTenure, LossOf(*aJob), aJob->mSequence);
  });
  std::vector<job_entry*> evicted;
  for (job_entry* victim : ranked) {
    const resource_shape over = used - worker.mInfo.mCapacity;
    const resource_shape& shape = victim->Spec().mShape;
    const bool helps = (over.mAccelerators > 0 && shape.mAccelerators > 0) ||
                       (over.mCores > 0 && shape.mCores > 0) ||
                       (over.mMemoryMb > 0 && shape.mMemoryMb > 0);
    if (!helps) {
      continue;
    }
    const auto here = std::ranges::count(worker.mOccupants, victim, &occupant::mJob);
    used = used - shape * static_cast<int>(here);
    evicted.push_back(victim);
  }
  for (job_entry* victim : evicted) {
    aFor.mEvicted.push_back(victim->Spec().mId);
    Note(decision_kind::kEvicted, victim->Spec().mId, NameOf(aWorker), aFor.Spec().mId);
    StopAttempt(*victim, after_stop::kQueueAgain, "evicted for job " + aFor.Spec().mId,
                aCheckpointBound);
    FinishIfOver(*victim);
  }
}

/// Moves the work off workers that went out. What would lose most is saved first.
void job_core::state::StopOut(const std::vector<worker_index>& aWorkers, const std::string& aReason)
{
  std::set<job_entry*> affected;
  for (const worker_index each : aWorkers) {
    for (const occupant& who : mCluster.At(each).mOccupants) {
      affected.insert(who.mJob);
    }
  }
  std::vector<job_entry*> ranked(affected.begin(), affected.end());
  const auto unsaved = [&](const job_entry* aJob) {
    const auto ran = aJob->mPhase == job_phase::kRunning ? mNow - aJob->mRunningSince : duration(0);
    return std::tuple(-ran.count() * std::max(1, aJob->Accelerators()), aJob->mSequence);
  };
  std::ranges::sort(ranked, {}, unsaved);
  for (job_entry* job : ranked) {
    if (job->mAnyStarted && !job->Spec().mRepeatable) {
      continue; // stopped, it would be lost for certain
    }
    const bool soonOver = job->mPhase == job_phase::kRunning && !job->Spec().mCheckpoints &&
                          RemainingOf(*job) <= mOptions.mWithdrawalGrace;
    if (soonOver) {
      At(mNow + mOptions.mWithdrawalGrace,
         { timer_kind::kGrace, job->Spec().mId, job->mRecord.mAttempt, 0 });
      continue;
    }
    Note(decision_kind::kWithdrawn, job->Spec().mId, {}, {}, aReason);
    StopAttempt(*job, after_stop::kQueueAgain, aReason, mOptions.mCheckpointBound);
    FinishIfOver(*job);
  }
}

} // namespace briarwind
