#pragma once

#include "briarwind/job_core.h"

#include "libjobs/resources.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// Simulated workers and a simulated store on a virtual clock. They perform the actions of the core
/// and answer late, with a refusal or not at all, according to fault rates. Used by tests and by
/// the policy benchmark.

namespace briarwind::fakes {

/// Probabilities of faults, from 0 to 1 for each call, and durations.
struct fault_rates
{
  double mRefuse = 0;     ///< a worker refuses the call
  double mLoseCall = 0;   ///< the call has no effect and no answer
  double mLoseAnswer = 0; ///< the call takes effect, but its answer is lost
  milliseconds mMinDelay{ 1 };
  milliseconds mMaxDelay{ 1 };
  milliseconds mSaveTime{ 0 }; ///< added to a stop with a checkpoint
  milliseconds mLoadTime{ 0 }; ///< added to the run time of a task that resumes
};

/// Actual run time and outcome of a task.
struct true_run
{
  milliseconds mTime{ 0 };
  bool mFails = false;
};

struct fake_lease
{
  lease_id mLease;
  member_id mMember;
  resource_shape mShape;
  lease_state mState = lease_state::kReserved;
  instant mExpires;
  instant mStarted;
  milliseconds mResumedFrom{ 0 };
  instant mEndsAt;
  bool mEndFails = false;
};

struct fake_worker
{
  worker_info mInfo;
  bool mReachable = true;
  bool mAlive = true;
  bool mFailsAll = false;
  std::map<lease_id, fake_lease> mLeases;
};

class fake_platform
{
public:
  using run_function = std::function<true_run(const std::string& aJob)>;

  fake_platform(const job_options& aOptions, std::uint64_t aSeed)
    : mCore(aOptions)
    , mOptions(aOptions)
    , mRandom(aSeed)
  {
  }

  job_core& Core() { return mCore; }
  instant Now() const { return mNow; }
  std::map<std::string, fake_worker>& Workers() { return mWorkers; }
  std::map<std::string, restored_record>& Store() { return mStore; }
  fault_rates& Faults() { return mFaults; }
  void SetRuns(run_function aRuns) { mRuns = std::move(aRuns); }
  /// Sets a function that is called with each action before it takes effect.
  void SetObserver(std::function<void(const action&)> aObserver)
  {
    mObserver = std::move(aObserver);
  }
  /// Sets a function that is called after each event and its actions.
  void SetAfterEvent(std::function<void()> aCheck) { mAfterEvent = std::move(aCheck); }
  /// Sets a function that is called instead of `job_core::Handle`, for measurements.
  void SetHandle(std::function<std::vector<action>(const event&, instant)> aHandle)
  {
    mHandle = std::move(aHandle);
  }
  void SetStoreUp(bool aUp)
  {
    mStoreUp = aUp;
    Send(store_reachable{ aUp });
  }
  /// Whether workers report the end of a task at once instead of with the next renewal.
  void ReportEndsAtOnce(bool aAtOnce) { mReportEndsAtOnce = aAtOnce; }
  std::uint64_t EventsHandled() const { return mEvents; }

  void SetWorkers(const std::vector<worker_info>& aWorkers)
  {
    for (const worker_info& each : aWorkers) {
      mWorkers[each.mName].mInfo = each;
    }
    Send(workers_changed{ aWorkers });
  }

  /// Passes an event to the core at the present instant and performs the resulting actions.
  void Send(const event& aEvent)
  {
    ++mEvents;
    std::vector<action> actions = mHandle ? mHandle(aEvent, mNow) : mCore.Handle(aEvent, mNow);
    for (action& each : actions) {
      if (mObserver) {
        mObserver(each);
      }
      std::visit([this](auto& aTyped) { Perform(aTyped); }, each);
    }
    if (mAfterEvent) {
      mAfterEvent();
    }
  }

  void At(instant aWhen, std::function<void()> aDo)
  {
    mQueue.emplace(std::max(aWhen, mNow), std::move(aDo));
  }

  /// Advances the clock to the instant and sends ticks on the way.
  void RunUntil(instant aWhen)
  {
    while (mNow < aWhen) {
      const instant nextTick = mLastTick + mOptions.mTick;
      const instant next = std::min(nextTick, aWhen);
      RunQueue(next);
      mNow = next;
      if (next == nextTick) {
        mLastTick = nextTick;
        Send(tick{});
      }
    }
  }
  void RunFor(duration aTime) { RunUntil(mNow + aTime); }

  /// Runs everything that is due up to the instant, without ticks.
  void RunQueue(instant aUntil)
  {
    while (!mQueue.empty() && mQueue.begin()->first <= aUntil) {
      mNow = std::max(mNow, mQueue.begin()->first);
      const std::function<void()> next = std::move(mQueue.begin()->second);
      mQueue.erase(mQueue.begin());
      next();
    }
  }
  bool Idle() const { return mQueue.empty(); }
  instant NextEvent() const { return mQueue.begin()->first; }

  /// The leases on a worker that are reserved or running at present.
  std::vector<fake_lease> HeldLeases(fake_worker& aWorker)
  {
    std::vector<fake_lease> held;
    for (auto& [name, lease] : aWorker.mLeases) {
      UpdateLease(aWorker, lease);
      if (IsHeld(lease)) {
        held.push_back(lease);
      }
    }
    return held;
  }

  std::vector<worker_listing> Listings()
  {
    std::vector<worker_listing> all;
    for (auto& [name, worker] : mWorkers) {
      if (!worker.mReachable || !worker.mAlive) {
        continue;
      }
      worker_listing& listing = all.emplace_back();
      listing.mWorker = name;
      for (auto& [id, lease] : worker.mLeases) {
        UpdateLease(worker, lease);
        listing.mLeases.push_back({ id, lease.mMember.mJob, lease.mMember.mAttempt,
                                    lease.mMember.mMember, 1, lease.mState, ProgressOf(lease) });
      }
    }
    return all;
  }

  std::vector<restored_record> Records() const
  {
    std::vector<restored_record> all;
    for (const auto& [name, record] : mStore) {
      all.push_back(record);
    }
    return all;
  }

  std::mt19937_64& Random() { return mRandom; }
  bool Chance(double aChance)
  {
    return aChance > 0 && std::uniform_real_distribution<double>(0, 1)(mRandom) < aChance;
  }
  /// Replaces the core by a new one that takes over, as after a crash. Answers in flight are lost.
  void Restart(epoch_number aEpoch, const settings_view& aSettings,
               const std::vector<worker_info>& aWorkers)
  {
    ++mGeneration;
    mCore = job_core(mOptions);
    Send(settings_changed{ aSettings });
    Send(workers_changed{ aWorkers });
    Send(store_reachable{ mStoreUp });
    Send(freshness_changed{ true, {} });
    Send(epoch_gained{ aEpoch });
    Send(restored{ Records(), Listings() });
  }

private:
  static bool IsHeld(const fake_lease& aLease)
  {
    return aLease.mState == lease_state::kReserved || aLease.mState == lease_state::kRunning;
  }

  milliseconds ProgressOf(const fake_lease& aLease) const
  {
    if (aLease.mStarted == instant{}) {
      return milliseconds(0);
    }
    return std::chrono::duration_cast<milliseconds>(std::min(mNow, aLease.mEndsAt) -
                                                    aLease.mStarted);
  }

  /// Updates the state of a lease to the present instant.
  void UpdateLease(const fake_worker& aWorker, fake_lease& aLease)
  {
    if (!IsHeld(aLease)) {
      return;
    }
    const bool runs = aLease.mState == lease_state::kRunning;
    if (runs && aLease.mEndsAt <= mNow && aLease.mEndsAt <= aLease.mExpires) {
      aLease.mState = aLease.mEndFails ? lease_state::kFailed : lease_state::kFinished;
    } else if (aLease.mExpires <= mNow || !aWorker.mAlive) {
      aLease.mState = lease_state::kLapsed;
    }
  }

  /// Sends an answer to the core after a random delay, unless the core has been replaced by then.
  void SendLater(event aAnswer, milliseconds aExtra = milliseconds(0))
  {
    std::uniform_int_distribution<std::int64_t> delay(mFaults.mMinDelay.count(),
                                                      mFaults.mMaxDelay.count());
    const std::uint64_t generation = mGeneration;
    At(mNow + aExtra + milliseconds(delay(mRandom)),
       [this, generation, answer = std::move(aAnswer)] {
         if (generation == mGeneration) {
           Send(answer);
         }
       });
  }

  enum class call_fate : std::uint8_t
  {
    kDone,
    kRefused,
    kLost,
    kAnswerLost,
  };

  call_fate DrawCallFate(const fake_worker& aWorker)
  {
    if (!aWorker.mReachable || !aWorker.mAlive || Chance(mFaults.mLoseCall)) {
      return call_fate::kLost;
    }
    if (Chance(mFaults.mRefuse)) {
      return call_fate::kRefused;
    }
    return Chance(mFaults.mLoseAnswer) ? call_fate::kAnswerLost : call_fate::kDone;
  }

  static call_outcome OutcomeOf(call_fate aFate)
  {
    switch (aFate) {
      case call_fate::kDone:
        return call_outcome::kOk;
      case call_fate::kRefused:
        return call_outcome::kRefused;
      case call_fate::kLost:
      case call_fate::kAnswerLost:
        return call_outcome::kUnknown;
    }
    return call_outcome::kUnknown;
  }

  void Perform(reserve_lease& aAction)
  {
    fake_worker& worker = mWorkers[aAction.mWorker];
    const call_fate fate = DrawCallFate(worker);
    reserve_finished answer{ aAction.mMember, OutcomeOf(fate), {}, {} };
    if (fate == call_fate::kDone || fate == call_fate::kAnswerLost) {
      fake_lease lease;
      lease.mLease = "l" + std::to_string(++mNextLease);
      lease.mMember = aAction.mMember;
      lease.mShape = aAction.mShape;
      lease.mExpires = mNow + aAction.mTimeToLive;
      answer.mLease = fate == call_fate::kDone ? lease.mLease : lease_id();
      worker.mLeases[lease.mLease] = std::move(lease);
    }
    answer.mReason = fate == call_fate::kRefused ? "busy" : "";
    SendLater(std::move(answer));
  }

  void Perform(start_lease& aAction)
  {
    fake_worker& worker = mWorkers[aAction.mWorker];
    call_fate fate = DrawCallFate(worker);
    const auto found = worker.mLeases.find(aAction.mLease);
    if (found != worker.mLeases.end()) {
      UpdateLease(worker, found->second);
    }
    const bool holds = found != worker.mLeases.end() && IsHeld(found->second);
    if (fate == call_fate::kDone && !holds) {
      fate = call_fate::kRefused;
    }
    const bool takes = fate == call_fate::kDone || fate == call_fate::kAnswerLost;
    if (takes && holds && found->second.mState == lease_state::kReserved) {
      BeginRun(worker, found->second, aAction);
    }
    if (fate == call_fate::kRefused && holds && found->second.mState == lease_state::kRunning) {
      fate = call_fate::kDone; // an earlier call started the task
    } else if (fate == call_fate::kRefused && holds) {
      found->second.mState = lease_state::kLapsed; // later starts are refused as well
    }
    SendLater(start_finished{ aAction.mMember, OutcomeOf(fate) });
  }

  void BeginRun(fake_worker& aWorker, fake_lease& aLease, const start_lease& aAction)
  {
    const true_run run = mRuns ? mRuns(aAction.mMember.mJob) : true_run{ seconds(10), false };
    aLease.mState = lease_state::kRunning;
    aLease.mStarted = mNow;
    aLease.mResumedFrom = aAction.mResumeFrom;
    aLease.mExpires = mNow + aAction.mTimeToLive;
    aLease.mEndFails = run.mFails || aWorker.mFailsAll;
    const bool resumes = aAction.mResumeFrom > milliseconds(0);
    const milliseconds left = std::max(run.mTime - aAction.mResumeFrom, milliseconds(1)) +
                              (resumes ? mFaults.mLoadTime : milliseconds(0));
    aLease.mEndsAt = mNow + (aWorker.mFailsAll ? std::min<milliseconds>(left, seconds(1)) : left);
    if (mReportEndsAtOnce) {
      At(aLease.mEndsAt, [this, worker = &aWorker, id = aLease.mLease] { ReportEnd(*worker, id); });
    }
  }

  void ReportEnd(fake_worker& aWorker, const lease_id& aLease)
  {
    const auto found = aWorker.mLeases.find(aLease);
    if (found == aWorker.mLeases.end() || !aWorker.mReachable) {
      return;
    }
    UpdateLease(aWorker, found->second);
    const lease_state state = found->second.mState;
    if (state == lease_state::kFinished || state == lease_state::kFailed) {
      Send(lease_report{ aWorker.mInfo.mName, { { aLease, state, ProgressOf(found->second) } } });
    }
  }

  void Perform(stop_lease& aAction)
  {
    EndLease(aAction.mMember, aAction.mWorker, aAction.mLease, aAction.mCheckpointBound);
  }

  void Perform(release_lease& aAction)
  {
    EndLease(aAction.mMember, aAction.mWorker, aAction.mLease, milliseconds(0));
  }

  void EndLease(const member_id& aMember, const std::string& aWorker, const lease_id& aLease,
                milliseconds aBound)
  {
    fake_worker& worker = mWorkers[aWorker];
    const call_fate fate = DrawCallFate(worker);
    stop_finished answer{ aMember, OutcomeOf(fate), false, milliseconds(0) };
    const auto found = worker.mLeases.find(aLease);
    const bool reaches = fate == call_fate::kDone || fate == call_fate::kAnswerLost;
    if (found == worker.mLeases.end()) {
      answer.mOutcome = reaches ? call_outcome::kRefused : call_outcome::kUnknown;
    } else if (reaches) {
      UpdateLease(worker, found->second);
      answer.mCheckpointed =
        aBound > milliseconds(0) && found->second.mState == lease_state::kRunning;
      answer.mProgress = ProgressOf(found->second);
      if (IsHeld(found->second)) {
        found->second.mState = lease_state::kStopped;
      }
    } else if (fate == call_fate::kRefused) {
      // Workers never refuse the stop of a lease that they have.
      answer.mOutcome = call_outcome::kUnknown;
    }
    const milliseconds extra =
      answer.mCheckpointed ? std::min(mFaults.mSaveTime, aBound) : milliseconds(0);
    answer.mCheckpointed = answer.mCheckpointed && mFaults.mSaveTime <= aBound;
    SendLater(std::move(answer), extra);
  }

  void Perform(forget_lease& aAction) { mWorkers[aAction.mWorker].mLeases.erase(aAction.mLease); }

  void Perform(renew_leases& aAction)
  {
    fake_worker& worker = mWorkers[aAction.mWorker];
    const call_fate fate = DrawCallFate(worker);
    if (fate == call_fate::kLost || fate == call_fate::kRefused) {
      return;
    }
    lease_report report{ aAction.mWorker, {} };
    for (const lease_id& each : aAction.mLeases) {
      const auto found = worker.mLeases.find(each);
      if (found == worker.mLeases.end()) {
        report.mLeases.push_back({ each, lease_state::kUnknown, milliseconds(0) });
        continue;
      }
      UpdateLease(worker, found->second);
      if (IsHeld(found->second)) {
        found->second.mExpires = mNow + aAction.mTimeToLive;
      }
      report.mLeases.push_back({ each, found->second.mState, ProgressOf(found->second) });
    }
    if (fate == call_fate::kDone) {
      SendLater(std::move(report));
    }
  }

  void Perform(record_job& aAction)
  {
    const std::string& name = aAction.mRecord.mSpec.mId;
    record_finished answer{ name, aAction.mRecord.mChange, record_outcome::kUnknown, 0, {} };
    const bool lostCall = !mStoreUp || Chance(mFaults.mLoseCall);
    if (lostCall) {
      SendLater(std::move(answer));
      return;
    }
    restored_record& stored = mStore[name];
    if (stored.mRevision != aAction.mExpected) {
      answer.mOutcome = record_outcome::kConflict;
      answer.mRevision = stored.mRevision;
      answer.mCurrent = stored.mRecord;
    } else {
      stored.mRecord = aAction.mRecord;
      stored.mRevision = ++mRevision;
      answer.mOutcome = record_outcome::kOk;
      answer.mRevision = stored.mRevision;
    }
    if (Chance(mFaults.mLoseAnswer)) {
      answer.mOutcome = record_outcome::kUnknown;
    }
    SendLater(std::move(answer));
  }

  void Perform(answer_submission& /*aAction*/) {}
  void Perform(decision_note& /*aAction*/) {}

  job_core mCore;
  job_options mOptions;
  std::mt19937_64 mRandom;
  instant mNow{ seconds(1000) };
  instant mLastTick{ seconds(1000) };
  std::multimap<instant, std::function<void()>> mQueue;
  std::map<std::string, fake_worker> mWorkers;
  std::map<std::string, restored_record> mStore;
  store_revision mRevision = 0;
  bool mStoreUp = true;
  bool mReportEndsAtOnce = true;
  fault_rates mFaults;
  run_function mRuns;
  std::function<void(const action&)> mObserver;
  std::function<void()> mAfterEvent;
  std::function<std::vector<action>(const event&, instant)> mHandle;
  std::uint64_t mNextLease = 0;
  std::uint64_t mGeneration = 0;
  std::uint64_t mEvents = 0;
};

} // namespace briarwind::fakes
