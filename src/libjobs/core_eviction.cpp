#include "libjobs/core_state.h"

#include "libjobs/resources.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <tuple>

namespace briarwind {

namespace {

// A large gang evicts only jobs that are smaller than itself by at least this factor.
constexpr int kGangSizeFactor = 2;

} // namespace

bool job_core::state::MayEvict(const job_entry& aVictim, const job_entry& aFor) const
{
  if (&aVictim == &aFor || aVictim.mPhase == job_phase::kStopping) {
    return false;
  }
  if (aFor.mEvictionClass == eviction_class::kBorrowed) {
    return IsEvictableByGang(aVictim, aFor);
  }
  return aVictim.mEvictionClass == eviction_class::kBorrowed ||
         (aVictim.mEvictionClass == eviction_class::kUrgent &&
          aFor.mEvictionClass == eviction_class::kClaim);
}

/// Whether a job may be evicted for a gang that has waited long enough. The job must be much
/// smaller, save checkpoints and have run for job_options::mMinRunBeforeEviction, so that two jobs
/// do not evict each other in turn.
bool job_core::state::IsEvictableByGang(const job_entry& aVictim, const job_entry& aGang) const
{
  const auto sizeOf = [](const job_entry& aJob) {
    return std::max(aJob.Accelerators(), aJob.Spec().mMembers * aJob.Spec().mShape.mCores / 16);
  };
  return aVictim.mEvictionClass == eviction_class::kBorrowed &&
         aVictim.mPhase == job_phase::kRunning && aVictim.Spec().mCheckpoints &&
         sizeOf(aVictim) * kGangSizeFactor <= sizeOf(aGang) &&
         mNow - aVictim.mRunningSince >= mOptions.mMinRunBeforeEviction;
}

/// Workers for a gang when evictable jobs on them are stopped. Of the groups of workers that can
/// hold the gang, picks the one with the most free slots.
placement job_core::state::PlanEviction(const job_entry& aGang) const
{
  struct group
  {
    int mFree = 0;
    int mAll = 0;
    std::vector<std::tuple<int, int, worker_index>> mWorkers; // free slots, all slots, worker
  };
  const resource_shape& shape = aGang.Spec().mShape;
  std::map<std::uint32_t, group> groups;
  for (worker_index i = 0; i < mCluster.Workers().size(); ++i) {
    const worker_slot& worker = mCluster.At(i);
    const bool avoided = std::ranges::find(aGang.mAvoid, i) != aGang.mAvoid.end();
    if (!mCluster.AcceptsCells(worker) || worker.mOrphans > 0 || avoided ||
        !FitsInto(shape, worker.mInfo.mCapacity)) {
      continue;
    }
    resource_shape room = mCluster.Room(worker, room_kind::kFree);
    const int free = SlotsIn(room, shape);
    for (const occupant& each : worker.mOccupants) {
      room = IsEvictableByGang(*each.mJob, aGang) ? room + each.mJob->Spec().mShape : room;
    }
    const int all = SlotsIn(room, shape);
    if (all > 0) {
      group& mine = groups[GroupOf(aGang.Spec().mAdjacency, i)];
      mine.mFree += free;
      mine.mAll += all;
      mine.mWorkers.emplace_back(free, all, i);
    }
  }
  group* best = nullptr;
  for (auto& [name, each] : groups) {
    const bool holds = each.mAll >= aGang.Spec().mMembers;
    best = holds && (best == nullptr || each.mFree > best->mFree) ? &each : best;
  }
  if (best == nullptr) {
    return {};
  }
  std::ranges::sort(best->mWorkers, std::greater());
  placement parts;
  int missing = aGang.Spec().mMembers;
  for (const auto& [free, all, worker] : best->mWorkers) {
    const int taken = std::min(missing, all);
    if (taken > 0) {
      parts.push_back({ worker, taken });
      missing -= taken;
    }
  }
  return parts;
}

bool job_core::state::TryGangEviction(job_entry& aGang)
{
  if (IsOverQuota(aGang)) {
    return false;
  }
  const placement parts = PlanEviction(aGang);
  if (parts.empty()) {
    return false;
  }
  BeginAttempt(aGang, parts, eviction_class::kBorrowed, -1);
  MakeRoom(aGang, mOptions.mCheckpointBound);
  return true;
}

/// Work lost by a stop, in accelerator-milliseconds, where 16 cores count as one accelerator if
/// that is more.
std::int64_t job_core::state::EvictionCostOf(const job_entry& aJob) const
{
  if (aJob.mPhase != job_phase::kRunning) {
    return 0;
  }
  const std::int64_t size =
    std::max(aJob.Accelerators(), aJob.Spec().mMembers * aJob.Spec().mShape.mCores / 16);
  const auto ran = std::chrono::duration_cast<milliseconds>(mNow - aJob.mRunningSince);
  // With a checkpoint, at most the time to save and load it is lost.
  const milliseconds lost =
    aJob.Spec().mCheckpoints ? std::min(ran, mOptions.mCheckpointBound) : ran;
  return std::max<std::int64_t>(size, 1) * lost.count();
}

/// Evicts jobs from the workers of the attempt and reserves the members, at once or as soon as
/// there is room.
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
    ReserveMembers(aJob);
  } else {
    SetWait(aJob, wait_reason::kEvictionPending);
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
    return std::tuple(aJob->mEvictionClass, EvictionCostOf(*aJob), aJob->mSequence);
  });
  std::vector<job_entry*> evicted;
  for (job_entry* victim : ranked) {
    const resource_shape excess = used - worker.mInfo.mCapacity;
    const resource_shape& shape = victim->Spec().mShape;
    const bool helps = (excess.mAccelerators > 0 && shape.mAccelerators > 0) ||
                       (excess.mCores > 0 && shape.mCores > 0) ||
                       (excess.mMemoryMb > 0 && shape.mMemoryMb > 0);
    if (!helps) {
      continue;
    }
    const auto here = std::ranges::count(worker.mOccupants, victim, &occupant::mJob);
    used = used - shape * static_cast<int>(here);
    evicted.push_back(victim);
  }
  for (job_entry* victim : evicted) {
    aFor.mEvicted.push_back(victim->Spec().mId);
    EmitDecision(decision_kind::kEvicted, victim->Spec().mId, NameOf(aWorker), aFor.Spec().mId);
    StopAttempt(*victim, after_stop::kRequeue, "evicted for job " + aFor.Spec().mId,
                aCheckpointBound);
    CompleteAttemptIfOver(*victim);
  }
}

/// Stops the jobs on workers that went out of service, those with the most unsaved work first.
void job_core::state::StopJobsOn(const std::vector<worker_index>& aWorkers,
                                 const std::string& aReason)
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
      continue; // the job must not be repeated, so a stop would lose it for certain
    }
    const bool soonOver = job->mPhase == job_phase::kRunning && !job->Spec().mCheckpoints &&
                          RemainingOf(*job) <= mOptions.mWithdrawalGrace;
    if (soonOver) {
      ScheduleTimer(mNow + mOptions.mWithdrawalGrace,
                    { timer_kind::kGrace, job->Spec().mId, job->mRecord.mAttempt, 0 });
      continue;
    }
    EmitDecision(decision_kind::kWithdrawn, job->Spec().mId, {}, {}, aReason);
    StopAttempt(*job, after_stop::kRequeue, aReason, mOptions.mCheckpointBound);
    CompleteAttemptIfOver(*job);
  }
}

} // namespace briarwind
