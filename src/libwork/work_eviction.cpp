#include "work_placement.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <numeric>
#include <ranges>

namespace briarwind {

namespace {

// An accelerator is worth as much as this many cores when lost work is weighed.
constexpr double kCoresPerAccelerator = 8;
constexpr double kMilli = 1000;

// Gangs that a plan is seeded with, cheapest first. Each costs one more plan over all workers.
constexpr std::size_t kSeededGangs = 4;

// A run that may be stopped, and the work that would be lost with it.
struct victim
{
  const run_id* mRun = nullptr;
  const run_entry* mEntry = nullptr;
  double mLoss = 0;                  ///< core-seconds; 0 when it is being stopped already
  const step_entry* mGang = nullptr; ///< its gang, which goes as a whole; none for single tasks
};

struct host_plan
{
  worker_entry* mWorker = nullptr;
  task_demand mRoom;            ///< free now, or freed by the victims chosen
  std::vector<victim> mVictims; ///< not chosen yet
  int mLimit = 0;
};

struct eviction_plan
{
  std::vector<task_place> mPlaces;
  std::vector<std::pair<worker_entry*, run_id>> mStops;
  std::set<const step_entry*> mGangs; ///< those that the plan stops
  double mLoss = 0;
};

// What one host would give up for one more task.
struct room_offer
{
  std::vector<std::size_t> mChosen; ///< of the host's victims
  double mLoss = 0;
};

double CoresOf(const task_demand& aDemand)
{
  return static_cast<double>(aDemand.mMilliCores) / kMilli +
         kCoresPerAccelerator * static_cast<double>(aDemand.mAccelerators);
}

// The cheapest victims for their accelerators until one more task fits; nothing when it never does.
// Once a member is stopped, the work of its gang is lost and the others' room comes free.
std::optional<room_offer> OfferOf(const host_plan& aHost, const task_demand& aDemand,
                                  std::set<const step_entry*> aGangs)
{
  room_offer offer;
  task_demand room = aHost.mRoom;
  const auto lossOf = [&](std::size_t aIndex) {
    const victim& each = aHost.mVictims[aIndex];
    return aGangs.contains(each.mGang) ? 0 : each.mLoss;
  };
  std::vector<std::size_t> left(aHost.mVictims.size());
  std::iota(left.begin(), left.end(), std::size_t{ 0 });
  while (FitCount(room, aDemand) < 1) {
    const auto next = std::ranges::min_element(left, {}, [&](std::size_t aIndex) {
      return lossOf(aIndex) / std::max(1, aHost.mVictims[aIndex].mEntry->mDemand.mAccelerators);
    });
    if (next == left.end()) {
      return std::nullopt;
    }
    const victim& chosen = aHost.mVictims[*next];
    offer.mLoss += lossOf(*next);
    offer.mChosen.push_back(*next);
    room += chosen.mEntry->mDemand;
    if (chosen.mGang != nullptr) {
      aGangs.insert(chosen.mGang);
    }
    left.erase(next);
  }
  return offer;
}

void Accept(eviction_plan& aPlan, host_plan& aHost, room_offer aOffer, const task_demand& aDemand)
{
  for (const std::size_t index : aOffer.mChosen) {
    const victim& chosen = aHost.mVictims[index];
    aHost.mRoom += chosen.mEntry->mDemand;
    if (chosen.mEntry->mPhase != run_phase::kStopping) {
      aPlan.mStops.emplace_back(aHost.mWorker, *chosen.mRun);
    }
    if (chosen.mGang != nullptr) {
      aPlan.mGangs.insert(chosen.mGang);
    }
  }
  std::ranges::sort(aOffer.mChosen, std::greater());
  for (const std::size_t index : aOffer.mChosen) {
    aHost.mVictims.erase(aHost.mVictims.begin() + static_cast<std::ptrdiff_t>(index));
  }
  aHost.mRoom -= aDemand;
  --aHost.mLimit;
  aPlan.mLoss += aOffer.mLoss;
}

// Places one task after the other where it costs least, beside what the plan stops already.
eviction_plan PlanOn(std::vector<host_plan> aHosts, const ready_unit& aUnit,
                     const std::vector<int>& aTasks, eviction_plan aPlan)
{
  const task_demand demand = RoomOf(aUnit.Spec());
  for (const int index : aTasks) {
    host_plan* best = nullptr;
    std::optional<room_offer> bestOffer;
    for (host_plan& host : aHosts) {
      if (host.mLimit <= 0) {
        continue;
      }
      auto offer = OfferOf(host, demand, aPlan.mGangs);
      if (offer && (!bestOffer || offer->mLoss < bestOffer->mLoss)) {
        best = &host;
        bestOffer = std::move(offer);
      }
    }
    if (best == nullptr) {
      break;
    }
    aPlan.mPlaces.emplace_back(index, best->mWorker);
    Accept(aPlan, *best, std::move(*bestOffer), demand);
  }
  return aPlan;
}

// The gangs whose end would cost least, each as a plan that stops just it. Task by task a gang is
// dearer than single runs, though its members together may be far cheaper.
std::vector<eviction_plan> SeedsOf(const std::vector<host_plan>& aHosts)
{
  std::map<const step_entry*, eviction_plan> gangs;
  for (const host_plan& host : aHosts) {
    for (const victim& each : host.mVictims) {
      if (each.mGang == nullptr || gangs.contains(each.mGang)) {
        continue;
      }
      eviction_plan& seed = gangs[each.mGang];
      seed.mStops.emplace_back(host.mWorker, *each.mRun);
      seed.mGangs.insert(each.mGang);
      seed.mLoss = each.mLoss;
    }
  }
  std::vector<eviction_plan> seeds;
  std::ranges::move(gangs | std::views::values, std::back_inserter(seeds));
  std::ranges::stable_sort(seeds, {}, &eviction_plan::mLoss);
  seeds.resize(std::min(seeds.size(), kSeededGangs));
  return seeds;
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
    Compare(PlanOn(there, mUnit, mTasks, {}));
    for (eviction_plan& seed : SeedsOf(there)) {
      // Plans only get dearer from their seed on.
      if (seed.mLoss < mBest.mLoss) {
        Compare(PlanOn(there, mUnit, mTasks, std::move(seed)));
      }
    }
  }

  void Compare(eviction_plan aPlan)
  {
    const bool useful = !mUnit.Spec().mGang || aPlan.mPlaces.size() == mTasks.size();
    const bool more = aPlan.mPlaces.size() > mBest.mPlaces.size();
    const bool cheaper = aPlan.mPlaces.size() == mBest.mPlaces.size() && aPlan.mLoss < mBest.mLoss;
    if (useful && (more || cheaper)) {
      mBest = std::move(aPlan);
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
      host.mVictims.push_back({ &run, &entry, stopping ? 0 : LossOf(run, entry, aNow),
                                entry.mGang && !stopping ? FindStep(run.mTask) : nullptr });
    }
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
