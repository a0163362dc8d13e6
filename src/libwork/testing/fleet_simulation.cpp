#include "fleet_simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <ranges>

namespace briarwind::testing {

namespace {

constexpr milliseconds kTimeStep{ 5 };
constexpr milliseconds kPollInterval{ 100 };
// How long a former leader keeps acting: it detects within its lease that it no longer leads.
constexpr milliseconds kStaleLeaderTime{ 400 };
constexpr milliseconds kMaxOrderDelay{ 12'000 };
// A start that was ordered below a former limit takes effect at most this much later: within the
// time that a former leader keeps acting and the lease in its order.
constexpr milliseconds kLimitGrace{ 11'000 };

wall_time WallAt(instant aNow)
{
  return wall_time(std::chrono::duration_cast<milliseconds>(aNow.time_since_epoch()));
}

} // namespace

fleet_simulation::fleet_simulation(int aWorkers, std::uint64_t aSeed, const work_options& aOptions)
  : mOptions(aOptions)
  , mRandom(aSeed)
  , mNow(instant() + std::chrono::hours(1))
{
  constexpr int kPerRack = 4;
  for (int i = 0; i < aWorkers; ++i) {
    registered_worker info;
    info.mId = fmt::format("w{:02}", i);
    info.mService = "pool";
    info.mAddress = fmt::format("10.0.0.{}:80", i + 1);
    info.mDomain = i % 2 == 0 ? "d1" : "d2";
    info.mRack = fmt::format("r{}", i / kPerRack);
    info.mLabels = { "plain", info.mRack };
    info.mCapacity = { 8, 128'000, 262'144 };
    info.mIncarnation = 1'000;
    mWorkers.push_back(std::make_unique<simulated_worker>(info, mNow - std::chrono::minutes(1)));
  }
  mSettings.mQueues["urgent"] = { "pool", 0, 3, 1.5, milliseconds(250) };
  mSettings.mQueues["batch"] = { "pool", 1, 3, 3, milliseconds(1'000) };
  mPolicies.emplace_back(mNow, mSettings.mOrganisations);
  ChangeLeader();
}

bool fleet_simulation::Chance(double aShare)
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < aShare;
}

std::vector<registered_worker> fleet_simulation::Registry() const
{
  std::vector<registered_worker> listed;
  for (std::size_t i = 0; i < mWorkers.size(); ++i) {
    if (!mUnlisted.contains(i)) {
      listed.push_back(mWorkers[i]->mInfo);
      listed.back().mClock = mWorkers[i]->Clock(mNow);
    }
  }
  return listed;
}

std::size_t fleet_simulation::IndexOf(const std::string& aWorker) const
{
  const auto found =
    std::ranges::find(mWorkers, aWorker, [](const auto& aEach) { return aEach->mInfo.mId; });
  return static_cast<std::size_t>(found - mWorkers.begin());
}

void fleet_simulation::ChangeLeader()
{
  if (mLeader != nullptr) {
    mLeader->mLostLeadAt = mNow;
  }
  auto next = std::make_unique<leader>();
  next->mEpoch = ++mRevision;
  next->mCore = std::make_unique<work_core>(mOptions);
  next->mCore->BeginTerm(next->mEpoch, mNow);
  next->mCore->SetSettings(mSettings, mNow);
  for (const auto& [id, job] : mJobs) {
    stored_job stored{ job, mCancelled.contains(id), {}, 0 };
    if (const auto record = mRecords.find(id); record != mRecords.end()) {
      stored.mProgress = record->second.mValue;
      stored.mProgressRevision = record->second.mRevision;
      for (const auto& [number, value] : record->second.mParts) {
        stored.mProgressParts.push_back({ number, value });
      }
    }
    next->mCore->AddJob(stored, mNow, WallAt(mNow));
  }
  next->mCore->SetWorkers(Registry(), mNow);
  mLeader = next.get();
  mLeaders.push_back(std::move(next));
}

void fleet_simulation::SetSettings(const work_settings& aSettings)
{
  mSettings = aSettings;
  mPolicies.emplace_back(mNow, mSettings.mOrganisations);
  Core().SetSettings(mSettings, mNow);
}

void fleet_simulation::SetInterference(const std::string& aLeft, const std::string& aRight,
                                       int aFactor)
{
  mInterference[{ aLeft, aRight }] = aFactor;
  mInterference[{ aRight, aLeft }] = aFactor;
}

const std::string& fleet_simulation::ImageOf(const run_id& aRun) const
{
  const work_job& job = mJobs.at(aRun.mTask.mJob);
  return job.mSteps.at(static_cast<std::size_t>(aRun.mTask.mStep)).mImage;
}

void fleet_simulation::ApplyInterference(simulated_worker& aWorker)
{
  if (mInterference.empty()) {
    return;
  }
  std::set<std::string> images;
  for (const auto& [id, run] : aWorker.mRuns) {
    images.insert(ImageOf(id));
  }
  for (auto& [id, run] : aWorker.mRuns) {
    run.mSlowdown = 1;
    for (const std::string& each : images) {
      const auto found = mInterference.find({ ImageOf(id), each });
      run.mSlowdown = std::max(run.mSlowdown, found == mInterference.end() ? 1 : found->second);
    }
  }
}

int fleet_simulation::Events(work_event_kind aKind) const
{
  const auto found = mEvents.find(aKind);
  return found == mEvents.end() ? 0 : found->second;
}

void fleet_simulation::SetPartitioned(int aWorker, bool aPartitioned)
{
  const auto index = static_cast<std::size_t>(aWorker);
  aPartitioned ? static_cast<void>(mPartitioned.insert(index))
               : static_cast<void>(mPartitioned.erase(index));
}

void fleet_simulation::SetListed(int aWorker, bool aListed)
{
  const auto index = static_cast<std::size_t>(aWorker);
  aListed ? static_cast<void>(mUnlisted.erase(index)) : static_cast<void>(mUnlisted.insert(index));
}

void fleet_simulation::Submit(work_job aJob, milliseconds aWork)
{
  aJob.mAccepted = WallAt(mNow);
  mRunTimes[aJob.mId] = aWork;
  mJobs[aJob.mId] = aJob;
  Core().AddJob({ aJob, false, {}, 0 }, mNow, WallAt(mNow));
}

void fleet_simulation::Cancel(const std::string& aJob)
{
  mCancelled.insert(aJob);
  Core().CancelJob(aJob, mNow);
}

void fleet_simulation::Run(milliseconds aTime)
{
  const instant end = mNow + aTime;
  while (mNow < end) {
    Step();
  }
}

void fleet_simulation::Step()
{
  mNow += kTimeStep;
  for (auto& worker : mWorkers) {
    ApplyInterference(*worker);
    worker->Advance(mNow);
    for (const listed_end& end : worker->mEnds) {
      if (end.mEndKind == run_end::kDone) {
        mEndedDone.insert(end.mRun.mTask);
      }
    }
  }
  while (!mDelayedOrders.empty() && mDelayedOrders.front().mAt <= mNow) {
    const delayed_order order = mDelayedOrders.front();
    mDelayedOrders.pop_front();
    // An order queued in a worker's process is lost when the process restarts.
    if (mWorkers[order.mWorker]->mInfo.mIncarnation == order.mIncarnation) {
      Deliver(order.mWorker, order.mOrder, order.mEpoch, order.mUntil);
    }
  }
  CommitDue();
  for (auto& each : mLeaders) {
    if (each->mLostLeadAt == instant() || mNow - each->mLostLeadAt < kStaleLeaderTime) {
      RunLeader(*each);
    }
  }
}

void fleet_simulation::RunLeader(leader& aLeader)
{
  work_core& core = *aLeader.mCore;
  if (&aLeader == mLeader) {
    core.SetWorkers(Registry(), mNow);
  }
  Poll(aLeader);
  core.Decide(mNow, WallAt(mNow));
  for (const work_action& action : core.TakeActions()) {
    if (const auto* start = std::get_if<start_run>(&action)) {
      Send(aLeader, *start);
    } else if (const auto* event = std::get_if<work_event>(&action)) {
      ++mEvents[event->mKind];
      ++mWorkerEvents[{ event->mKind, event->mWorker }];
    } else if (const auto* request = std::get_if<advice_request>(&action)) {
      Advise(core, *request);
    } else if (const auto* stop = std::get_if<stop_run>(&action)) {
      const std::size_t worker = IndexOf(stop->mWorker);
      const bool lost = mPartitioned.contains(worker) || Chance(mFaults.mLostAnswer);
      const stop_outcome outcome = mPartitioned.contains(worker)
                                     ? stop_outcome::kUnknown
                                     : mWorkers[worker]->Stop(stop->mRun, aLeader.mEpoch, mNow);
      core.OnStopped(*stop, lost ? stop_outcome::kUnknown : outcome, mNow, mNow);
    }
  }
  for (progress_write& each : core.TakeWrites(16)) {
    mPending.push_back({ mNow + mFaults.mWriteTime, &aLeader, std::move(each) });
  }
}

// Commits a write only if its writer still leads and expects the record's present revision.
void fleet_simulation::CommitDue()
{
  while (!mPending.empty() && mPending.front().mAt <= mNow) {
    const pending_write due = mPending.front();
    mPending.pop_front();
    if (due.mWriter != mLeader) {
      continue;
    }
    stored_record& record = mRecords[due.mWrite.mJob];
    if (record.mRevision != due.mWrite.mExpected) {
      due.mWriter->mCore->OnNotWritten(due.mWrite.mJob, record.mRevision);
      continue;
    }
    record.mValue = due.mWrite.mValue;
    record.mRevision = ++mRevision;
    for (const record_part& each : due.mWrite.mParts) {
      record.mParts[each.mNumber] = each.mValue;
      std::erase_if(record.mParts, [](const auto& aPart) { return aPart.second.empty(); });
    }
    due.mWriter->mCore->OnWritten(due.mWrite.mJob, record.mRevision, mNow);
  }
}

void fleet_simulation::Advise(work_core& aCore, const advice_request& aRequest)
{
  placement_advice advice;
  advice.mValidFor = milliseconds(3'000);
  for (const std::string& each : aRequest.mWorkers) {
    if (mApprovedWorkers.contains(each)) {
      advice.mApproved.push_back({ each, "ticket" });
    }
  }
  ++mAdviceRequests;
  aCore.OnAdvice(aRequest, advice, mNow);
}

void fleet_simulation::Send(leader& aLeader, const start_run& aOrder)
{
  work_core& core = *aLeader.mCore;
  const std::size_t worker = IndexOf(aOrder.mWorker);
  const milliseconds until = core.GrantLease(aOrder.mWorker, mNow);
  if (mPartitioned.contains(worker)) {
    core.OnStarted(aOrder, start_outcome::kUnknown, mNow, mNow);
    return;
  }
  if (Chance(mFaults.mDelayedOrder)) {
    const milliseconds delay(
      2'000 + static_cast<std::int64_t>(
                mRandom() % static_cast<std::uint64_t>(kMaxOrderDelay.count() - 2'000)));
    const delayed_order order{ mNow + delay, worker,         mWorkers[worker]->mInfo.mIncarnation,
                               aOrder,       aLeader.mEpoch, until };
    mDelayedOrders.insert(
      std::ranges::upper_bound(mDelayedOrders, order.mAt, {}, &delayed_order::mAt), order);
    core.OnStarted(aOrder, start_outcome::kUnknown, mNow, mNow);
    return;
  }
  const start_outcome outcome = Deliver(worker, aOrder, aLeader.mEpoch, until);
  const bool lost = Chance(mFaults.mLostAnswer);
  core.OnStarted(aOrder, lost ? start_outcome::kUnknown : outcome, mNow, mNow);
}

// Depends on the task alone, so that each of its runs has the same work.
milliseconds fleet_simulation::WorkOf(const task_id& aTask) const
{
  std::mt19937_64 random(std::hash<std::string>()(ToString(aTask)));
  const double share = std::uniform_real_distribution<double>(-mTaskSpread, mTaskSpread)(random);
  return std::chrono::duration_cast<milliseconds>(mRunTimes.at(aTask.mJob) * (1 + share));
}

start_outcome fleet_simulation::Deliver(std::size_t aWorker, const start_run& aOrder,
                                        std::int64_t aEpoch, milliseconds aUntil)
{
  simulated_worker& worker = *mWorkers[aWorker];
  const bool known = worker.mRuns.contains(aOrder.mRun);
  const start_outcome outcome =
    worker.Start(aOrder.mRun, aEpoch, aUntil, WorkOf(aOrder.mRun.mTask), mNow);
  if (outcome == start_outcome::kStarted && !known) {
    CheckStart(aOrder, aWorker);
    ++worker.mStarted;
    const work_job& job = mJobs.at(aOrder.mRun.mTask.mJob);
    if (job.mSteps.at(static_cast<std::size_t>(aOrder.mRun.mTask.mStep)).mLongRunning) {
      worker.mRuns[aOrder.mRun].mStartup = mStartup;
    }
    ++mStarts[aOrder.mRun.mTask.mJob];
    if (mFailingJobs.contains(aOrder.mRun.mTask.mJob)) {
      worker.mRuns[aOrder.mRun].mFails = true;
    }
  }
  return outcome;
}

// Checks the invariants at each start against the runs that the simulated workers hold.
void fleet_simulation::CheckStart(const start_run& aOrder, std::size_t aWorker)
{
  const task_id& task = aOrder.mRun.mTask;
  const auto addViolation = [&](std::string_view aWhat) {
    mViolations.push_back(fmt::format(
      "{}: run {} on {} at {} ms: {}", ToString(task), aOrder.mRun.mRun,
      mWorkers[aWorker]->mInfo.mId,
      std::chrono::duration_cast<milliseconds>(mNow.time_since_epoch()).count(), aWhat));
  };
  for (std::size_t i = 0; i < mWorkers.size(); ++i) {
    for (const auto& [other, run] : mWorkers[i]->mRuns) {
      if (other.mTask == task && other != aOrder.mRun) {
        addViolation("another run of the task is live");
      } else if (other.mTask == task && i != aWorker) {
        addViolation("the same run is live on two workers");
      }
    }
  }
  const work_job& job = mJobs.at(task.mJob);
  const work_step& step = job.mSteps.at(static_cast<std::size_t>(task.mStep));
  if (mAcknowledgedDone.contains(task) && !step.mLongRunning) {
    addViolation("started after its end was acknowledged");
  }
  if (!IsWithinLimit(job.mOrganisation)) {
    addViolation("the runs exceed the limit of organisation " + job.mOrganisation);
  }
  task_demand used;
  int siblings = 0;
  for (const auto& [other, run] : mWorkers[aWorker]->mRuns) {
    const work_job& owner = mJobs.at(other.mTask.mJob);
    used += owner.mSteps.at(static_cast<std::size_t>(other.mTask.mStep)).mDemand;
    siblings += other.mTask.mJob == task.mJob && other.mTask.mStep == task.mStep ? 1 : 0;
  }
  if (!FitsInto(used, mWorkers[aWorker]->mInfo.mCapacity)) {
    addViolation("the runs exceed the worker's capacity");
  }
  if (step.mPerWorkerLimit > 0 && siblings > step.mPerWorkerLimit) {
    addViolation("too many tasks of the step on one worker");
  }
  for (const int before : step.mAfter) {
    const work_step& earlier = job.mSteps.at(static_cast<std::size_t>(before));
    int done = 0;
    for (int i = 0; i < earlier.mCount; ++i) {
      done += mEndedDone.contains({ task.mJob, task.mOccurrence, before, i }) ? 1 : 0;
    }
    // A gang is done when one of its members is done.
    if (done < (earlier.mGang ? 1 : earlier.mCount)) {
      addViolation("started before a step that it depends on was done");
    }
  }
}

bool fleet_simulation::IsWithinLimit(const std::string& aOrganisation) const
{
  task_demand used;
  for (const auto& worker : mWorkers) {
    for (const run_id& run : worker->mRuns | std::views::keys) {
      const work_job& job = mJobs.at(run.mTask.mJob);
      used += job.mOrganisation == aOrganisation
                ? job.mSteps.at(static_cast<std::size_t>(run.mTask.mStep)).mDemand
                : task_demand{};
    }
  }
  const auto isWithin = [&](auto task_demand::* aResource) {
    for (std::size_t i = 0; i < mPolicies.size(); ++i) {
      const bool outdated = i + 1 < mPolicies.size() && mPolicies[i + 1].first + kLimitGrace < mNow;
      const auto policy = mPolicies[i].second.find(aOrganisation);
      const auto limit =
        policy == mPolicies[i].second.end() ? 0 : policy->second.mMaxInUse.*aResource;
      if (!outdated && (limit == 0 || used.*aResource <= limit)) {
        return true;
      }
    }
    return false;
  };
  return isWithin(&task_demand::mAccelerators) && isWithin(&task_demand::mMilliCores) &&
         isWithin(&task_demand::mMemoryMb);
}

void fleet_simulation::RecordAcknowledged(const simulated_worker& aWorker, std::int64_t aThrough)
{
  for (const listed_end& each : aWorker.mEnds) {
    if (each.mNumber <= aThrough && each.mEndKind == run_end::kDone &&
        !aWorker.mExpiredEnds.contains(each.mNumber)) {
      mAcknowledgedDone.insert(each.mRun.mTask);
    }
  }
}

void fleet_simulation::Poll(leader& aLeader)
{
  work_core& core = *aLeader.mCore;
  for (const std::string& id : core.Workers()) {
    const std::size_t index = IndexOf(id);
    instant& next = aLeader.mNextPoll[id];
    if (next > mNow || index >= mWorkers.size()) {
      continue;
    }
    const auto plan = core.PlanPoll(id, mNow);
    if (!plan) {
      continue;
    }
    next = mNow + kPollInterval;
    if (mPartitioned.contains(index) || Chance(mFaults.mLostPoll)) {
      core.OnPollFailed(id, mNow);
      continue;
    }
    RecordAcknowledged(*mWorkers[index], plan->mAcknowledged);
    const auto report = mWorkers[index]->Poll(*plan, aLeader.mEpoch, mNow);
    if (report) {
      core.OnReport(id, *report, mNow, mNow);
    }
  }
}

work_state fleet_simulation::StoredState(const std::string& aJob) const
{
  const auto record = mRecords.find(aJob);
  return record == mRecords.end() ? work_state::kQueued : ProgressState(record->second.mValue);
}

int fleet_simulation::Starts(const std::string& aJob) const
{
  const auto found = mStarts.find(aJob);
  return found == mStarts.end() ? 0 : found->second;
}

int fleet_simulation::Events(work_event_kind aKind, int aWorker) const
{
  const auto found =
    mWorkerEvents.find({ aKind, mWorkers.at(static_cast<std::size_t>(aWorker))->mInfo.mId });
  return found == mWorkerEvents.end() ? 0 : found->second;
}

int fleet_simulation::LiveRuns(const std::string& aJob) const
{
  int live = 0;
  for (const auto& worker : mWorkers) {
    live += static_cast<int>(std::ranges::count_if(
      worker->mRuns, [&](const auto& aRun) { return aRun.first.mTask.mJob == aJob; }));
  }
  return live;
}

bool fleet_simulation::AllFinished() const
{
  return std::ranges::all_of(mJobs | std::views::keys, [this](const std::string& aJob) {
    return IsFinal(StoredState(aJob));
  });
}

} // namespace briarwind::testing
