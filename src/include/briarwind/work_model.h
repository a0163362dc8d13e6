#pragma once

#include "briarwind/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Jobs of several steps, the queues they are submitted to and the workers that run their tasks.

namespace briarwind {

/// Resources that one task occupies on its worker.
struct task_demand
{
  int mAccelerators = 0;
  std::int64_t mMilliCores = 0; ///< thousandths of a core
  std::int64_t mMemoryMb = 0;

  bool operator==(const task_demand&) const = default;
  task_demand& operator+=(const task_demand& aOther);
  task_demand& operator-=(const task_demand& aOther);
};

constexpr task_demand operator+(task_demand aLeft, const task_demand& aRight)
{
  return { aLeft.mAccelerators + aRight.mAccelerators, aLeft.mMilliCores + aRight.mMilliCores,
           aLeft.mMemoryMb + aRight.mMemoryMb };
}

constexpr task_demand operator-(task_demand aLeft, const task_demand& aRight)
{
  return { aLeft.mAccelerators - aRight.mAccelerators, aLeft.mMilliCores - aRight.mMilliCores,
           aLeft.mMemoryMb - aRight.mMemoryMb };
}

inline task_demand& task_demand::operator+=(const task_demand& aOther)
{
  return *this = *this + aOther;
}

inline task_demand& task_demand::operator-=(const task_demand& aOther)
{
  return *this = *this - aOther;
}

/// Whether aPart fits into aWhole in every resource.
constexpr bool FitsInto(const task_demand& aPart, const task_demand& aWhole)
{
  return aPart.mAccelerators <= aWhole.mAccelerators && aPart.mMilliCores <= aWhole.mMilliCores &&
         aPart.mMemoryMb <= aWhole.mMemoryMb;
}

/// One step of a job: identical tasks that may run once the steps they depend on are done.
struct work_step
{
  int mCount = 1;
  task_demand mDemand;         ///< of each task
  milliseconds mEstimate{ 0 }; ///< declared run time of a task; may be far from the actual one
  std::vector<int> mAfter;     ///< indices of the steps whose tasks must all be done first
  bool mGang = false;          ///< gang scheduling: the tasks run only all together
  bool mRackLocal = false;     ///< the tasks run several times slower when spread over racks
  bool mCheckpoints = false;   ///< a stopped task can resume from its last checkpoint
  bool mLongRunning = false;   ///< the tasks are restarted until the job is cancelled
  /// Best effort: the tasks use only cores that other tasks leave idle, so their cores are not
  /// counted against the worker's capacity.
  bool mBestEffort = false;
  std::string mRequiredLabel; ///< label that the worker must have; empty: any worker
  /// Rack of the data; the tasks run several times slower on other racks. Empty: no preference.
  std::string mDataRack;
  int mPerWorkerLimit = 0; ///< maximum number of tasks per worker; 0: no limit
  /// Of a long-running step: how many tasks may be down at once through voluntary disruption by
  /// the scheduler.
  int mMaxUnavailable = 0;
  std::string mImage; ///< what the tasks run; tasks of one image behave alike. Empty: not given
  /// Of a long-running step that serves requests: the tail of its response times must stay below
  /// this. 0: no target.
  milliseconds mLatencyTarget{ 0 };

  bool operator==(const work_step&) const = default;
};

/// Scheduling policy for the jobs of one queue.
struct work_queue
{
  std::string mService; ///< the pool of workers that runs its tasks
  int mPriority = 0;    ///< 0 is the highest, and may preempt others
  int mAttempts = 1;    ///< failed runs of one task after which its job fails
  /// Completion objective of a job: mSlack times the declared run time of its critical path, plus
  /// mTarget.
  double mSlack = 1;
  milliseconds mTarget{ 0 };
  bool mAsksAdvice = false; ///< a step runs only on workers that the placement advisor approves

  bool operator==(const work_queue&) const = default;
};

/// A job as it was accepted from its caller.
struct work_job
{
  std::string mId;
  std::string mQueue;
  std::string mOrganisation;
  std::string mPayload; ///< passed to the worker with each start
  std::vector<work_step> mSteps;
  int mOccurrences = 0;        ///< how often a timed job runs; 0: untimed, runs once at once
  calendar_time mFirstDue;     ///< due time of occurrence 0 of a timed job
  milliseconds mInterval{ 0 }; ///< between the due times of a timed job
  wall_time mAccepted;         ///< by the clock of the host that accepted the job
  work_queue mPolicy;          ///< queue policy at acceptance; applies once the queue is removed

  bool operator==(const work_job&) const = default;
};

/// Weight and limits of one organisation.
struct organisation_policy
{
  /// Share of the workers when all are full, relative to other organisations; also the number of
  /// jobs a second that are owed their objective.
  double mWeight = 1;
  /// What all its runs together may occupy, over all workers; 0: no limit on that resource.
  task_demand mMaxInUse;

  bool HasLimit() const { return mMaxInUse != task_demand{}; }
  bool operator==(const organisation_policy&) const = default;
};

/// Settings that operators have put in force.
struct work_settings
{
  std::int64_t mVersion = 0;
  std::map<std::string, work_queue> mQueues;
  std::map<std::string, int> mGuaranteedAccelerators; ///< by organisation
  /// Organisations for which the operators have set a weight or a limit.
  std::map<std::string, organisation_policy> mOrganisations;
  /// By service: whether its workers refuse starts beyond their capacity.
  std::map<std::string, bool> mServiceRefusesOverload;
  std::vector<std::string> mWithdrawnDomains; ///< failure domains without new placements
};

/// One incarnation of a worker as the registry lists it.
struct registered_worker
{
  std::string mId;
  std::string mService;
  std::string mAddress; ///< `ip:port`
  std::string mDomain;
  std::string mRack;
  std::vector<std::string> mLabels;
  task_demand mCapacity;
  bool mLeaving = false; ///< draining: the worker accepts no new runs
  /// While the worker is leaving: the minimum time until its runs are cut off, if it reports one.
  std::optional<milliseconds> mTimeUntilRemoval;
  milliseconds mClock{ 0 };      ///< the worker's own clock at the time of its report
  std::int64_t mIncarnation = 0; ///< rises with each restart of a worker under the same id

  bool operator==(const registered_worker&) const = default;
};

/// Identifies one task of one occurrence of a job.
struct task_id
{
  std::string mJob;
  int mOccurrence = 0;
  int mStep = 0;
  int mIndex = 0;

  auto operator<=>(const task_id&) const = default;
};

/// Number of a start of one task; rises with each start, also across leaders.
using run_number = std::int64_t;

/// One start of one task.
struct run_id
{
  task_id mTask;
  run_number mRun = 0;

  auto operator<=>(const run_id&) const = default;
};

enum class work_state : std::uint8_t
{
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

constexpr bool IsFinal(work_state aState)
{
  return aState != work_state::kQueued && aState != work_state::kRunning;
}

/// `queued`, `running`, `completed`, `failed` or `cancelled`.
std::string_view ToString(work_state aState);
/// Returns nullopt for any other text.
std::optional<work_state> ParseWorkState(std::string_view aName);

/// How a run ended, as its worker reports.
enum class run_end : std::uint8_t
{
  kDone,
  kFailed,
  kStopped,
  kLapsed,         ///< its lease ran out
  kMemberLost,     ///< another member of its gang ended
  kMembersMissing, ///< the other members of its gang did not start in time
  kUnreadable,     ///< the worker reported a value that is unknown to this version
};

std::string_view ToString(run_end aEnd);

/// A live run in a worker's report.
struct listed_run
{
  run_id mRun;
  std::string mCheckpoint;
  int mPercent = 0; ///< progress
  /// Of a task with a latency target: the tail of its response times in milliseconds; of any other:
  /// the cores in use. -1: not reported.
  std::int64_t mFigure = -1;
};

/// An ended run in a worker's report.
struct listed_end
{
  std::int64_t mNumber = 0; ///< sequence number at the worker; starts at 1 in each incarnation
  run_id mRun;
  run_end mEndKind = run_end::kUnreadable;
  std::string mCheckpoint;
};

/// A worker's report on its runs.
struct worker_report
{
  std::int64_t mIncarnation = 0;
  milliseconds mClock{ 0 };
  std::vector<listed_run> mRunning;
  std::vector<listed_end> mEnds; ///< those not acknowledged yet, oldest first
  bool mMoreEnds = false;        ///< the worker has further ends that are not in this report
};

enum class start_outcome : std::uint8_t
{
  kStarted,
  kFenced,           ///< the worker has seen a higher epoch
  kOldRun,           ///< run number not above one that was stopped or ended there
  kLate,             ///< the lease had expired already on the worker's clock
  kNoTicket,         ///< the advisor's ticket is missing or has expired
  kNoRoom,           ///< the run would exceed the worker's capacity
  kRefused,          ///< certainly not started, for another reason
  kOtherIncarnation, ///< the worker has restarted since
  kUnknown,          ///< no answer: the order may take effect, also later
  kHeldBack,         ///< not sent: this host may not send orders at present
};

std::string_view ToString(start_outcome aOutcome);

enum class stop_outcome : std::uint8_t
{
  kStopping, ///< ends within the worker's stop time, or never started there and never will
  kFenced,
  kRefused,
  kOtherIncarnation,
  kUnknown,
};

enum class pace_outcome : std::uint8_t
{
  kPaced,
  kFenced,
  kRefused,          ///< also by workers of a version without paces
  kOtherIncarnation, ///< the worker has restarted since
  kUnknown,          ///< no answer: the order may have taken effect
  kHeldBack,         ///< not sent: this host may not send orders at present
};

std::string_view ToString(pace_outcome aOutcome);

} // namespace briarwind
