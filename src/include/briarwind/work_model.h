#pragma once

#include "briarwind/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Work of several steps, the queues it comes through and the workers that run it.

namespace briarwind {

/// What one task takes on its worker.
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

/// One step of a job: like tasks that may run once the steps before it are over.
struct work_step
{
  int mCount = 1;
  task_demand mDemand;         ///< of each task
  milliseconds mEstimate{ 0 }; ///< declared run time of a task; may be far off
  std::vector<int> mAfter;     ///< indices of the steps whose tasks must all be done first
  bool mGang = false;          ///< the tasks run only together
  bool mRackLocal = false;     ///< the tasks run several times slower when spread over racks
  bool mCheckpoints = false;   ///< a stopped task can go on from its last checkpoint
  bool mLasting = false;       ///< the tasks run until the job is cancelled
  bool mFills = false;         ///< takes only what other tasks leave; its cores are not counted
  std::string mRequiredLabel;  ///< the worker must have it; empty: any worker
  std::string mDataRack;       ///< the tasks run several times slower on other racks; empty: none
  int mPerWorkerLimit = 0;     ///< most tasks of the step on one worker; 0: no limit
  int mMayMiss = 0;            ///< tasks of a lasting step that may be down through our own actions

  bool operator==(const work_step&) const = default;
};

/// How jobs of one queue are run.
struct work_queue
{
  std::string mService;      ///< the pool of workers that runs its tasks
  int mPriority = 0;         ///< 0 is first, and may stop others
  int mAttempts = 1;         ///< runs of one task that may fail before its job fails
  double mSlack = 1;         ///< objective: this many times the longest chain of work …
  milliseconds mTarget{ 0 }; ///< … and this much more
  bool mAsksAdvice = false;  ///< only workers that an advisor names may run a step

  bool operator==(const work_queue&) const = default;
};

/// A job as it was accepted.
struct work_job
{
  std::string mId;
  std::string mQueue;
  std::string mOrganisation;
  std::string mPayload; ///< handed to the worker with each start
  std::vector<work_step> mSteps;
  int mOccurrences = 0; ///< how often a timed job runs; 0: once, at once
  wall_time mFirstDue;  ///< of occurrence 0 of a timed job
  milliseconds mInterval{ 0 };
  wall_time mAccepted; ///< by the clock of the host that accepted it
  work_queue mPolicy;  ///< the queue as it was then; holds once the queue is removed

  bool operator==(const work_job&) const = default;
};

/// What operators have put in force.
struct work_settings
{
  std::int64_t mVersion = 0;
  std::map<std::string, work_queue> mQueues;
  std::map<std::string, int> mGuaranteedAccelerators;  ///< by organisation
  std::map<std::string, bool> mServiceRefusesOverload; ///< by service: workers guard their room
  std::vector<std::string> mWithdrawnDomains;
};

/// One life of a worker as the registry shows it.
struct registered_worker
{
  std::string mId;
  std::string mService;
  std::string mAddress; ///< `ip:port`
  std::string mDomain;
  std::string mRack;
  std::vector<std::string> mLabels;
  task_demand mCapacity;
  bool mLeaving = false;
  /// While it leaves: the least time until its runs are cut off, when it tells.
  std::optional<milliseconds> mStaysFor;
  milliseconds mClock{ 0 };      ///< the worker's own clock when it reported
  std::int64_t mIncarnation = 0; ///< tells one incarnation under an id from the next

  bool operator==(const registered_worker&) const = default;
};

/// Names one task of one occurrence of a job.
struct task_id
{
  std::string mJob;
  int mOccurrence = 0;
  int mStep = 0;
  int mIndex = 0;

  auto operator<=>(const task_id&) const = default;
};

/// Numbers the starts of one task; rises with each, over all leaders.
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
/// Nothing for any other text.
std::optional<work_state> ParseWorkState(std::string_view aName);

/// How a run ended, as its worker tells.
enum class run_end : std::uint8_t
{
  kDone,
  kFailed,
  kStopped,
  kLapsed,         ///< its lease ran out
  kMemberLost,     ///< another member of its gang ended
  kMembersMissing, ///< the other members of its gang did not come in time
  kUnreadable,     ///< the worker says something that is not known here
};

std::string_view ToString(run_end aEnd);

struct listed_run
{
  run_id mRun;
  std::string mCheckpoint;
  int mPercent = 0;
};

struct listed_end
{
  std::int64_t mNumber = 0; ///< the worker's own count of ends; starts at 1 in each life
  run_id mRun;
  run_end mHow = run_end::kUnreadable;
  std::string mCheckpoint;
};

/// All that a worker tells of its runs.
struct worker_report
{
  std::int64_t mIncarnation = 0;
  milliseconds mClock{ 0 };
  std::vector<listed_run> mRunning;
  std::vector<listed_end> mEnds; ///< those not acknowledged yet, oldest first
  bool mMoreEnds = false;        ///< the worker holds further ends back
};

enum class start_outcome : std::uint8_t
{
  kStarted,
  kFenced,           ///< the worker obeys a newer leader
  kOldRun,           ///< not higher than a run that was stopped or ended there
  kLate,             ///< its time had passed on the worker's clock
  kNoTicket,         ///< the advisor's ticket is missing or has run out
  kNoRoom,           ///< the worker guards its capacity
  kRefused,          ///< certainly not done, for another reason
  kOtherIncarnation, ///< the worker has started anew since
  kUnknown,          ///< no answer: it may be carried out, also later
  kHeldBack,         ///< not sent: this host may not order at present
};

std::string_view ToString(start_outcome aOutcome);

enum class stop_outcome : std::uint8_t
{
  kStopping, ///< stops within the worker's stop time, or was never there and never will be
  kFenced,
  kRefused,
  kOtherIncarnation,
  kUnknown,
};

} // namespace briarwind
