#include "work_placement.h"
#include "work_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <ranges>

namespace briarwind {

namespace {

// A gang that has waited this long for its organisation's limit holds back the organisation's other
// units of its rank and below. Shorter waits are common while runs end one after the other.
constexpr milliseconds kGangLimitWait{ 2'000 };
// How long an estimate of when the limit has room for a gang is used: it goes through all runs.
constexpr milliseconds kLimitEstimateAge{ 250 };

// What a task takes of its organisation's limit. The cores of best-effort tasks count, although
// they take none of the worker's capacity.
const task_demand& LimitedDemand(const work_step& aStep)
{
  return aStep.mDemand;
}

// Work that is stopped together: a gang, or a single run.
struct stoppable_work
{
  std::vector<std::pair<worker_entry*, run_id>> mRuns;
  task_demand mDemand;
  double mLostWork = 0;
};

} // namespace

void work_core::state::AddRun(worker_entry& aWorker, const run_id& aId, run_entry aRun,
                              const job_entry& aJob)
{
  const work_step& step = aJob.mSpec.mSteps[static_cast<std::size_t>(aId.mTask.mStep)];
  aRun.mOrganisation = aJob.mSpec.mOrganisation;
  aRun.mLimitedDemand = LimitedDemand(step);
  aRun.mShowsRate = ShowsRate(aWorker, step);
  const task_demand demand = aRun.mDemand;
  const auto [place, isNew] = aWorker.mRuns.emplace(aId, std::move(aRun));
  if (isNew) {
    aWorker.mUsed += demand;
    aWorker.mUsedByLongRunning += place->second.mLongRunning ? demand : task_demand{};
    SetKind(aWorker, place->second, aJob, aId.mTask.mStep);
    mLedger.AddRun(place->second.mOrganisation, place->second.mLimitedDemand);
  }
}

void work_core::state::AddClaim(worker_entry& aWorker, const job_entry& aJob,
                                const work_step& aStep)
{
  aWorker.mClaimed += CapacityDemand(aStep);
  mLedger.AddClaim(aJob.mSpec.mOrganisation, LimitedDemand(aStep));
}

void work_core::state::RemoveClaim(worker_entry& aWorker, const job_entry& aJob,
                                   const work_step& aStep)
{
  aWorker.mClaimed -= CapacityDemand(aStep);
  mWithoutRoom.clear();
  mLedger.RemoveClaim(aJob.mSpec.mOrganisation, LimitedDemand(aStep));
}

void work_core::state::ReleaseOrphanUse(worker_entry& aWorker)
{
  for (const auto& [organisation, demand] : aWorker.mOrphanUse) {
    mLedger.RemoveRun(organisation, demand);
  }
  aWorker.mOrphanUse.clear();
}

void work_core::state::SetOrphanUse(worker_entry& aWorker)
{
  ReleaseOrphanUse(aWorker);
  for (const run_id& each : aWorker.mOrphans) {
    const job_entry* job = FindJob(each.mTask.mJob);
    const work_step* step = FindSpec(each.mTask);
    if (job != nullptr && step != nullptr) {
      aWorker.mOrphanUse.emplace_back(job->mSpec.mOrganisation, LimitedDemand(*step));
      mLedger.AddRun(job->mSpec.mOrganisation, LimitedDemand(*step));
    }
  }
}

// Orphans were started by an earlier leader. Its leases ended with the drift of the worker's clock
// after this term began, unless this leader has extended the worker's lease for other runs.
void work_core::state::DropExpiredOrphans(worker_entry& aWorker, instant aNow)
{
  const auto lease =
    std::chrono::duration_cast<milliseconds>(mOptions.mMaxLease * mOptions.mClockDriftFactor);
  if (!aWorker.mReachable && aNow >= std::max(aWorker.mLeasesExpireAt, mTermSince + lease)) {
    aWorker.mOrphans.clear();
    ReleaseOrphanUse(aWorker);
  }
}

std::vector<int> work_core::state::TasksWithinLimit(const ready_unit& aUnit) const
{
  std::vector<int> tasks = WaitingTasks(aUnit);
  const auto allowed = static_cast<std::size_t>(
    mLedger.Headroom(aUnit.mJob->mSpec.mOrganisation, LimitedDemand(aUnit.Spec())));
  if (allowed < tasks.size()) {
    tasks.resize(aUnit.Spec().mGang ? 0 : allowed);
  }
  return tasks;
}

// Claims and orphans become runs, or end, within seconds, and are left out.
std::optional<instant> work_core::state::ExpectedLimitRoomAt(const ready_unit& aUnit, instant aBy,
                                                             instant aNow)
{
  const std::string& organisation = aUnit.mJob->mSpec.mOrganisation;
  std::vector<std::pair<instant, task_demand>> ends;
  for (const auto& [id, worker] : mWorkers) {
    for (const auto& [run, entry] : worker.mRuns) {
      if (entry.mOrganisation == organisation) {
        if (const auto end = ExpectedRelease(run, entry, aNow); end && *end <= aBy) {
          ends.emplace_back(*end, entry.mLimitedDemand);
        }
      }
    }
  }
  std::ranges::sort(ends, {}, &std::pair<instant, task_demand>::first);
  const int needed = static_cast<int>(aUnit.Entry().mTasks.size());
  const task_demand& demand = LimitedDemand(aUnit.Spec());
  task_demand left = mLedger.Left(organisation);
  instant at = aNow;
  for (const auto& [end, released] : ends) {
    if (CountWithin(left, demand) >= needed) {
      break;
    }
    left += released;
    at = end;
  }
  return CountWithin(left, demand) >= needed ? std::optional(at) : std::nullopt;
}

// Nothing is held back for a gang that the limit or the workers can never hold, or that can only
// start too late.
std::optional<instant> work_core::state::LimitRoomForGang(const ready_unit& aUnit, instant aNow)
{
  step_entry& step = aUnit.Entry();
  if (!aUnit.mJob->mWaitsForLimit || !aUnit.Spec().mGang ||
      aNow - step.mReadySince <= kGangLimitWait) {
    return std::nullopt;
  }
  if (aNow - step.mLimitEstimatedAt >= kLimitEstimateAge) {
    step.mLimitEstimatedAt = aNow;
    step.mLimitRoomAt =
      CanEverFit(aUnit, UsableWorkers(aUnit, aNow), static_cast<int>(step.mTasks.size()))
        ? ExpectedLimitRoomAt(aUnit, LatestUsefulStart(aUnit, aNow), aNow)
        : std::nullopt;
  }
  return step.mLimitRoomAt;
}

void work_core::state::RecordLimitWait(ready_unit& aUnit, bool aWaits)
{
  job_entry& job = *aUnit.mJob;
  if (std::exchange(job.mWaitsForLimit, aWaits) || !aWaits) {
    return;
  }
  EmitEvent(work_event_kind::kWaitsForLimit, job.mSpec.mId, ToString(aUnit.Task(0)), {},
            mLedger.ScarcestResource(job.mSpec.mOrganisation, LimitedDemand(aUnit.Spec())));
}

// Urgent work must not wait for other work of its own organisation to end. The limit does not bind
// it to particular workers, so any run of the organisation may be stopped for it, the one with the
// least lost work first.
void work_core::state::StopOwnWorkForLimit(const ready_unit& aUnit, instant aNow)
{
  const std::string& organisation = aUnit.mJob->mSpec.mOrganisation;
  const work_step& spec = aUnit.Spec();
  const int waiting = static_cast<int>(WaitingTasks(aUnit).size());
  task_demand left = mLedger.Left(organisation);
  std::map<std::pair<const step_entry*, run_id>, stoppable_work> stoppable;
  for (auto& [id, worker] : mWorkers) {
    for (const auto& [run, entry] : worker.mRuns) {
      if (entry.mOrganisation != organisation) {
        continue;
      }
      if (entry.mPhase == run_phase::kStopping) {
        left += entry.mLimitedDemand;
      } else if (MayEvict(aUnit, run, entry)) {
        const step_entry* gang = entry.mGang ? FindStep(run.mTask) : nullptr;
        stoppable_work& work = stoppable[{ gang, gang == nullptr ? run : run_id{} }];
        work.mRuns.emplace_back(&worker, run);
        work.mDemand += entry.mLimitedDemand;
        work.mLostWork = std::max(work.mLostWork, LostWork(run, entry, aNow));
      }
    }
  }
  std::vector<stoppable_work*> cheapest;
  std::ranges::transform(stoppable | std::views::values, std::back_inserter(cheapest),
                         [](stoppable_work& aWork) { return &aWork; });
  std::ranges::sort(cheapest, {}, &stoppable_work::mLostWork);
  double lost = 0;
  std::vector<const stoppable_work*> chosen;
  for (const stoppable_work* each : cheapest) {
    if (CountWithin(left, LimitedDemand(spec)) >= waiting) {
      break;
    }
    left += each->mDemand;
    lost += each->mLostWork;
    chosen.push_back(each);
  }
  const bool gangFits = !spec.mGang || CountWithin(left, LimitedDemand(spec)) >= waiting;
  if (!gangFits || lost > MaxLostWork(aUnit)) {
    return;
  }
  for (const stoppable_work* each : chosen) {
    for (const auto& [worker, run] : each->mRuns) {
      EmitEvent(work_event_kind::kEvicted, run.mTask.mJob, ToString(run.mTask), worker->mInfo.mId,
                fmt::format("job {} needs room below the limit of its organisation",
                            aUnit.mJob->mSpec.mId));
      StopOtherGangMembers(run, aNow);
      StopRun(*worker, run, "preempted: its organisation's limit is needed by an urgent job", aNow);
    }
  }
}

// After its objective a job competes like any other of its rank, so that it is served at last.
bool work_core::state::IsBeyondRate(const job_entry& aJob, instant aObjective, instant aNow)
{
  const std::string& organisation = aJob.mSpec.mOrganisation;
  return mSettings.mOrganisations.contains(organisation) && aNow < aObjective &&
         !mAcceptances.IsWithin(organisation, aJob.mSpec.mAccepted, aJob.mSpec.mId,
                                mLedger.Weight(organisation));
}

} // namespace briarwind
