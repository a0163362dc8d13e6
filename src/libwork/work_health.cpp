#include "work_table.h"

#include <algorithm>

namespace briarwind {

namespace {

constexpr int kMostDoublings = 6;

// A pace is measured over at least this: a poll and a little more.
constexpr milliseconds kPaceWindow{ 1'000 };
// Percents that a run should have moved on in it; they are whole numbers.
constexpr double kTellingPercents = 5;
// Below this part of its best pace a run counts as slowed. The kinds of workers differ by less.
constexpr double kSlowPace = 0.4;
// How long a slow worker gets nothing new; each further slow measurement begins it anew.
constexpr milliseconds kSlowHold{ 2'500 };
// At most one in this many workers is avoided.
constexpr int kMostAvoided = 4;

} // namespace

// Whether a worker or the work is at fault is not told. Runs of one job that fail together say no
// more than one of them. A task that fails on a second worker is itself the likelier cause: then
// neither worker is held to it.
void work_core::state::BlameFor(worker_entry& aWorker, const run_id& aRun, std::string_view aReason,
                                instant aNow)
{
  const task_entry* task = FindTask(aRun.mTask);
  const std::string& id = aWorker.mInfo.mId;
  if (task != nullptr && std::ranges::any_of(task->mFailedOn, [&](const std::string& aOther) {
        return aOther != id;
      })) {
    PardonFor(aRun.mTask.mJob, task->mFailedOn);
    return;
  }
  if (aWorker.mQuarantinedUntil > aNow && aWorker.mBlamedFor == aRun.mTask.mJob) {
    return;
  }
  aWorker.mBlamedFor = aRun.mTask.mJob;
  Quarantine(aWorker, aNow, aReason);
}

// Those of the workers whose only failure of late was one of the job's.
void work_core::state::PardonFor(const std::string& aJob, const std::set<std::string>& aWorkers)
{
  for (const std::string& each : aWorkers) {
    const auto found = mWorkers.find(each);
    if (found != mWorkers.end() && found->second.mFailuresInRow == 1 &&
        found->second.mBlamedFor == aJob) {
      TrustAgain(found->second);
    }
  }
}

void work_core::state::TrustAgain(worker_entry& aWorker)
{
  mReplan = mReplan || aWorker.mFailuresInRow > 0;
  aWorker.mFailuresInRow = 0;
  aWorker.mQuarantinedUntil = {};
  aWorker.mStalledSince = {};
}

void work_core::state::BlameForStall(worker_entry& aWorker, instant aNow)
{
  Quarantine(aWorker, aNow, "no progress");
  aWorker.mStalledSince = aNow;
}

// A worker that stood still is well again once a later run moves on there.
void work_core::state::NoteProgress(worker_entry& aWorker, const run_entry& aRun)
{
  if (aWorker.mStalledSince != instant() && aRun.mStartedAt > aWorker.mStalledSince) {
    TrustAgain(aWorker);
  }
}

// A run that moves on at a fraction of its own best pace sits on a worker that has turned slow. Its
// declared time says nothing of that, being far off; and a gang is as slow as its slowest member,
// whichever worker that sits on. Measured on the worker's clock, since answers may be late.
void work_core::state::MeasurePace(worker_entry& aWorker, run_entry& aRun, int aPercent,
                                   instant aNow)
{
  if (aRun.mGang) {
    return;
  }
  const milliseconds clock = aWorker.mInfo.mClock;
  if (aRun.mPacePercent < 0) {
    aRun.mPacePercent = aPercent;
    aRun.mPaceClock = clock;
    return;
  }
  const std::chrono::duration<double> passed = clock - aRun.mPaceClock;
  if (passed < kPaceWindow) {
    return;
  }
  const double pace = (aPercent - aRun.mPacePercent) / passed.count();
  const bool telling = aRun.mBestPace * passed.count() >= kTellingPercents;
  if (telling && pace < kSlowPace * aRun.mBestPace) {
    if (aWorker.mSlowUntil <= aNow && MayAvoidOneMore(aNow)) {
      Note(work_note_kind::kWorkerQuarantined, {}, {}, aWorker.mInfo.mId, "turned slow", kSlowHold);
    }
    aWorker.mSlowUntil = MayAvoidOneMore(aNow) ? aNow + kSlowHold : aWorker.mSlowUntil;
  } else if (telling && aWorker.mSlowUntil > aNow) {
    aWorker.mSlowUntil = {};
    mReplan = true;
  }
  aRun.mBestPace = std::max(aRun.mBestPace, pace);
  aRun.mPacePercent = aPercent;
  aRun.mPaceClock = clock;
}

// When many turn slow together there is no better place.
bool work_core::state::MayAvoidOneMore(instant aNow) const
{
  const auto slow = std::ranges::count_if(
    mWorkers, [&](const auto& aWorker) { return aWorker.second.mSlowUntil > aNow; });
  return static_cast<std::size_t>(kMostAvoided * slow) < mWorkers.size();
}

void work_core::state::Quarantine(worker_entry& aWorker, instant aNow, std::string_view aReason)
{
  const int doublings = std::min(aWorker.mFailuresInRow, kMostDoublings);
  const milliseconds wait =
    std::min(mOptions.mQuarantine * (1 << doublings), mOptions.mQuarantineCap);
  ++aWorker.mFailuresInRow;
  aWorker.mQuarantinedUntil = aNow + wait;
  Note(work_note_kind::kWorkerQuarantined, {}, {}, aWorker.mInfo.mId, aReason, wait);
}

} // namespace briarwind
