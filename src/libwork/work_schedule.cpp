#include "gang_reservations.h"
#include "work_placement.h"
#include "work_table.h"

#include <algorithm>
#include <ranges>
#include <tuple>

namespace briarwind {

namespace {

// Ranks of units: guaranteed ones first, then others that may preempt, then the rest by priority.
constexpr int kRankGuaranteed = 0;
constexpr int kRankUrgent = 1;
constexpr int kRankOther = 2;
constexpr int kRankOverdueOffset = 100; // added to the rank: placed after all others
// A job that takes longer than this many times its objective is of no more value to its caller.
constexpr int kOverdueFactor = 3;
// A worker that completed a run within this time is unlikely to fail all its runs.
constexpr milliseconds kRecentSuccess{ 3'000 };
// Longer chains of steps count as this one, so that multiples of it stay within the range of an
// instant.
constexpr milliseconds kMaxCriticalPath = std::chrono::days(3'660);
// A run that has less than this many times its expected time left may miss its objective on a slow
// worker: tasks of one step differ by 30%, and slow workers take 1.25 times as long.
constexpr double kNearObjectiveFactor = 1.5;

const work_queue& QueueOf(const work_settings& aSettings, const job_entry& aJob)
{
  const auto found = aSettings.mQueues.find(aJob.mSpec.mQueue);
  return found == aSettings.mQueues.end() ? aJob.mSpec.mPolicy : found->second;
}

int TotalAccelerators(const work_job& aJob)
{
  int sum = 0;
  for (const work_step& step : aJob.mSteps) {
    sum += step.mCount * step.mDemand.mAccelerators;
  }
  return sum;
}

} // namespace

const work_step& ready_unit::Spec() const
{
  return mJob->mSpec.mSteps[static_cast<std::size_t>(mStep)];
}

step_entry& ready_unit::Entry() const
{
  return mOccurrence->mSteps[static_cast<std::size_t>(mStep)];
}

task_id ready_unit::Task(int aIndex) const
{
  return { mJob->mSpec.mId, mOccurrence->mNumber, mStep, aIndex };
}

milliseconds work_core::state::ExpectedRunTime(const work_job& aJob, const work_step& aStep) const
{
  const auto learned =
    mOptions.mParts.mLearnedTimes ? mRunTimes.Find(KindOf(aJob, aStep)) : std::nullopt;
  return learned.value_or(aStep.mEstimate);
}

// Time of the longest chain of dependent steps, at most kMaxCriticalPath.
milliseconds work_core::state::CriticalPath(const work_job& aJob) const
{
  std::vector<milliseconds> until;
  for (const work_step& step : aJob.mSteps) {
    milliseconds before{ 0 };
    for (const int each : step.mAfter) {
      if (each >= 0 && each < static_cast<int>(until.size())) {
        before = std::max(before, until[static_cast<std::size_t>(each)]);
      }
    }
    until.push_back(std::min(before + ExpectedRunTime(aJob, step), kMaxCriticalPath));
  }
  return until.empty() ? milliseconds{ 0 } : std::ranges::max(until);
}

instant work_core::state::ObjectiveOf(const job_entry& aJob) const
{
  const work_queue& queue = QueueOf(mSettings, aJob);
  const std::chrono::duration<double, std::milli> slack = queue.mSlack * CriticalPath(aJob.mSpec);
  return aJob.mAddedAt +
         std::chrono::duration_cast<milliseconds>(
           std::min<std::chrono::duration<double, std::milli>>(slack, kMaxCriticalPath)) +
         std::min(queue.mTarget, kMaxCriticalPath);
}

// A run away from its data takes several times as long, which says nothing about other runs.
void work_core::state::LearnRunTime(const worker_entry& aWorker, const run_id& aId,
                                    const run_entry& aRun, instant aNow)
{
  const job_entry* job = FindJob(aId.mTask.mJob);
  const work_step* step = FindSpec(aId.mTask);
  if (job == nullptr || step == nullptr || !aRun.mFromStart || step->mLongRunning) {
    return;
  }
  if (!IsRemote(aWorker, *step)) {
    mRunTimes.Add(KindOf(job->mSpec, *step),
                  std::chrono::duration_cast<milliseconds>(aNow - aRun.mStartedAt));
  }
}

std::vector<ready_unit> work_core::state::ReadyUnits(instant aNow)
{
  std::vector<ready_unit> units;
  for (auto& [id, job] : mJobs) {
    if (job.IsFinished() || job.mRefusedUntil) {
      continue;
    }
    const work_queue& queue = QueueOf(mSettings, job);
    const instant objective = ObjectiveOf(job);
    for (occurrence_entry& occurrence : job.mOccurrences | std::views::values) {
      for (std::size_t step = 0; step < occurrence.mSteps.size(); ++step) {
        step_entry& entry = occurrence.mSteps[step];
        if (entry.IsDone() || !ArePredecessorsDone(occurrence, job.mSpec.mSteps[step])) {
          continue;
        }
        if (!std::exchange(entry.mReady, true)) {
          entry.mReadySince = aNow;
        }
        if (entry.HasTasksToPlace()) {
          const bool overdue = aNow > job.mAddedAt + kOverdueFactor * (objective - job.mAddedAt);
          const bool mayProbe =
            !job.mSpec.mSteps[step].mGang || aNow - entry.mReadySince >= mOptions.mGangProbeDelay;
          ready_unit unit;
          unit.mJob = &job;
          unit.mOccurrence = &occurrence;
          unit.mStep = static_cast<int>(step);
          unit.mQueue = &queue;
          unit.mMayProbe = mayProbe;
          unit.mPreferSuccessSince = entry.mFailedTasks > 0 ? aNow - kRecentSuccess : instant();
          unit.mObjective = objective;
          unit.mInterfering = InterferingKinds(job.mSpec, unit.mStep);
          unit.mFitsShape = mOptions.mParts.mShapeFit;
          const milliseconds expected = ExpectedRunTime(job.mSpec, job.mSpec.mSteps[step]);
          unit.mExpectedTime = expected;
          unit.mIsLate = mOptions.mParts.mLateLast && aNow + expected > unit.mObjective;
          unit.mIsNearObjective = mOptions.mParts.mWorkerRates &&
                                  aNow + kNearObjectiveFactor * expected > unit.mObjective;
          unit.mBeyondRate = IsBeyondRate(job, unit.mObjective, aNow);
          unit.mRank = queue.mPriority == 0
                         ? kRankUrgent
                         : kRankOther + queue.mPriority + (overdue ? kRankOverdueOffset : 0);
          units.push_back(unit);
        }
      }
    }
  }
  MarkGuaranteed(units);
  std::ranges::sort(units, [](const ready_unit& aLeft, const ready_unit& aRight) {
    const auto key = [](const ready_unit& aUnit) {
      return std::tuple(aUnit.mRank, aUnit.mIsLate, aUnit.mObjective,
                        std::string_view(aUnit.mJob->mSpec.mId), aUnit.mOccurrence->mNumber,
                        aUnit.mStep);
    };
    return key(aLeft) < key(aRight);
  });
  return units;
}

// An organisation's urgent jobs are guaranteed in the order in which they were accepted, up to its
// guaranteed number of accelerators. The order has to be the same for each leader: a job that fell
// out of the guarantee could be stopped for another.
void work_core::state::MarkGuaranteed(std::vector<ready_unit>& aUnits)
{
  std::map<std::string, std::vector<const job_entry*>> claims;
  for (const auto& [id, job] : mJobs) {
    if (!job.IsFinished() && QueueOf(mSettings, job).mPriority == 0) {
      claims[job.mSpec.mOrganisation].push_back(&job);
    }
  }
  mGuaranteedJobs.clear();
  for (auto& [organisation, jobs] : claims) {
    std::ranges::sort(jobs, {}, [](const job_entry* aJob) {
      return std::tuple(aJob->mSpec.mAccepted, aJob->mAddedAt, std::string_view(aJob->mSpec.mId));
    });
    const auto granted = mSettings.mGuaranteedAccelerators.find(organisation);
    int left = granted == mSettings.mGuaranteedAccelerators.end() ? 0 : granted->second;
    for (const job_entry* job : jobs) {
      left -= TotalAccelerators(job->mSpec);
      if (left >= 0) {
        mGuaranteedJobs.insert(job->mSpec.mId);
      }
    }
  }
  for (ready_unit& unit : aUnits) {
    if (mGuaranteedJobs.contains(unit.mJob->mSpec.mId)) {
      unit.mGuaranteed = true;
      unit.mIsLate = false;
      unit.mRank = kRankGuaranteed;
    }
  }
}

wait_reason work_core::state::Ineligibility(const worker_entry& aWorker, const ready_unit& aUnit,
                                            instant aNow) const
{
  const work_step& spec = aUnit.Spec();
  const registered_worker& info = aWorker.mInfo;
  if (!spec.mRequiredLabel.empty() && std::ranges::count(info.mLabels, spec.mRequiredLabel) == 0) {
    return wait_reason::kLabel;
  }
  if (std::ranges::count(mSettings.mWithdrawnDomains, info.mDomain) > 0) {
    return wait_reason::kWithdrawn;
  }
  if (info.mLeaving) {
    return wait_reason::kLeaving;
  }
  if (!aWorker.mReachable) {
    return wait_reason::kUnreachable;
  }
  if (!aWorker.mOrphans.empty()) {
    return wait_reason::kUnknownRuns;
  }
  if (aWorker.mQuarantinedUntil > aNow) {
    return wait_reason::kQuarantined;
  }
  return aWorker.mAvoidedUntil > aNow ? wait_reason::kAvoided : wait_reason::kNone;
}

bool work_core::state::IsEligible(const worker_entry& aWorker, const ready_unit& aUnit,
                                  instant aNow) const
{
  return aWorker.mListed && aWorker.mInfo.mService == aUnit.mQueue->mService &&
         Ineligibility(aWorker, aUnit, aNow) == wait_reason::kNone;
}

bool work_core::state::IsUsable(const worker_entry& aWorker, const ready_unit& aUnit,
                                instant aNow) const
{
  return IsEligible(aWorker, aUnit, aNow) && IsApproved(aWorker, aUnit, aNow);
}

void work_core::state::PlaceAll(instant aNow)
{
  UpdateWorkerRates(aNow);
  UpdateWorkerPresence(aNow);
  mWithoutRoom.clear();
  mIdleWaitChecks = 0;
  std::ranges::for_each(mIdleWaits | std::views::values, [](int& aSteps) { aSteps = 0; });
  std::vector<ready_unit> units = ReadyUnits(aNow);
  for (ready_unit& unit : units) {
    ConvertClaims(unit, aNow);
  }
  const auto order = MakeUnitOrder(units, mLedger, TotalCapacity());
  start_budget starts = MakeStartBudget(units);
  gang_reservations reservations(aNow);
  limit_holds limitHolds(aNow);
  while (ready_unit* unit = order->Next()) {
    const bool isHeldBack = limitHolds.HoldsBack(*unit);
    if (!isHeldBack) {
      PlaceOrEvict(*unit, reservations, starts, aNow);
    }
    RecordIdleWait(*unit, reservations, isHeldBack, aNow);
    if (const auto startsAt = isHeldBack ? std::nullopt : LimitRoomForGang(*unit, aNow)) {
      limitHolds.Add(*unit, *startsAt);
    }
  }
  mReservedRacks = reservations.Racks();
}

// The runs are counted only where the number of waiting tasks calls for a bound.
start_budget work_core::state::MakeStartBudget(const std::vector<ready_unit>& aUnits) const
{
  int waiting = 0;
  int units = 0;
  for (const ready_unit& each : aUnits) {
    const int tasks = each.Entry().InPhase(task_phase::kWaiting);
    waiting += tasks;
    units += tasks > 0 ? 1 : 0;
  }
  if (waiting <= start_budget::kUnboundedTasks) {
    return start_budget(0, waiting, units);
  }
  int inFlight = 0;
  for (const worker_entry& worker : mWorkers | std::views::values) {
    inFlight += static_cast<int>(std::ranges::count_if(worker.mRuns, [](const auto& aRun) {
      const run_phase phase = aRun.second.mPhase;
      return phase == run_phase::kRecording || phase == run_phase::kStarting;
    }));
  }
  return start_budget(inFlight, waiting, units);
}

void work_core::state::PlaceOrEvict(ready_unit& aUnit, gang_reservations& aReservations,
                                    start_budget& aStarts, instant aNow)
{
  const std::vector<int> waiting = WaitingTasks(aUnit);
  const bool endsPending = aUnit.Spec().mGang && waiting.size() != aUnit.Entry().mTasks.size();
  if (waiting.empty() || endsPending) { // of a gang, members of the last run have not ended yet
    return;
  }
  const bool urgent = aUnit.mQueue->mPriority == 0;
  std::vector<int> allowed = TasksWithinLimit(aUnit);
  RecordLimitWait(aUnit, allowed.size() < waiting.size());
  if (allowed.size() < waiting.size() && urgent) {
    StopOwnWorkForLimit(aUnit, aNow);
  }
  const int budget = aStarts.Allowed(static_cast<int>(allowed.size()), aUnit.Spec().mGang, urgent);
  allowed.resize(static_cast<std::size_t>(budget));
  if (allowed.empty()) {
    return;
  }
  const int before = aUnit.Entry().InPhase(task_phase::kWaiting);
  std::string reserved;
  const bool mayStopOthers = urgent || aUnit.Spec().mLongRunning;
  const bool isPlaced = PlaceUnit(aUnit, allowed, aReservations, aNow);
  if (!isPlaced && mayStopOthers) {
    std::vector<int> unplaced = TasksWithinLimit(aUnit);
    unplaced.resize(std::min(unplaced.size(), static_cast<std::size_t>(budget)));
    if (!unplaced.empty()) {
      PlaceByEviction(aUnit, unplaced, aNow);
    }
  } else if (!isPlaced && mOptions.mParts.mReservations && NeedsReservation(aUnit, aNow)) {
    reserved = ReserveRack(aUnit, aReservations, aNow);
  }
  aStarts.Take(before - aUnit.Entry().InPhase(task_phase::kWaiting));
  RecordReservation(aUnit, reserved, aNow);
}

task_demand work_core::state::TotalCapacity() const
{
  task_demand total;
  for (const auto& [id, worker] : mWorkers) {
    total += worker.mListed ? worker.mInfo.mCapacity : task_demand{};
  }
  return total;
}

// On a full fleet thousands of units wait that no worker has room for. Free capacity only shrinks
// during a pass, except where a run or a claim is removed.
bool work_core::state::HasRoom(const task_demand& aDemand)
{
  constexpr std::size_t kMaxRemembered = 64;
  const auto needsMore = [&](const task_demand& aEach) { return FitsInto(aEach, aDemand); };
  if (std::ranges::any_of(mWithoutRoom, needsMore)) {
    return false;
  }
  const bool hasRoom = std::ranges::any_of(
    mWorkers, [&](const auto& aWorker) { return FitCount(aWorker.second.Free(), aDemand) > 0; });
  if (!hasRoom && mWithoutRoom.size() < kMaxRemembered) {
    mWithoutRoom.push_back(aDemand);
  }
  return hasRoom;
}

std::vector<worker_entry*> work_core::state::UsableWorkers(const ready_unit& aUnit, instant aNow)
{
  std::vector<worker_entry*> usable;
  for (auto& [id, worker] : mWorkers) {
    if (IsUsable(worker, aUnit, aNow)) {
      usable.push_back(&worker);
    }
  }
  return usable;
}

// On busy workers, a place near the data soon comes free as a rule, and a run away from them would
// take several times as long. No place comes free on a rack that is withdrawn, too small or full of
// long-running tasks.
bool work_core::state::WaitsForLocality(const ready_unit& aUnit,
                                        const std::vector<worker_entry*>& aWorkers,
                                        instant aNow) const
{
  const work_step& spec = aUnit.Spec();
  const auto waited = aNow - aUnit.Entry().mReadySince;
  const bool hasPreference = !spec.mDataRack.empty() || (spec.mGang && spec.mRackLocal);
  if (!hasPreference || waited < mOptions.mLocalityWait) {
    return hasPreference;
  }
  return waited < spec.mEstimate && IsBusy(aWorkers) && CanEverFitLocally(aUnit, aWorkers);
}

bool work_core::state::PlaceUnit(ready_unit& aUnit, const std::vector<int>& aTasks,
                                 const gang_reservations& aReservations, instant aNow)
{
  RequestAdvice(aUnit, aNow);
  if (!HasRoom(CapacityDemand(aUnit.Spec()))) {
    return false;
  }
  std::vector<worker_entry*> usable = UsableWorkers(aUnit, aNow);
  const bool waitsForLocality = WaitsForLocality(aUnit, usable, aNow);
  std::erase_if(
    usable, [&](const worker_entry* aWorker) { return !aReservations.MayUse(aUnit, *aWorker); });
  const placement_result placed = FindPlaces(aUnit, aTasks, usable, !waitsForLocality);
  RecordSeparation(aUnit, usable, placed.mPlaces);
  AddRuns(aUnit, placed.mPlaces, aNow);
  return placed.mPlaces.size() == aTasks.size();
}

void work_core::state::AddRuns(const ready_unit& aUnit,
                               const std::vector<std::pair<int, worker_entry*>>& aPlaces,
                               instant aNow)
{
  if (aPlaces.empty()) {
    return;
  }
  const work_step& spec = aUnit.Spec();
  step_entry& step = aUnit.Entry();
  run_number commonRun = 0;
  for (const task_entry& each : step.mTasks) {
    commonRun = std::max(commonRun, each.mRun + 1);
  }
  MarkChanged(*aUnit.mJob);
  aUnit.mJob->mState = work_state::kRunning;
  for (const auto& [index, worker] : aPlaces) {
    task_entry& task = step.mTasks[static_cast<std::size_t>(index)];
    step.SetPhase(task, task_phase::kLive);
    task.mRun = spec.mGang ? commonRun : task.mRun + 1;
    task.mWorker = worker->mInfo.mId;
    run_entry run;
    run.mDemand = CapacityDemand(spec);
    run.mGang = spec.mGang;
    run.mLongRunning = spec.mLongRunning;
    run.mRecordedIn = aUnit.mJob->mChange;
    run.mPhaseSince = aNow;
    run.mStartedAt = aNow;
    run.mFromStart = !spec.mCheckpoints || task.mCheckpoint.empty();
    run.mPace = run.mFromStart ? run_pace(aNow) : run_pace();
    run.mEarlierStalls = task.mStalls;
    MarkPartChanged(*aUnit.mJob, aUnit.Task(index));
    aUnit.mJob->mRecordingRuns.emplace_back(run_id{ aUnit.Task(index), task.mRun },
                                            worker->mInfo.mId);
    AddRun(*worker, { aUnit.Task(index), task.mRun }, std::move(run), *aUnit.mJob);
  }
}

// Turns claims into runs as soon as their capacity is free; those of a gang all at once.
void work_core::state::ConvertClaims(ready_unit& aUnit, instant aNow)
{
  const work_step& spec = aUnit.Spec();
  step_entry& step = aUnit.Entry();
  std::vector<std::pair<int, worker_entry*>> ready;
  std::map<const worker_entry*, task_demand> plannedUse;
  std::size_t claimed = 0;
  bool unusable = false;
  if (step.InPhase(task_phase::kClaimed) == 0) {
    return;
  }
  for (std::size_t i = 0; i < step.mTasks.size(); ++i) {
    const task_entry& task = step.mTasks[i];
    if (task.mPhase != task_phase::kClaimed) {
      continue;
    }
    ++claimed;
    const auto worker = mWorkers.find(task.mWorker);
    if (worker == mWorkers.end() || !IsUsable(worker->second, aUnit, aNow)) {
      unusable = true;
      continue;
    }
    task_demand& used = plannedUse.try_emplace(&worker->second, worker->second.mUsed).first->second;
    if (FitsInto(used + CapacityDemand(spec), worker->second.mInfo.mCapacity)) {
      used += CapacityDemand(spec);
      ready.emplace_back(static_cast<int>(i), &worker->second);
    }
  }
  // A limit that was lowered after the claim is kept, too.
  if (unusable || mLedger.IsOverLimit(aUnit.mJob->mSpec.mOrganisation)) {
    ReleaseClaims(*aUnit.mJob);
    return;
  }
  if (spec.mGang && ready.size() != claimed) {
    return;
  }
  for (const auto& [index, worker] : ready) {
    RemoveClaim(*worker, *aUnit.mJob, spec);
  }
  AddRuns(aUnit, ready, aNow);
}

void work_core::state::ReleaseClaims(job_entry& aJob)
{
  for (occurrence_entry& occurrence : aJob.mOccurrences | std::views::values) {
    for (std::size_t i = 0; i < occurrence.mSteps.size(); ++i) {
      step_entry& step = occurrence.mSteps[i];
      if (step.InPhase(task_phase::kClaimed) == 0) {
        continue;
      }
      for (task_entry& task : step.mTasks) {
        if (task.mPhase != task_phase::kClaimed) {
          continue;
        }
        if (const auto worker = mWorkers.find(task.mWorker); worker != mWorkers.end()) {
          RemoveClaim(worker->second, aJob, aJob.mSpec.mSteps[i]);
        }
        step.SetPhase(task, task_phase::kWaiting);
        task.mWorker.clear();
        mReplan = true;
      }
    }
  }
}

} // namespace briarwind
