#pragma once

#include "briarwind/config_store.h"
#include "briarwind/work_model.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Decisions of the one host that leads: which task runs where, what is stopped for it, and what
/// has to be in the store before an order may leave. No input, output or clock of its own.

namespace briarwind {

/// Bounds that the deployment sets, and limits of our own.
struct work_options
{
  milliseconds mMaxHold{ 10'000 };  ///< longest lease that workers grant; from the deployment
  milliseconds mRestoreTime{ 300 }; ///< until a task goes on from a checkpoint; from the deployment
  /// Urgent work beyond a guarantee may cost at most this many times its own work in work of
  /// others: an hour of urgent work is worth about that much more than one of the rest.
  double mMostLossFactor = 4;
  /// A worker's clock may be 2% slow; the rest covers rounding.
  double mClockSlack = 1.03;
  /// A run without a new percent for this share of its declared time counts as stalled: at the
  /// slowest (away from its data, on a slow worker) a percent takes a fifth of it. Within bounds,
  /// since declared times are far off the truth.
  double mStallShare = 0.3;
  milliseconds mStallLeast{ 900 };
  milliseconds mStallMost{ 3'000 };
  /// How long a worker that failed or refused a run gets no further ones; doubles with each in a
  /// row up to the cap. The first is shorter than any task, the cap a tenth of a lease's life more.
  milliseconds mQuarantine{ 1'000 };
  milliseconds mQuarantineCap{ 8'000 };
  /// A gang is tried on a worker whose last run failed only once it has waited this long: well
  /// below the time in which guaranteed work has to start.
  milliseconds mProbeWait{ 1'000 };
  /// Waits this long for a better place (data, one rack) than the one that is free now.
  milliseconds mLocalityWait{ 1'500 };
  /// A poll waits this long for the next end: short enough to see a stall in two of them, long
  /// enough that polls stay few beside starts.
  milliseconds mPollWait{ 800 };
  /// The registry is read this often, so what it says may be this old. Twice within the shortest
  /// time in which a leaving worker must get no more starts.
  milliseconds mRegistryInterval{ 700 };
  /// Ends are remembered this long after a job is over; from the deployment, with a margin.
  milliseconds mKeepFinished{ 150'000 };
};

/// Order to start one run.
struct start_run
{
  run_id mRun;
  std::string mWorker;
  std::string mPayload;
  std::string mCheckpoint;
  std::string mTicket; ///< of the advisor; empty where the queue asks for no advice
};

/// Question to the advisor: which of these workers may run the step.
struct ask_advice
{
  task_id mStep; ///< its index is of no account
  std::vector<std::string> mWorkers;
};

/// The advisor's answer.
struct placement_advice
{
  struct row
  {
    std::string mWorker;
    std::string mTicket;
  };
  std::vector<row> mGood;
  milliseconds mValid{ 0 }; ///< the tickets hold for this long
};

/// Order to stop one run.
struct stop_run
{
  run_id mRun;
  std::string mWorker;
};

enum class work_note_kind : std::uint8_t
{
  kJobKnown,       ///< a job came in
  kStarted,        ///< the record of a placement is stored and the order leaves
  kStartFailed,    ///< an order was refused or stayed without an answer
  kEnded,          ///< a run ended
  kEvicted,        ///< a run is stopped for another job
  kStopped,        ///< a run is stopped for another reason
  kLost,           ///< a run is gone without an end
  kJobOver,        ///< a job reached a final state
  kWorkerRestored, ///< a worker answered for the first time in this life
  kWorkerLost,     ///< the leases of a silent worker have run out
  kWorkerQuarantined,
};

std::string_view ToString(work_note_kind aKind);

/// For logs and counters.
struct work_note
{
  work_note_kind mKind = work_note_kind::kJobKnown;
  std::string mJob;
  std::string mTask; ///< `job.occurrence.step.index`
  std::string mWorker;
  std::string mReason;
  milliseconds mAge{ 0 }; ///< of the worker's last report, or of the job at its end
};

using work_action = std::variant<start_run, stop_run, ask_advice, work_note>;

/// What to ask one worker next.
struct poll_plan
{
  std::string mAddress;
  std::int64_t mIncarnation = 0;
  milliseconds mLeaseUntil{ 0 }; ///< on the worker's clock; 0: leave as it is
  std::int64_t mAcknowledged = 0;
  milliseconds mWait{ 0 };
};

/// One record that is to be written under `job`, when its revision is still mExpected.
struct progress_write
{
  std::string mJob;
  store_revision mExpected = 0;
  std::string mValue;
};

/// A job as the store holds it when a leader takes over.
struct stored_job
{
  work_job mJob;
  bool mCancelled = false;
  std::string mProgress; ///< empty: none was written
  store_revision mProgressRevision = 0;
};

struct work_counts
{
  int mJobs = 0;
  int mWaitingTasks = 0;
  int mLiveRuns = 0;
  int mWorkers = 0;
  int mWorkersInTouch = 0;
};

/// The pure core. Not thread safe.
class work_core
{
public:
  explicit work_core(const work_options& aOptions = {});
  ~work_core();
  work_core(const work_core&) = delete;
  work_core& operator=(const work_core&) = delete;

  /// Begins a term. Everything known before is dropped.
  /// @param aEpoch higher than that of any leader before; workers obey the highest
  void BeginTerm(std::int64_t aEpoch, instant aNow);
  /// Ends it: nothing is decided and no action comes out until the next one.
  void EndTerm();
  /// The term goes on under a higher epoch; nobody else has led in between.
  void RaiseEpoch(std::int64_t aEpoch);
  std::int64_t Epoch() const;

  void SetSettings(const work_settings& aSettings, instant aNow);
  /// The whole registry as read now. Workers that are missing keep their runs until the runs'
  /// leases have surely ended.
  void SetWorkers(const std::vector<registered_worker>& aWorkers, instant aNow);
  /// @param aWallNow decides which occurrences of timed jobs are due
  void AddJob(const stored_job& aJob, instant aNow, wall_time aWallNow);
  void CancelJob(const std::string& aJob, instant aNow);

  void OnStarted(const start_run& aOrder, start_outcome aOutcome, instant aSent, instant aNow);
  void OnStopped(const stop_run& aOrder, stop_outcome aOutcome, instant aSent, instant aNow);
  /// Nothing: there was no answer, and the question may be asked again.
  void OnAdvice(const ask_advice& aQuestion, const std::optional<placement_advice>& aAnswer,
                instant aNow);
  /// @param aSent when the question left, which bounds what the answer can know
  void OnReport(const std::string& aWorker, const worker_report& aReport, instant aSent,
                instant aNow);
  /// A poll without an answer.
  void OnPollFailed(const std::string& aWorker, instant aNow);

  /// Places what can be placed and times out what is overdue.
  void Decide(instant aNow, wall_time aWallNow);

  std::vector<work_action> TakeActions();
  /// Records that must be written before more can happen; at most aMost, one a job.
  std::vector<progress_write> TakeWrites(std::size_t aMost);
  void OnWritten(const std::string& aJob, store_revision aRevision, instant aNow);
  /// The record was not written; it will be offered again, over aCurrent.
  void OnNotWritten(const std::string& aJob, store_revision aCurrent);
  /// Jobs whose final state has been stored for longer than it has to be shown.
  std::vector<std::string> TakeForgotten(instant aNow);

  /// Nothing when the worker needs no look at present.
  std::optional<poll_plan> PlanPoll(const std::string& aWorker, instant aNow);
  /// A second look beside one that is under way, when that one cannot tell what became of an order.
  /// @param aEnding leases may not be extended for much longer: extends those that others would
  ///        outlast
  std::optional<poll_plan> PlanSecondPoll(const std::string& aWorker, instant aNow,
                                          bool aEnding = false);
  std::vector<std::string> Workers() const;
  /// The end of a lease that starts now, on the worker's clock. To be asked right before the order
  /// leaves: the worker counts as holding such a lease from now on.
  milliseconds GrantLease(const std::string& aWorker, instant aNow);
  /// `ip:port` as registered; empty when it is not known any more.
  std::string Address(const std::string& aWorker) const;

  /// Accepted jobs of a queue, timed ones aside, of which nothing has been started.
  int CountWaiting(const std::string& aQueue) const;
  std::optional<work_state> State(const std::string& aJob) const;
  /// As the store has it or will: a final state that is not stored yet is not told.
  std::optional<work_state> StoredState(const std::string& aJob) const;
  work_counts Counts() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

/// JSON form of an accepted job, as the store keeps it.
std::string FormatWorkJob(const work_job& aJob);
result<work_job> ParseWorkJob(std::string_view aJson);

/// The state in a stored progress record; kQueued when it has none.
work_state ProgressState(std::string_view aRecord);

/// `job.occurrence.step.index`
std::string ToString(const task_id& aTask);
/// Fails with kInvalid when the text is not of that form.
result<task_id> ParseTaskId(std::string_view aText);

} // namespace briarwind
