#pragma once

#include "simulated_worker.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Workers, a store and a clock without network, on which cores are tried; with a checker of its
/// own that knows nothing of how the core decides.

namespace briarwind::testing {

struct simulation_faults
{
  double mLostAnswer = 0; ///< of an order that was carried out
  double mLateOrder = 0;  ///< no answer; carried out seconds later
  double mLostPoll = 0;
  milliseconds mWriteTime{ 5 };
};

/// One leader after another over the same workers and records.
class fleet_simulation
{
public:
  fleet_simulation(int aWorkers, std::uint64_t aSeed, const work_options& aOptions = {});

  void Submit(work_job aJob, milliseconds aWork = milliseconds{ 1'000 });
  void Cancel(const std::string& aJob);
  void Run(milliseconds aTime);
  /// Another host leads from now on. The former leader does not know yet and goes on for a while.
  void ChangeLeader();
  void SetSettings(const work_settings& aSettings);

  work_core& Core() { return *mLeader->mCore; }
  instant Now() const { return mNow; }
  simulated_worker& Worker(int aIndex) { return *mWorkers.at(static_cast<std::size_t>(aIndex)); }
  int WorkerCount() const { return static_cast<int>(mWorkers.size()); }
  /// Cut off from every leader, but running on.
  void SetCut(int aWorker, bool aCut);
  void SetListed(int aWorker, bool aListed);
  work_state StoredState(const std::string& aJob) const;
  int Starts(const std::string& aJob) const;
  int LiveRuns(const std::string& aJob) const;
  bool AllOver() const;

  simulation_faults mFaults;
  /// What the checker found wrong; empty when all promises held.
  std::vector<std::string> mBroken;
  /// Tasks of these jobs fail each time.
  std::set<std::string> mPoisoned;
  /// Workers that the advisor lets run any step, and how often it was asked.
  std::set<std::string> mAdvised;
  int mQuestions = 0;

private:
  struct leader
  {
    std::unique_ptr<work_core> mCore;
    std::int64_t mEpoch = 0;
    instant mLostLead; ///< instant() while it leads
    std::map<std::string, instant> mNextPoll;
  };
  struct late_order
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
  void Advise(work_core& aCore, const ask_advice& aQuestion);
  void Poll(leader& aLeader);
  void CommitDue();
  void CheckStart(const start_run& aOrder, std::size_t aWorker);
  void NoteAcknowledged(const simulated_worker& aWorker, std::int64_t aThrough);
  std::size_t IndexOf(const std::string& aWorker) const;
  bool Chance(double aShare);
  std::vector<registered_worker> Registry() const;

  work_options mOptions;
  std::mt19937_64 mRandom;
  instant mNow;
  std::vector<std::unique_ptr<simulated_worker>> mWorkers;
  std::set<std::size_t> mCut;
  std::set<std::size_t> mUnlisted;
  std::vector<std::unique_ptr<leader>> mLeaders;
  leader* mLeader = nullptr;
  std::deque<late_order> mLate;
  std::deque<pending_write> mPending;
  std::map<std::string, stored_record> mRecords;
  std::map<std::string, work_job> mJobs;
  std::map<std::string, milliseconds> mWork;
  std::set<std::string> mCancelled;
  std::map<std::string, int> mStarts;
  std::set<task_id> mEndedDone;
  std::set<task_id> mAcknowledgedDone;
  work_settings mSettings;
  store_revision mRevision = 1;
};

} // namespace briarwind::testing
