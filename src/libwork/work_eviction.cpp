#include "work_placement.h"

#include <algorithm>
#include <limits>
#include <ranges>

namespace briarwind {

namespace {

// An accelerator is worth as much as this many cores when lost work is weighed.
constexpr double kCoresPerAccelerator = 8;
constexpr double kMilli = 1000;

// A run that may be stopped, and the work that would be lost with it.
struct victim
{
  run_id mRun;
  const run_entry* mEntry = nullptr;
  double mLoss = 0; ///< core-seconds; 0 when it is being stopped already
};

struct host_plan
{
  worker_entry* mWorker = nullptr;
  task_demand mRoom;            ///< free now, or freed by the victims chosen
  std::vector<victim> mVictims; ///< not chosen yet, cheapest for its accelerators first
  int mLimit = 0;
};

struct eviction_plan
{
  std::vector<task_place> mPlaces;
  std::vector<std::pair<worker_entry*, run_id>> mStops;
  double mLoss = 0;
};

double CoresOf(const task_demand& aDemand)
{
  return static_cast<double>(aDemand.mMilliCores) / kMilli +
         kCoresPerAccelerator * static_cast<double>(aDemand.mAccelerators);
}

// Stops the cheapest victims until one more task fits; the loss, or nothing when it never does.
std::optional<double> MakeRoom(host_plan& aHost, const task_demand& aDemand,
                               std::vector<std::pair<worker_entry*, run_id>>& aStops)
{
  double loss = 0;
  while (FitCount(aHost.mRoom, aDemand) < 1) {
    if (aHost.mVictims.empty()) {
      return std::nullopt;
    }
    const victim next = aHost.mVictims.front();
    aHost.mVictims.erase(aHost.mVictims.begin());
    aHost.mRoom += next.mEntry->mDemand;
    if (next.mEntry->mPhase != run_phase::kStopping) {
      aStops.emplace_back(aHost.mWorker, next.mRun);
      loss += next.mLoss;
    }
  }
  return loss;
}

eviction_plan PlanOn(std::vector<host_plan> aHosts, const ready_unit& aUnit,
                     const std::vector<int>& aTasks)
{
  eviction_plan plan;
  const task_demand demand = RoomOf(aUnit.Spec());
  for (const int index : aTasks) {
    host_plan* best = nullptr;
    double bestLoss = std::numeric_limits<double>::infinity();
    for (host_plan& host : aHosts) {
      host_plan trial = host;
      std::vector<std::pair<worker_entry*, run_id>> stops;
      const auto loss = host.mLimit > 0 ? MakeRoom(trial, demand, stops) : std::nullopt;
      if (loss && *loss < bestLoss) {
        best = &host;
        bestLoss = *loss;
      }
    }
    if (best == nullptr) {
      break;
    }
    MakeRoom(*best, demand, plan.mStops);
    best->mRoom -= demand;
    --best->mLimit;
    plan.mPlaces.emplace_back(index, best->mWorker);
    plan.mLoss += bestLoss;
  }
  return plan;
}

// The best plan over the places that the step prefers, or over all workers when none of these does.
class eviction_search
{
public:
  eviction_search(const std::vector<host_plan>& aHosts, const ready_unit& aUnit,
                  const std::vector<int>& aTasks)
    : mHosts(aHosts)
    , mUnit(aUnit)
    , mTasks(aTasks)
  {
  }

  eviction_plan Run()
  {
    const work_step& spec = mUnit.Spec();
    if (!spec.mDataRack.empty()) {
      Consider(spec.mDataRack);
    } else if (spec.mGang && spec.mRackLocal) {
      std::set<std::string> racks;
      for (const host_plan& host : mHosts) {
        racks.insert(host.mWorker->mInfo.mRack);
      }
      std::ranges::for_each(racks, [this](const std::string& aRack) { Consider(aRack); });
    }
    if (mBest.mPlaces.empty()) {
      Consider({});
    }
    return std::move(mBest);
  }

private:
  void Consider(const std::string& aRack)
  {
    std::vector<host_plan> there;
    std::ranges::copy_if(mHosts, std::back_inserter(there), [&](const host_plan& aHost) {
      return aRack.empty() || aHost.mWorker->mInfo.mRack == aRack;
    });
    eviction_plan plan = PlanOn(std::move(there), mUnit, mTasks);
    const bool useful = !mUnit.Spec().mGang || plan.mPlaces.size() == mTasks.size();
    const bool more = plan.mPlaces.size() > mBest.mPlaces.size();
    const bool cheaper = plan.mPlaces.size() == mBest.mPlaces.size() && plan.mLoss < mBest.mLoss;
    if (useful && (more || cheaper)) {
      mBest = std::move(plan);
    }
  }

  const std::vector<host_plan>& mHosts;
  const ready_unit& mUnit;
  const std::vector<int>& mTasks;
  eviction_plan mBest;
};

} // namespace

bool work_core::state::MayStop(const ready_unit& aUnit, const run_id& aRun, const run_entry& aEntry)
{
  const job_entry* job = FindJob(aRun.mTask.mJob);
  if (aEntry.mPhase == run_phase::kStopping || job == nullptr || job->IsOver()) {
    return true;
  }
  const auto queue = mSettings.mQueues.find(job->mSpec.mQueue);
  const int priority =
    queue == mSettings.mQueues.end() ? job->mSpec.mPolicy.mPriority : queue->second.mPriority;
  const bool lasts = job->mSpec.mSteps[static_cast<std::size_t>(aRun.mTask.mStep)].mLasting;
  // What lasts is never stopped for others, and has to be back at work however full the pool is.
  const bool lower = priority > aUnit.mQueue->mPriority || (aUnit.Spec().mLasting && priority > 0);
  return aEntry.mPhase == run_phase::kRunning && !lasts && lower;
}

// Core-seconds that are lost when the run is stopped. A stop saves what a step with checkpoints has
// done, so that only its restart is lost; a gang loses the work of all its members.
double work_core::state::LossOf(const run_id& aRun, const run_entry& aEntry, instant aNow)
{
  const job_entry* job = FindJob(aRun.mTask.mJob);
  const step_entry* step = FindStep(aRun.mTask);
  if (job == nullptr || step == nullptr) {
    return 0;
  }
  const work_step& spec = job->mSpec.mSteps[static_cast<std::size_t>(aRun.mTask.mStep)];
  const std::chrono::duration<double> ran = aNow - aEntry.mStartedAt;
  const std::chrono::duration<double> restart = mOptions.mRestoreTime;
  const double members = spec.mGang ? static_cast<double>(spec.mCount) : 1;
  return members * CoresOf(aEntry.mDemand) * (spec.mCheckpoints ? restart.count() : ran.count());
}

// Most core-seconds that may be lost for the unit. What is guaranteed is owed at any price.
double work_core::state::MostLoss(const ready_unit& aUnit) const
{
  if (aUnit.mGuaranteed || aUnit.Spec().mLasting) {
    return std::numeric_limits<double>::infinity();
  }
  const work_step& spec = aUnit.Spec();
  const std::chrono::duration<double> estimate = spec.mEstimate;
  return mOptions.mMostLossFactor * static_cast<double>(spec.mCount) * CoresOf(spec.mDemand) *
         estimate.count();
}

// Takes the room of work that may be stopped, and keeps it until the stopped runs are gone.
bool work_core::state::PlaceByEviction(ready_unit& aUnit, instant aNow)
{
  const std::vector<int> waiting = WaitingTasks(aUnit);
  const work_step& spec = aUnit.Spec();
  if (waiting.empty() || (spec.mGang && waiting.size() != aUnit.Entry().mTasks.size())) {
    return false;
  }
  std::vector<host_plan> hosts;
  for (auto& [id, worker] : mWorkers) {
    if (!IsUsable(worker, aUnit, aNow)) {
      continue;
    }
    host_plan host{ &worker, worker.Free(), {}, StepLimit(worker, aUnit) };
    for (const auto& [run, entry] : worker.mRuns) {
      if (!MayStop(aUnit, run, entry)) {
        continue;
      }
      const bool stopping = entry.mPhase == run_phase::kStopping;
      host.mVictims.push_back({ run, &entry, stopping ? 0 : LossOf(run, entry, aNow) });
    }
    std::ranges::sort(host.mVictims, {}, [](const victim& aVictim) {
      return aVictim.mLoss / std::max(1, aVictim.mEntry->mDemand.mAccelerators);
    });
    hosts.push_back(std::move(host));
  }

  const eviction_plan best = eviction_search(hosts, aUnit, waiting).Run();
  if (best.mLoss > MostLoss(aUnit)) {
    return false;
  }
  for (const auto& [index, worker] : best.mPlaces) {
    task_entry& task = aUnit.Entry().mTasks[static_cast<std::size_t>(index)];
    task.mPhase = task_phase::kClaimed;
    task.mWorker = worker->mInfo.mId;
    worker->mClaimed += RoomOf(spec);
    mReplan = true;
  }
  for (const auto& [worker, run] : best.mStops) {
    Note(work_note_kind::kEvicted, run.mTask.mJob, ToString(run.mTask), worker->mInfo.mId,
         fmt::format("for job {}", aUnit.mJob->mSpec.mId));
    StopOthersOfGang(run, aNow);
    StopRun(*worker, run, "room is needed", aNow);
  }
  return !best.mPlaces.empty();
}

} // namespace briarwind
