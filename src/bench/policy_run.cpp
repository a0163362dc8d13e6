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

constexpr seconds kSaveTime{ 5 };  // of a checkpoint
constexpr seconds kLoadTime{ 60 }; // until a resumed task is where it was
constexpr minutes kSampleEvery{ 5 };
constexpr hours kLongestDrain{ 48 };
constexpr hours kAfterReturn{ 1 }; // counts as part of the withdrawal

double Seconds(duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/// What one job went through.
struct job_history
{
  const planned_job* mPlan = nullptr;
  instant mSubmitted;
  bool mRan = false;
  bool mOver = false;
};

/// One member's time on its worker.
struct task_span
{
  instant mFrom;
  int mAccelerators = 0;
  std::string mWorker;
};

/// Useful accelerator-seconds between two instants.
struct work_window
{
  instant mFrom;
  instant mUntil;
  double mDone = 0;

  void Add(instant aFrom, instant aUntil, int aAccelerators)
  {
    const instant from = std::max(aFrom, mFrom);
    const instant until = std::min(aUntil, mUntil);
    if (until > from) {
      mDone += Seconds(until - from) * aAccelerators;
    }
  }
};

class policy_run
{
public:
  policy_run(const workload& aLoad, const job_options& aOptions, const workload_knobs& aKnobs)
    : mLoad(aLoad)
    , mKnobs(aKnobs)
    , mOptions(aOptions)
    , mPlatform(aOptions, 1)
    , mBegin(mPlatform.Now())
  {
    mOutWindow.mFrom = mBegin + aLoad.mOutFrom;
    mOutWindow.mUntil = mBegin + aLoad.mOutUntil + kAfterReturn;
    mWholeWindow.mFrom = mBegin;
    mWholeWindow.mUntil = mBegin + aKnobs.mHours;
  }

  policy_figures Run()
  {
    Prepare();
    Plan();
    mPlatform.RunUntil(mBegin + mKnobs.mHours / 2);
    MeasureMemory();
    mPlatform.RunUntil(mBegin + mKnobs.mHours);
    const instant end = mPlatform.Now() + kLongestDrain;
    while (mOpenJobs > 0 && mPlatform.Now() < end) {
      mPlatform.RunFor(minutes(10));
    }
    Finish();
    return std::move(mFigures);
  }

private:
  void Prepare()
  {
    mSettings = mLoad.mSettings;
    mPlatform.Faults().mSaveTime = kSaveTime;
    mPlatform.Faults().mLoadTime = kLoadTime;
    mPlatform.SetRuns([this](const std::string& aJob) { return mJobs[aJob].mPlan->mTruth; });
    mPlatform.SetObserver([this](const action& aAction) {
      std::visit([this](const auto& aTyped) { See(aTyped); }, aAction);
    });
    mPlatform.SetHandle([this](const event& aEvent, instant aNow) {
      See(aEvent);
      const auto begin = std::chrono::steady_clock::now();
      std::vector<action> actions = mPlatform.Core().Handle(aEvent, aNow);
      const auto took = std::chrono::steady_clock::now() - begin;
      if (!std::holds_alternative<tick>(aEvent) || !actions.empty()) {
        mFigures.mDecisionMicros.push_back(Seconds(took) * 1e6);
      }
      return actions;
    });
    mPlatform.SetWorkers(mLoad.mWorkers);
    mPlatform.Send(settings_changed{ mSettings });
    mPlatform.Send(freshness_changed{ true, {} });
    mPlatform.Send(epoch_gained{ 1 });
    mPlatform.Send(restored{ {}, mPlatform.Listings() });
  }

  void Plan()
  {
    for (const planned_job& each : mLoad.mJobs) {
      mPlatform.At(mBegin + each.mArrives, [this, &each] { Submit(each); });
    }
    for (const duration each : mLoad.mCancelWaves) {
      mPlatform.At(mBegin + each, [this] { CancelWave(); });
    }
    mPlatform.At(mBegin + mLoad.mOutFrom, [this] { SetWithdrawn(true); });
    mPlatform.At(mBegin + mLoad.mOutUntil, [this] { SetWithdrawn(false); });
    mPlatform.At(mBegin + mLoad.mBadFrom,
                 [this] { mPlatform.Workers()[mLoad.mBadWorker].mFailsAll = true; });
    mPlatform.At(mBegin + mLoad.mBadUntil,
                 [this] { mPlatform.Workers()[mLoad.mBadWorker].mFailsAll = false; });
    for (duration at = kSampleEvery; at < mKnobs.mHours; at += kSampleEvery) {
      mPlatform.At(mBegin + at, [this] { SampleFragmentation(); });
    }
  }

  void Submit(const planned_job& aJob)
  {
    mJobs[aJob.mSpec.mId] = { &aJob, mPlatform.Now(), false, false };
    ++mOpenJobs;
    mPlatform.Send(job_submitted{ ++mRequests, aJob.mSpec });
  }

  /// One in twelve of the open jobs is cancelled at once.
  void CancelWave()
  {
    std::vector<std::string> chosen;
    for (const planned_job& each : mLoad.mJobs) {
      const auto found = mJobs.find(each.mSpec.mId);
      const bool open = found != mJobs.end() && !found->second.mOver;
      if (open && std::hash<std::string>{}(each.mSpec.mId) % 12 == 0) {
        chosen.push_back(each.mSpec.mId);
      }
    }
    for (const std::string& each : chosen) {
      mPlatform.Send(job_cancelled{ each });
    }
  }

  void SetWithdrawn(bool aWithdrawn)
  {
    domain_settings& domain = mSettings.mDomains[mLoad.mWithdrawn];
    domain.mName = mLoad.mWithdrawn;
    domain.mWithdrawn = aWithdrawn;
    ++mSettings.mRevision;
    mPlatform.Send(settings_changed{ mSettings });
  }

  // What the core decided.
  template<class Other>
  void See(const Other& /*aAction*/)
  {
  }

  void See(const start_lease& aStart)
  {
    const job_spec& spec = mJobs[aStart.mMember.mJob].mPlan->mSpec;
    if (spec.mShape.mAccelerators > 0) {
      mTasks[aStart.mLease] = { mPlatform.Now(), spec.mShape.mAccelerators, aStart.mWorker };
    }
  }

  void See(const stop_lease& aStop) { mStopping[MemberKey(aStop.mMember)] = aStop.mLease; }

  void See(const answer_submission& aAnswer)
  {
    if (aAnswer.mOutcome == submission_outcome::kImpossible) {
      Over(aAnswer.mJob);
    }
  }

  void See(const decision_note& aNote)
  {
    switch (aNote.mKind) {
      case decision_kind::kRunning:
        Running(aNote.mJob);
        break;
      case decision_kind::kEvicted:
        ++mFigures.mEvictions;
        break;
      case decision_kind::kFinished:
        ++mFigures.mFinished;
        Completed(aNote.mJob);
        break;
      case decision_kind::kFailed:
        ++mFigures.mFailed;
        Over(aNote.mJob);
        break;
      case decision_kind::kCancelled:
        ++mFigures.mCancelled;
        Over(aNote.mJob);
        break;
      case decision_kind::kUnknownFate:
        Over(aNote.mJob);
        break;
      default:
        break;
    }
  }

  // What the workers answered: that is where work ends.
  void See(const event& aEvent)
  {
    if (const auto* report = std::get_if<lease_report>(&aEvent)) {
      for (const lease_status& each : report->mLeases) {
        EndTask(each.mLease, each.mState == lease_state::kFinished);
      }
    } else if (const auto* stop = std::get_if<stop_finished>(&aEvent)) {
      const auto found = mStopping.find(MemberKey(stop->mMember));
      if (found != mStopping.end()) {
        EndTask(found->second, stop->mCheckpointed);
        mStopping.erase(found);
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
    const auto found = mTasks.find(aLease);
    if (found == mTasks.end()) {
      return;
    }
    const task_span& span = found->second;
    if (aUseful) {
      const bool stays = mPlatform.Workers()[span.mWorker].mInfo.mDomain != mLoad.mWithdrawn;
      if (stays) {
        mOutWindow.Add(span.mFrom, mPlatform.Now(), span.mAccelerators);
      }
      mWholeWindow.Add(span.mFrom, mPlatform.Now(), span.mAccelerators);
    }
    mTasks.erase(found);
  }

  void Running(const std::string& aJob)
  {
    job_history& job = mJobs[aJob];
    if (job.mRan) {
      return;
    }
    job.mRan = true;
    const double waited = Seconds(mPlatform.Now() - job.mSubmitted);
    mFigures.mWait[static_cast<std::size_t>(job.mPlan->mClass)].push_back(waited);
    if (job.mPlan->mSpec.mUrgent) {
      mFigures.mUrgentStart.push_back(waited);
    }
    if (job.mPlan->mSpec.mGuaranteed && !mPlatform.Core().Explain(aJob)->mCell.empty()) {
      mFigures.mReclaim.push_back(waited);
    }
  }

  void Completed(const std::string& aJob)
  {
    const job_history& job = mJobs[aJob];
    mFigures.mCompletion[static_cast<std::size_t>(job.mPlan->mClass)].push_back(
      Seconds(mPlatform.Now() - job.mSubmitted));
    Over(aJob);
  }

  void Over(const std::string& aJob)
  {
    job_history& job = mJobs[aJob];
    if (!job.mOver) {
      job.mOver = true;
      --mOpenJobs;
    }
  }

  /// Share of the free accelerators that the largest waiting gang could not use.
  void SampleFragmentation()
  {
    const job_spec* largest = nullptr;
    for (const auto& [name, job] : mJobs) {
      const job_spec& spec = job.mPlan->mSpec;
      const bool waits = !job.mOver && !job.mRan && spec.mShape.mAccelerators > 0;
      const auto size = [](const job_spec& aSpec) {
        return aSpec.mMembers * aSpec.mShape.mAccelerators;
      };
      if (waits && (largest == nullptr || size(spec) > size(*largest))) {
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
      const int here = std::max(0, each.mCapacity.mAccelerators - used[each.mName]);
      free += here;
      const std::string group = largest->mAdjacency == adjacency::kWorker ? each.mName
                                : largest->mAdjacency == adjacency::kRack
                                  ? each.mDomain + "/" + each.mRack
                                : largest->mAdjacency == adjacency::kDomain ? each.mDomain
                                                                            : std::string();
      usable[group] += here / largest->mShape.mAccelerators * largest->mShape.mAccelerators;
    }
    if (free > 0) {
      const auto best =
        std::ranges::max_element(usable, {}, [](const auto& aGroup) { return aGroup.second; });
      mFragmentationSum += 1 - static_cast<double>(best->second) / free;
      ++mFragmentationSamples;
    }
  }

  /// Builds a second core from what the store and the workers hold, and sees what it takes.
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
    job_core second(mOptions);
    second.Handle(workers_changed{ mLoad.mWorkers }, mPlatform.Now());
    second.Handle(settings_changed{ mSettings }, mPlatform.Now());
    second.Handle(epoch_gained{ 2 }, mPlatform.Now());
    second.Handle(takeover, mPlatform.Now());
    mFigures.mCoreMegabytes =
      (static_cast<double>(mallinfo2().uordblks) - static_cast<double>(before)) / 1e6;
  }

  void Finish()
  {
    double total = 0;
    double remaining = 0;
    for (const worker_info& each : mLoad.mWorkers) {
      total += each.mCapacity.mAccelerators;
      remaining += each.mDomain == mLoad.mWithdrawn ? 0 : each.mCapacity.mAccelerators;
    }
    mFigures.mWithdrawalWork =
      mOutWindow.mDone / (remaining * Seconds(mOutWindow.mUntil - mOutWindow.mFrom));
    mFigures.mRunWork = mWholeWindow.mDone / (total * Seconds(mKnobs.mHours));
    mFigures.mFragmentation =
      mFragmentationSamples > 0 ? mFragmentationSum / mFragmentationSamples : 0;
    mFigures.mUnfinished = mOpenJobs;
    mFigures.mEvents = mPlatform.EventsHandled();
  }

  const workload& mLoad;
  const workload_knobs& mKnobs;
  job_options mOptions;
  fakes::fake_platform mPlatform;
  instant mBegin;
  settings_view mSettings;
  policy_figures mFigures;
  std::unordered_map<std::string, job_history> mJobs;
  std::unordered_map<lease_id, task_span> mTasks;
  std::unordered_map<std::string, lease_id> mStopping;
  work_window mOutWindow;
  work_window mWholeWindow;
  double mFragmentationSum = 0;
  int mFragmentationSamples = 0;
  int mOpenJobs = 0;
  std::uint64_t mRequests = 0;
};

} // namespace

job_options QuietOptions()
{
  job_options options;
  options.mTick = milliseconds(200);
  options.mLeaseTimeToLive = hours(24 * 30);
  options.mRenewEvery = hours(24 * 30);
  return options;
}

policy_figures RunPolicy(const workload& aLoad, const job_options& aOptions,
                         const workload_knobs& aKnobs)
{
  return policy_run(aLoad, aOptions, aKnobs).Run();
}

} // namespace briarwind::bench
