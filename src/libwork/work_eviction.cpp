#include "work_placement.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <numeric>
#include <ranges>

namespace briarwind {

namespace {

// Weight of an accelerator, in cores, when lost work is compared.
constexpr double kCoresPerAccelerator = 8;
constexpr double kMilliCoresPerCore = 1000;
// What lost work of a job that is late counts, compared with that of a job in time: late results
// are worth a tenth to a third of those in time.
constexpr double kLateWorkShare = 0.25;
// Each earlier eviction of a job makes the next one more expensive by this share.
constexpr double kRepeatedEvictionCost = 0.5;

// Number of gangs tried as a starting point of a plan, cheapest first. Each needs one more planning
// pass over all workers.
constexpr std::size_t kSeededGangs = 4;

// A guaranteed unit stops other urgent work only where no work of lower priority would do, and
// long-running work only where nothing else would do. The costs stand for a day, and for two, of
// running: ordinary runs are shorter.
constexpr std::chrono::duration<double> kUrgentCost = std::chrono::hours(24);
constexpr std::chrono::duration<double> kInterruptionCost = std::chrono::hours(48);

// A run that may be stopped, and the work that would be lost.
struct victim
{
  const run_id* mRun = nullptr;
  const run_entry* mEntry = nullptr;
  double mLostWork = 0;              ///< in core-seconds; 0 when the run is being stopped already
  const step_entry* mGang = nullptr; ///< gang that stops as a whole; nullptr for single tasks
  /// Long-running step whose limit of unavailable tasks applies; nullptr for others.
  const step_entry* mLasting = nullptr;
  int mSpare = 0;      ///< how many more tasks of that step may become unavailable
  int mTakesSpare = 0; ///< how many become so when the run is stopped
};

// By long-running step: the number of tasks that a plan makes unavailable.
using interruption_counts = std::map<const step_entry*, int>;

bool IsWithinSpare(const victim& aVictim, const interruption_counts& aInterrupted)
{
  if (aVictim.mLasting == nullptr) {
    return true;
  }
  const auto found = aInterrupted.find(aVictim.mLasting);
  const int taken = found == aInterrupted.end() ? 0 : found->second;
  return taken < aVictim.mSpare && taken + aVictim.mTakesSpare <= aVictim.mSpare;
}

// Capacity that a plan can use on one worker.
struct eviction_candidate
{
  worker_entry* mWorker = nullptr;
  task_demand mFree;            ///< free now, or freed by the chosen victims
  std::vector<victim> mVictims; ///< not chosen yet
  int mLimit = 0;               ///< how many more tasks of the step the worker may take
};

// Placements, and the runs to stop for them.
struct eviction_plan
{
  std::vector<task_place> mPlaces;
  std::vector<std::pair<worker_entry*, run_id>> mStops;
  std::set<const step_entry*> mGangs; ///< gangs that the plan stops
  interruption_counts mInterrupted;
  double mLostWork = 0;
};

// Runs to stop on one worker so that one more task fits.
struct eviction_offer
{
  std::vector<std::size_t> mChosen; ///< indices into the worker's victims
  double mLostWork = 0;
};

double CoreEquivalents(const task_demand& aDemand)
{
  return static_cast<double>(aDemand.mMilliCores) / kMilliCoresPerCore +
         kCoresPerAccelerator * static_cast<double>(aDemand.mAccelerators);
}

// Chooses the victims with the least lost work per accelerator until one more task fits; nullopt if
// it never fits. Once one member of a gang is stopped, the work of the whole gang is lost and
// stopping its other members costs nothing more. Long-running steps keep to their limit of
// unavailable tasks.
std::optional<eviction_offer> FindOffer(const eviction_candidate& aCandidate,
                                        const task_demand& aDemand,
                                        std::set<const step_entry*> aGangs,
                                        interruption_counts aInterrupted)
{
  eviction_offer offer;
  task_demand available = aCandidate.mFree;
  const auto lostWork = [&](std::size_t aIndex) {
    const victim& each = aCandidate.mVictims[aIndex];
    return aGangs.contains(each.mGang) ? 0 : each.mLostWork;
  };
  std::vector<std::size_t> remaining(aCandidate.mVictims.size());
  std::iota(remaining.begin(), remaining.end(), std::size_t{ 0 });
  while (FitCount(available, aDemand) < 1) {
    std::erase_if(remaining, [&](std::size_t aIndex) {
      const victim& each = aCandidate.mVictims[aIndex];
      return !aGangs.contains(each.mGang) && !IsWithinSpare(each, aInterrupted);
    });
    const auto next = std::ranges::min_element(remaining, {}, [&](std::size_t aIndex) {
      return lostWork(aIndex) /
             std::max(1, aCandidate.mVictims[aIndex].mEntry->mDemand.mAccelerators);
    });
    if (next == remaining.end()) {
      return std::nullopt;
    }
    const victim& chosen = aCandidate.mVictims[*next];
    offer.mLostWork += lostWork(*next);
    offer.mChosen.push_back(*next);
    available += chosen.mEntry->mDemand;
    if (chosen.mLasting != nullptr && !aGangs.contains(chosen.mGang)) {
      aInterrupted[chosen.mLasting] += chosen.mTakesSpare;
    }
    if (chosen.mGang != nullptr) {
      aGangs.insert(chosen.mGang);
    }
    remaining.erase(next);
  }
  return offer;
}

void ApplyOffer(eviction_plan& aPlan, eviction_candidate& aCandidate, eviction_offer aOffer,
                const task_demand& aDemand)
{
  for (const std::size_t index : aOffer.mChosen) {
    const victim& chosen = aCandidate.mVictims[index];
    aCandidate.mFree += chosen.mEntry->mDemand;
    if (chosen.mEntry->mPhase != run_phase::kStopping) {
      aPlan.mStops.emplace_back(aCandidate.mWorker, *chosen.mRun);
    }
    if (chosen.mLasting != nullptr && !aPlan.mGangs.contains(chosen.mGang)) {
      aPlan.mInterrupted[chosen.mLasting] += chosen.mTakesSpare;
    }
    if (chosen.mGang != nullptr) {
      aPlan.mGangs.insert(chosen.mGang);
    }
  }
  std::ranges::sort(aOffer.mChosen, std::greater());
  for (const std::size_t index : aOffer.mChosen) {
    aCandidate.mVictims.erase(aCandidate.mVictims.begin() + static_cast<std::ptrdiff_t>(index));
  }
  aCandidate.mFree -= aDemand;
  --aCandidate.mLimit;
  aPlan.mLostWork += aOffer.mLostWork;
}

// Extends the plan by one task after the other, each where the least work is lost beyond what the
// plan stops already.
eviction_plan ExtendPlan(std::vector<eviction_candidate> aCandidates, const ready_unit& aUnit,
                         const std::vector<int>& aTasks, eviction_plan aPlan)
{
  const task_demand demand = CapacityDemand(aUnit.Spec());
  for (const int index : aTasks) {
    eviction_candidate* best = nullptr;
    std::optional<eviction_offer> bestOffer;
    for (eviction_candidate& candidate : aCandidates) {
      if (candidate.mLimit <= 0) {
        continue;
      }
      auto offer = FindOffer(candidate, demand, aPlan.mGangs, aPlan.mInterrupted);
      if (offer && (!bestOffer || offer->mLostWork < bestOffer->mLostWork)) {
        best = &candidate;
        bestOffer = std::move(offer);
      }
    }
    if (best == nullptr) {
      break;
    }
    aPlan.mPlaces.emplace_back(index, best->mWorker);
    ApplyOffer(aPlan, *best, std::move(*bestOffer), demand);
  }
  return aPlan;
}

// Returns one plan per gang that stops only that gang, for the gangs with the least lost work. A
// plan that grows task by task would prefer single runs: the first member of a gang costs more than
// a single run, though all members together may cost far less than as many single runs.
std::vector<eviction_plan> GangSeeds(const std::vector<eviction_candidate>& aCandidates)
{
  std::map<const step_entry*, eviction_plan> gangs;
  for (const eviction_candidate& candidate : aCandidates) {
    for (const victim& each : candidate.mVictims) {
      if (each.mGang == nullptr || gangs.contains(each.mGang)) {
        continue;
      }
      eviction_plan& seed = gangs[each.mGang];
      seed.mStops.emplace_back(candidate.mWorker, *each.mRun);
      seed.mGangs.insert(each.mGang);
      if (each.mLasting != nullptr) {
        seed.mInterrupted[each.mLasting] = each.mTakesSpare;
      }
      seed.mLostWork = each.mLostWork;
    }
  }
  std::vector<eviction_plan> seeds;
  std::ranges::move(gangs | std::views::values, std::back_inserter(seeds));
  std::ranges::stable_sort(seeds, {}, &eviction_plan::mLostWork);
  seeds.resize(std::min(seeds.size(), kSeededGangs));
  return seeds;
}

// Finds the best plan on the racks that the step prefers, or on all workers when no such plan
// exists.
class eviction_search
{
public:
  eviction_search(const std::vector<eviction_candidate>& aCandidates, const ready_unit& aUnit,
                  const std::vector<int>& aTasks)
    : mCandidates(aCandidates)
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
      for (const eviction_candidate& candidate : mCandidates) {
        racks.insert(candidate.mWorker->mInfo.mRack);
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
    std::vector<eviction_candidate> onRack;
    std::ranges::copy_if(mCandidates, std::back_inserter(onRack),
                         [&](const eviction_candidate& aCandidate) {
                           return aRack.empty() || aCandidate.mWorker->mInfo.mRack == aRack;
                         });
    Compare(ExtendPlan(onRack, mUnit, mTasks, {}));
    for (eviction_plan& seed : GangSeeds(onRack)) {
      // Extending a plan never reduces its lost work.
      if (seed.mLostWork < mBest.mLostWork) {
        Compare(ExtendPlan(onRack, mUnit, mTasks, std::move(seed)));
      }
    }
  }

  void Compare(eviction_plan aPlan)
  {
    const bool useful = !mUnit.Spec().mGang || aPlan.mPlaces.size() == mTasks.size();
    const bool more = aPlan.mPlaces.size() > mBest.mPlaces.size();
    const bool cheaper =
      aPlan.mPlaces.size() == mBest.mPlaces.size() && aPlan.mLostWork < mBest.mLostWork;
    if (useful && (more || cheaper)) {
      mBest = std::move(aPlan);
    }
  }

  const std::vector<eviction_candidate>& mCandidates;
  const ready_unit& mUnit;
  const std::vector<int>& mTasks;
  eviction_plan mBest;
};

} // namespace

bool work_core::state::MayEvict(const ready_unit& aUnit, const run_id& aRun,
                                const run_entry& aEntry)
{
  const job_entry* job = FindJob(aRun.mTask.mJob);
  if (aEntry.mPhase == run_phase::kStopping || job == nullptr || job->IsFinished()) {
    return true;
  }
  const auto queue = mSettings.mQueues.find(job->mSpec.mQueue);
  const int priority =
    queue == mSettings.mQueues.end() ? job->mSpec.mPolicy.mPriority : queue->second.mPriority;
  const bool longRunning =
    job->mSpec.mSteps[static_cast<std::size_t>(aRun.mTask.mStep)].mLongRunning;
  // A guarantee holds against all work that is not itself within one, of any priority. Long-running
  // tasks are not stopped here (see MayInterrupt), and have to be restarted however full the pool
  // is.
  const bool lower = priority > aUnit.mQueue->mPriority ||
                     (aUnit.mGuaranteed && !mGuaranteedJobs.contains(aRun.mTask.mJob)) ||
                     (aUnit.Spec().mLongRunning && priority > 0);
  return aEntry.mPhase == run_phase::kRunning && !longRunning && lower;
}

// Whether a task of a long-running step serves: its startup is over and nothing stops it.
bool work_core::state::IsAtWork(const task_id& aTask)
{
  constexpr int kAtWorkPercent = 100;
  const task_entry* task = FindTask(aTask);
  if (task == nullptr || task->mPhase != task_phase::kLive) {
    return false;
  }
  const auto worker = mWorkers.find(task->mWorker);
  if (worker == mWorkers.end() || !worker->second.mReachable) {
    return false;
  }
  const auto run = worker->second.mRuns.find({ aTask, task->mRun });
  return run != worker->second.mRuns.end() && run->second.mPhase == run_phase::kRunning &&
         run->second.mPercent >= kAtWorkPercent;
}

// How many more tasks of the task's step may become unavailable. Tasks count whatever the reason
// for which they are not at work.
int work_core::state::SpareTasks(const task_id& aTask)
{
  const work_step* spec = FindSpec(aTask);
  const step_entry* step = FindStep(aTask);
  if (spec == nullptr || step == nullptr) {
    return 0;
  }
  int spare = spec->mMaxUnavailable;
  for (std::size_t i = 0; i < step->mTasks.size(); ++i) {
    task_id each = aTask;
    each.mIndex = static_cast<int>(i);
    spare -= IsAtWork(each) ? 0 : 1;
  }
  return spare;
}

// Whether a run of a long-running step may be stopped for the unit, if its step can spare it.
bool work_core::state::MayInterrupt(const ready_unit& aUnit, const run_id& aRun,
                                    const run_entry& aEntry)
{
  const work_step* spec = FindSpec(aRun.mTask);
  return aUnit.mGuaranteed && spec != nullptr && spec->mLongRunning &&
         aEntry.mPhase == run_phase::kRunning && !mGuaranteedJobs.contains(aRun.mTask.mJob);
}

// Returns the core-seconds that are lost when the run is stopped. Stopping a step with checkpoints
// saves its progress, so only the restore time is lost. A gang loses the work of all its members.
double work_core::state::LostWork(const run_id& aRun, const run_entry& aEntry, instant aNow)
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
  return members * CoreEquivalents(aEntry.mDemand) *
         (spec.mCheckpoints ? restart.count() : ran.count());
}

// Work that is late already is worth less to its caller than work that would become late, and work
// that was stopped before has lost more than its present run.
double work_core::state::EvictionCost(const run_id& aRun, const run_entry& aEntry, instant aNow)
{
  const job_entry* job = FindJob(aRun.mTask.mJob);
  const work_step* spec = FindSpec(aRun.mTask);
  double lost = LostWork(aRun, aEntry, aNow);
  if (job == nullptr || spec == nullptr) {
    return lost;
  }
  const auto queue = mSettings.mQueues.find(job->mSpec.mQueue);
  const bool urgent =
    (queue == mSettings.mQueues.end() ? job->mSpec.mPolicy : queue->second).mPriority == 0;
  if (spec->mLongRunning) {
    return kInterruptionCost.count() * CoreEquivalents(aEntry.mDemand);
  }
  lost += urgent ? kUrgentCost.count() * CoreEquivalents(aEntry.mDemand) : 0;
  if (!mOptions.mParts.mSpareInTime) {
    return lost;
  }
  const double late = aNow > ObjectiveOf(*job) ? kLateWorkShare : 1;
  return lost * late * (1 + kRepeatedEvictionCost * job->mEvictions);
}

// Returns the most core-seconds that may be lost for the unit. There is no limit for guaranteed and
// long-running units.
double work_core::state::MaxLostWork(const ready_unit& aUnit) const
{
  if (aUnit.mGuaranteed || aUnit.Spec().mLongRunning) {
    return std::numeric_limits<double>::infinity();
  }
  const work_step& spec = aUnit.Spec();
  const std::chrono::duration<double> estimate = spec.mEstimate;
  return mOptions.mMaxLostWorkFactor * static_cast<double>(spec.mCount) *
         CoreEquivalents(spec.mDemand) * estimate.count();
}

// Preempts runs of lower priority, and reserves their capacity until the stopped runs have ended.
bool work_core::state::PlaceByEviction(ready_unit& aUnit, const std::vector<int>& aTasks,
                                       instant aNow)
{
  std::vector<eviction_candidate> candidates;
  std::map<const step_entry*, int> spare; // by long-running step
  for (auto& [id, worker] : mWorkers) {
    if (!IsUsable(worker, aUnit, aNow)) {
      continue;
    }
    eviction_candidate candidate{ &worker, worker.Free(), {}, StepLimit(worker, aUnit) };
    for (const auto& [run, entry] : worker.mRuns) {
      const bool stopping = entry.mPhase == run_phase::kStopping;
      const bool interrupts = !stopping && MayInterrupt(aUnit, run, entry);
      if (!stopping && !interrupts && !MayEvict(aUnit, run, entry)) {
        continue;
      }
      victim found{ &run, &entry, stopping ? 0 : EvictionCost(run, entry, aNow),
                    entry.mGang && !stopping ? FindStep(run.mTask) : nullptr };
      if (interrupts) {
        const step_entry* step = FindStep(run.mTask);
        found.mLasting = step;
        const auto [known, isNew] = spare.try_emplace(step, 0);
        if (isNew) {
          known->second = SpareTasks(run.mTask);
        }
        found.mSpare = known->second;
        found.mTakesSpare = entry.mGang ? static_cast<int>(step->mTasks.size())
                                        : static_cast<int>(IsAtWork(run.mTask));
        if (!IsWithinSpare(found, {})) {
          continue;
        }
      }
      candidate.mVictims.push_back(found);
    }
    candidates.push_back(std::move(candidate));
  }

  const eviction_plan best = eviction_search(candidates, aUnit, aTasks).Run();
  if (best.mLostWork > MaxLostWork(aUnit)) {
    return false;
  }
  for (const auto& [index, worker] : best.mPlaces) {
    task_entry& task = aUnit.Entry().mTasks[static_cast<std::size_t>(index)];
    aUnit.Entry().SetPhase(task, task_phase::kClaimed);
    task.mWorker = worker->mInfo.mId;
    AddClaim(*worker, *aUnit.mJob, aUnit.Spec());
    mReplan = true;
  }
  for (const auto& [worker, run] : best.mStops) {
    if (job_entry* job = FindJob(run.mTask.mJob)) {
      ++job->mEvictions;
    }
    EmitEvent(work_event_kind::kEvicted, run.mTask.mJob, ToString(run.mTask), worker->mInfo.mId,
              fmt::format("preempted by job {}", aUnit.mJob->mSpec.mId));
    StopOtherGangMembers(run, aNow);
    StopRun(*worker, run, "preempted: its capacity is needed by a job that takes precedence", aNow);
  }
  return !best.mPlaces.empty();
}

} // namespace briarwind
