#include "work_table.h"

#include <algorithm>

namespace briarwind {

namespace {

constexpr int kMostDoublings = 6;

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
