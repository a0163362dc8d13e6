#pragma once

#include "simulated_worker.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Simulates workers, a store and a clock without a network, to test work_core. Checks the
/// scheduling invariants on its own, independently of the core's tables.

namespace briarwind::testing {

/// Fault injection: probabilities from 0 to 1, and the latency of the store.
struct simulation_faults
{
  double mLostAnswer = 0;   ///< an order takes effect, but its answer is lost
  double mDelayedOrder = 0; ///< a start order is not answered, and takes effect seconds later
  double mLostPoll = 0;     ///< a poll doesn't reach the worker
  milliseconds mWriteTime{ 5 };
};

/// Runs one leader after another on the same workers and stored records.
class fleet_simulation
{
public:
  fleet_simulation(int aWorkers, std::uint64_t aSeed, const work_options& aOptions = {});

  void Submit(work_job aJob, milliseconds aWork = milliseconds{ 1'000 });
  void Cancel(const std::string& aJob);
  void Run(milliseconds aTime);
  /// Makes another host the leader. The former leader keeps acting for a while.
  void ChangeLeader();
  void SetSettings(const work_settings& aSettings);
  /// Tasks of these two images take aFactor times as long while both are on one worker.
  void SetInterference(const std::string& aLeft, const std::string& aRight, int aFactor);
  /// Number of events of the kind that the leaders have emitted.
  int Events(work_event_kind aKind) const;

  work_core& Core() { return *mLeader->mCore; }
  instant Now() const { return mNow; }
  simulated_worker& Worker(int aIndex) { return *mWorkers.at(static_cast<std::size_t>(aIndex)); }
  int WorkerCount() const { return static_cast<int>(mWorkers.size()); }
  /// A partitioned worker is unreachable for all leaders, but its runs continue.
  void SetPartitioned(int aWorker, bool aPartitioned);
  void SetListed(int aWorker, bool aListed);
  work_state StoredState(const std::string& aJob) const;
  int Starts(const std::string& aJob) const;
  /// Number of such events about the worker.
  int Events(work_event_kind aKind, int aWorker) const;
  int LiveRuns(const std::string& aJob) const;
  bool AllFinished() const;

  simulation_faults mFaults;
  /// Violated invariants; empty if all of them held.
  std::vector<std::string> mViolations;
  /// Share by which the work of a step's tasks differs from their job's, either way.
  double mTaskSpread = 0;
  /// Jobs whose tasks always fail.
  std::set<std::string> mFailingJobs;
  /// Workers that the placement advisor approves for any step, and the number of requests to it.
  std::set<std::string> mApprovedWorkers;
  int mAdviceRequests = 0;
  /// Time from the start of a long-running task until it is at work.
  milliseconds mStartup{ 300 };

private:
  struct leader
  {
    std::unique_ptr<work_core> mCore;
    std::int64_t mEpoch = 0;
    instant mLostLeadAt; ///< instant() while this leader leads
    std::map<std::string, instant> mNextPoll;
  };
  struct delayed_order
  {
    instant mAt;
    std::size_t mWorker;
    std::int64_t mIncarnation;
    start_run mOrder;
    std::int64_t mEpoch;
    milliseconds mUntil;
  };
  struct stored_record
  {
    std::string mValue;
    store_revision mRevision = 0;
    std::map<std::int64_t, std::string> mParts;
  };
  struct pending_write
  {
    instant mAt;
    leader* mWriter;
    progress_write mWrite;
  };

  void Step();
  void RunLeader(leader& aLeader);
  void Send(leader& aLeader, const start_run& aOrder);
  start_outcome Deliver(std::size_t aWorker, const start_run& aOrder, std::int64_t aEpoch,
                        milliseconds aUntil);
  void Advise(work_core& aCore, const advice_request& aRequest);
  void Poll(leader& aLeader);
  void CommitDue();
  void ApplyInterference(simulated_worker& aWorker);
  const std::string& ImageOf(const run_id& aRun) const;
  void CheckStart(const start_run& aOrder, std::size_t aWorker);
  /// Whether the organisation's runs on all workers are within the highest limit that was in force
  /// while any of their start orders was valid.
  bool IsWithinLimit(const std::string& aOrganisation) const;
  void RecordAcknowledged(const simulated_worker& aWorker, std::int64_t aThrough);
  std::size_t IndexOf(const std::string& aWorker) const;
  bool Chance(double aShare);
  milliseconds WorkOf(const task_id& aTask) const;
  std::vector<registered_worker> Registry() const;

  work_options mOptions;
  std::mt19937_64 mRandom;
  instant mNow;
  std::vector<std::unique_ptr<simulated_worker>> mWorkers;
  std::set<std::size_t> mPartitioned;
  std::set<std::size_t> mUnlisted;
  std::vector<std::unique_ptr<leader>> mLeaders;
  leader* mLeader = nullptr;
  std::deque<delayed_order> mDelayedOrders;
  std::deque<pending_write> mPending;
  std::map<std::string, stored_record> mRecords;
  std::map<std::string, work_job> mJobs;
  std::map<std::string, milliseconds> mRunTimes;
  std::set<std::string> mCancelled;
  std::map<std::string, int> mStarts;
  std::map<std::pair<work_event_kind, std::string>, int> mWorkerEvents;
  std::map<work_event_kind, int> mEvents;
  std::map<std::pair<std::string, std::string>, int> mInterference;
  std::set<task_id> mEndedDone;
  std::set<task_id> mAcknowledgedDone;
  work_settings mSettings;
  /// Policies of the organisations, with the time from which they were in force.
  std::vector<std::pair<instant, std::map<std::string, organisation_policy>>> mPolicies;
  store_revision mRevision = 1;
};

} // namespace briarwind::testing
