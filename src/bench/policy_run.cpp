#include "bench/policy_run.h"

#include "libjobs/resources.h"

#include <malloc.h>

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace briarwind::bench {

namespace {

using std::chrono::hours;

constexpr seconds kCheckpointSaveTime{ 5 };
constexpr seconds kCheckpointRestoreTime{ 60 };
constexpr minutes kSampleInterval{ 5 };
constexpr hours kMaxDrainTime{ 48 }; // for open jobs to end after the last arrival
// Time after the return of the withdrawn domain that counts as part of the withdrawal.
constexpr hours kAfterWithdrawal{ 1 };

double ToSeconds(duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/// The course of one job so far.
struct job_history
{
  const planned_job* mPlan = nullptr;
  instant mSubmitted;
  bool mHasRun = false;   ///< has been running at some time
  bool mHasEnded = false; ///< no longer open
};

/// The time that one member of a job runs on its worker.
struct task_span
{
  instant mFrom;
  int mAccelerators = 0;
  std::string mWorker;
};

/// Sums the useful work, in accelerator-seconds, between two instants.
struct work_window
{
  instant mFrom;
  instant mUntil;
  double mUsefulWork = 0;

  void Add(instant aFrom, instant aUntil, int aAccelerators)
  {
    const instant from = std::max(aFrom, mFrom);
    const instant until = std::min(aUntil, mUntil);
    if (until > from) {
      mUsefulWork += ToSeconds(until - from) * aAccelerators;
    }
  }
};

class policy_run
{
public:
  policy_run(const workload& aLoad, const job_options& aOptions,
             const workload_parameters& aParameters)
    : mLoad(aLoad)
    , mParameters(aParameters)
    , mOptions(aOptions)
    , mPlatform(aOptions, 1)
    , mBegin(mPlatform.Now())
  {
    mWithdrawalWindow.mFrom = mBegin + aLoad.mWithdrawnFrom;
    mWithdrawalWindow.mUntil = mBegin + aLoad.mWithdrawnUntil + kAfterWithdrawal;
    mRunWindow.mFrom = mBegin;
    mRunWindow.mUntil = mBegin + aParameters.mHours;
  }

  policy_figures Run()
  {
    SetUpPlatform();
    ScheduleEvents();
    mPlatform.RunUntil(mBegin + mParameters.mHours / 2);
    MeasureMemory();
    mPlatform.RunUntil(mBegin + mParameters.mHours);
    const instant end = mPlatform.Now() + kMaxDrainTime;
    while (mOpenJobs > 0 && mPlatform.Now() < end) {
      mPlatform.RunFor(minutes(10));
    }
    ComputeShares();
    return std::move(mFigures);
  }

private:
  void SetUpPlatform()
  {
    mSettings = mLoad.mSettings;
    mPlatform.Faults().mSaveTime = kCheckpointSaveTime;
    mPlatform.Faults().mLoadTime = kCheckpointRestoreTime;
    mPlatform.SetRuns(
      [this](const std::string& aJob) { return mHistories[aJob].mPlan->mActualRun; });
    mPlatform.SetObserver([this](const action& aAction) {
      std::visit([this](const auto& aTyped) { OnDecision(aTyped); }, aAction);
    });
    mPlatform.SetHandle([this](const event& aEvent, instant aNow) {
      OnEvent(aEvent);
      const auto begin = std::chrono::steady_clock::now();
      std::vector<action> actions = mPlatform.Core().Handle(aEvent, aNow);
      const auto took = std::chrono::steady_clock::now() - begin;
      if (!std::holds_alternative<tick>(aEvent) || !actions.empty()) {
        mFigures.mDecisionMicros.push_back(ToSeconds(took) * 1e6);
      }
      return actions;
    });
    mPlatform.SetWorkers(mLoad.mWorkers);
    mPlatform.Send(settings_changed{ mSettings });
    mPlatform.Send(freshness_changed{ true, {} });
    mPlatform.Send(epoch_gained{ 1 });
    mPlatform.Send(restored{ {}, mPlatform.Listings() });
  }

  void ScheduleEvents()
  {
    for (const planned_job& each : mLoad.mJobs) {
      mPlatform.At(mBegin + each.mArrivalTime, [this, &each] { Submit(each); });
    }
    for (const duration each : mLoad.mCancellationTimes) {
      mPlatform.At(mBegin + each, [this] { CancelSomeJobs(); });
    }
    mPlatform.At(mBegin + mLoad.mWithdrawnFrom, [this] { SetDomainWithdrawn(true); });
    mPlatform.At(mBegin + mLoad.mWithdrawnUntil, [this] { SetDomainWithdrawn(false); });
    mPlatform.At(mBegin + mLoad.mFailingFrom,
                 [this] { mPlatform.Workers()[mLoad.mFailingWorker].mFailsAll = true; });
    mPlatform.At(mBegin + mLoad.mFailingUntil,
                 [this] { mPlatform.Workers()[mLoad.mFailingWorker].mFailsAll = false; });
    for (duration at = kSampleInterval; at < mParameters.mHours; at += kSampleInterval) {
      mPlatform.At(mBegin + at, [this] { SampleFragmentation(); });
    }
  }

  void Submit(const planned_job& aJob)
  {
    mHistories[aJob.mSpec.mId] = { &aJob, mPlatform.Now(), false, false };
    ++mOpenJobs;
    mPlatform.Send(job_submitted{ ++mRequests, aJob.mSpec });
  }

  /// Cancels about one in twelve of the open jobs, chosen by a hash of their ids.
  void CancelSomeJobs()
  {
    std::vector<std::string> cancelledIds;
    for (const planned_job& each : mLoad.mJobs) {
      const auto position = mHistories.find(each.mSpec.mId);
      const bool open = position != mHistories.end() && !position->second.mHasEnded;
      if (open && std::hash<std::string>{}(each.mSpec.mId) % 12 == 0) {
        cancelledIds.push_back(each.mSpec.mId);
      }
    }
    for (const std::string& each : cancelledIds) {
      mPlatform.Send(job_cancelled{ each });
    }
  }

  void SetDomainWithdrawn(bool aWithdrawn)
  {
    domain_settings& domain = mSettings.mDomains[mLoad.mWithdrawnDomain];
    domain.mName = mLoad.mWithdrawnDomain;
    domain.mWithdrawn = aWithdrawn;
    ++mSettings.mRevision;
    mPlatform.Send(settings_changed{ mSettings });
  }

  // The overloads for actions record what the core decided.
  template<class Other>
  void OnDecision(const Other& /*aAction*/)
  {
  }

  void OnDecision(const start_lease& aStart)
  {
    const job_spec& spec = mHistories[aStart.mMember.mJob].mPlan->mSpec;
    if (spec.mShape.mAccelerators > 0) {
      mTasks[aStart.mLease] = { mPlatform.Now(), spec.mShape.mAccelerators, aStart.mWorker };
    }
  }

  void OnDecision(const stop_lease& aStop) { mStopping[MemberKey(aStop.mMember)] = aStop.mLease; }

  void OnDecision(const answer_submission& aAnswer)
  {
    if (aAnswer.mOutcome == submission_outcome::kImpossible) {
      MarkEnded(aAnswer.mJob);
    }
  }

  void OnDecision(const decision_note& aNote)
  {
    switch (aNote.mKind) {
      case decision_kind::kRunning:
        OnRunning(aNote.mJob);
        break;
      case decision_kind::kEvicted:
        ++mFigures.mEvictions;
        break;
      case decision_kind::kFinished:
        ++mFigures.mFinished;
        OnCompleted(aNote.mJob);
        break;
      case decision_kind::kFailed:
        ++mFigures.mFailed;
        MarkEnded(aNote.mJob);
        break;
      case decision_kind::kCancelled:
        ++mFigures.mCancelled;
        MarkEnded(aNote.mJob);
        break;
      case decision_kind::kOutcomeUnknown:
        MarkEnded(aNote.mJob);
        break;
      default:
        break;
    }
  }

  // Answers of workers, which end tasks.
  void OnEvent(const event& aEvent)
  {
    if (const auto* report = std::get_if<lease_report>(&aEvent)) {
      for (const lease_status& each : report->mLeases) {
        EndTask(each.mLease, each.mState == lease_state::kFinished);
      }
    } else if (const auto* stop = std::get_if<stop_finished>(&aEvent)) {
      const auto position = mStopping.find(MemberKey(stop->mMember));
      if (position != mStopping.end()) {
        EndTask(position->second, stop->mCheckpointed);
        mStopping.erase(position);
      }
    }
  }

  static std::string MemberKey(const member_id& aMember)
  {
    return aMember.mJob + "/" + std::to_string(aMember.mAttempt) + "/" +
           std::to_string(aMember.mMember);
  }

  void EndTask(const lease_id& aLease, bool aUseful)
  {
    const auto position = mTasks.find(aLease);
    if (position == mTasks.end()) {
      return;
    }
    const task_span& span = position->second;
    if (aUseful) {
      const bool remains =
        mPlatform.Workers()[span.mWorker].mInfo.mDomain != mLoad.mWithdrawnDomain;
      if (remains) {
        mWithdrawalWindow.Add(span.mFrom, mPlatform.Now(), span.mAccelerators);
      }
      mRunWindow.Add(span.mFrom, mPlatform.Now(), span.mAccelerators);
    }
    mTasks.erase(position);
  }

  void OnRunning(const std::string& aJob)
  {
    job_history& job = mHistories[aJob];
    if (job.mHasRun) {
      return;
    }
    job.mHasRun = true;
    const double waited = ToSeconds(mPlatform.Now() - job.mSubmitted);
    mFigures.mWait[static_cast<std::size_t>(job.mPlan->mClass)].push_back(waited);
    if (job.mPlan->mSpec.mUrgent) {
      mFigures.mUrgentStart.push_back(waited);
    }
    if (job.mPlan->mSpec.mGuaranteed && !mPlatform.Core().Explain(aJob)->mCell.empty()) {
      mFigures.mReclaim.push_back(waited);
    }
  }

  void OnCompleted(const std::string& aJob)
  {
    const job_history& job = mHistories[aJob];
    mFigures.mCompletion[static_cast<std::size_t>(job.mPlan->mClass)].push_back(
      ToSeconds(mPlatform.Now() - job.mSubmitted));
    MarkEnded(aJob);
  }

  void MarkEnded(const std::string& aJob)
  {
    job_history& job = mHistories[aJob];
    if (!job.mHasEnded) {
      job.mHasEnded = true;
      --mOpenJobs;
    }
  }

  /// Adds a sample of the share of the free accelerators that the largest waiting gang cannot use.
  void SampleFragmentation()
  {
    const job_spec* largest = nullptr;
    for (const auto& [name, job] : mHistories) {
      const job_spec& spec = job.mPlan->mSpec;
      const bool isWaiting = !job.mHasEnded && !job.mHasRun && spec.mShape.mAccelerators > 0;
      const auto accelerators = [](const job_spec& aSpec) {
        return aSpec.mMembers * aSpec.mShape.mAccelerators;
      };
      if (isWaiting && (largest == nullptr || accelerators(spec) > accelerators(*largest))) {
        largest = &spec;
      }
    }
    if (largest == nullptr) {
      return;
    }
    std::map<std::string, int> used;
    for (const auto& [lease, span] : mTasks) {
      used[span.mWorker] += span.mAccelerators;
    }
    int free = 0;
    std::map<std::string, int> usable;
    for (const worker_info& each : mLoad.mWorkers) {
      const auto domain = mSettings.mDomains.find(each.mDomain);
      if (domain != mSettings.mDomains.end() && domain->second.mWithdrawn) {
        continue;
      }
      const int freeHere = std::max(0, each.mCapacity.mAccelerators - used[each.mName]);
      free += freeHere;
      const std::string group = largest->mAdjacency == adjacency::kWorker ? each.mName
                                : largest->mAdjacency == adjacency::kRack
                                  ? each.mDomain + "/" + each.mRack
                                : largest->mAdjacency == adjacency::kDomain ? each.mDomain
                                                                            : std::string();
      usable[group] += freeHere / largest->mShape.mAccelerators * largest->mShape.mAccelerators;
    }
    if (free > 0) {
      const auto best =
        std::ranges::max_element(usable, {}, [](const auto& aGroup) { return aGroup.second; });
      mFragmentationSum += 1 - static_cast<double>(best->second) / free;
      ++mFragmentationSamples;
    }
  }

  /// Measures the heap of a second core that takes over the state of the store and the workers.
  void MeasureMemory()
  {
    const std::vector<restored_record> records = mPlatform.Records();
    std::vector<restored_record> open;
    std::ranges::copy_if(records, std::back_inserter(open), [](const restored_record& aRecord) {
      return !IsFinal(aRecord.mRecord.mState);
    });
    std::vector<worker_listing> listings = mPlatform.Listings();
    for (worker_listing& each : listings) {
      mFigures.mTasksInMiddle += static_cast<int>(
        std::ranges::count(each.mLeases, lease_state::kRunning, &listed_lease::mState));
    }
    mFigures.mJobsInMiddle = static_cast<int>(open.size());
    const event takeover = restored{ std::move(open), std::move(listings) };
    const std::size_t before = mallinfo2().uordblks;
    job_core secondCore(mOptions);
    secondCore.Handle(workers_changed{ mLoad.mWorkers }, mPlatform.Now());
    secondCore.Handle(settings_changed{ mSettings }, mPlatform.Now());
    secondCore.Handle(epoch_gained{ 2 }, mPlatform.Now());
    secondCore.Handle(takeover, mPlatform.Now());
    mFigures.mCoreMegabytes =
      (static_cast<double>(mallinfo2().uordblks) - static_cast<double>(before)) / 1e6;
  }

  void ComputeShares()
  {
    double totalCapacity = 0;
    double remainingCapacity = 0;
    for (const worker_info& each : mLoad.mWorkers) {
      totalCapacity += each.mCapacity.mAccelerators;
      remainingCapacity +=
        each.mDomain == mLoad.mWithdrawnDomain ? 0 : each.mCapacity.mAccelerators;
    }
    mFigures.mWithdrawalWork =
      mWithdrawalWindow.mUsefulWork /
      (remainingCapacity * ToSeconds(mWithdrawalWindow.mUntil - mWithdrawalWindow.mFrom));
    mFigures.mRunWork = mRunWindow.mUsefulWork / (totalCapacity * ToSeconds(mParameters.mHours));
    mFigures.mFragmentation =
      mFragmentationSamples > 0 ? mFragmentationSum / mFragmentationSamples : 0;
    mFigures.mUnfinished = mOpenJobs;
    mFigures.mEvents = mPlatform.EventsHandled();
  }

  const workload& mLoad;
  const workload_parameters& mParameters;
  job_options mOptions;
  fakes::fake_platform mPlatform;
  instant mBegin;
  settings_view mSettings;
  policy_figures mFigures;
  std::unordered_map<std::string, job_history> mHistories;
  std::unordered_map<lease_id, task_span> mTasks;
  std::unordered_map<std::string, lease_id> mStopping;
  work_window mWithdrawalWindow;
  work_window mRunWindow;
  double mFragmentationSum = 0;
  int mFragmentationSamples = 0;
  int mOpenJobs = 0;
  std::uint64_t mRequests = 0;
};

} // namespace

job_options OptionsWithoutRenewals()
{
  job_options options;
  options.mTick = milliseconds(200);
  options.mLeaseTimeToLive = hours(24 * 30);
  options.mRenewInterval = hours(24 * 30);
  return options;
}

policy_figures RunPolicy(const workload& aLoad, const job_options& aOptions,
                         const workload_parameters& aParameters)
{
  return policy_run(aLoad, aOptions, aParameters).Run();
}

} // namespace briarwind::bench
