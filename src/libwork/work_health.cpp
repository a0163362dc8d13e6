#include "work_table.h"

#include <algorithm>

namespace briarwind {

namespace {

constexpr int kMostDoublings = 6;
// Workers that one job's failures may be held against: as many as the attempts of the queues seen.
constexpr std::size_t kMostBlamed = 4;
// A worker without a further failure is trusted again after this, tried or not: spells in which
// workers fail all they start last 4 to 8 s.
constexpr milliseconds kProbation{ 5'000 };

// A pace is measured over at least this: a poll and a little more.
constexpr milliseconds kPaceWindow{ 1'000 };
// Percents that a run should have moved on in it; they are whole numbers.
constexpr double kTellingPercents = 5;
// Below this part of its best pace a run counts as slowed: workers turn four to seven times slower.
constexpr double kSlowPace = 0.4;
// How long a slow worker gets nothing new: two measurements and a poll, so that it stays avoided
// while it is slow.
constexpr milliseconds kSlowHold{ 2'500 };
// At most one in this many workers is avoided: more than the sixth that turned slow at a time.
constexpr int kMostAvoided = 4;

} // namespace

// Whether a worker or the work is at fault is not told. Runs of one job that fail together say no
// more of a worker than one of them, and a job is held against a few workers at most: one that can
// never be done would fail on all of them.
void work_core::state::BlameFor(worker_entry& aWorker, const run_id& aRun, std::string_view aReason,
                                instant aNow)
{
  job_entry* job = FindJob(aRun.mTask.mJob);
  if (job == nullptr ||
      (aWorker.mQuarantinedUntil > aNow && aWorker.mBlamedFor == aRun.mTask.mJob)) {
    return;
  }
  if (job->mBlamedOn.size() >= kMostBlamed && !job->mBlamedOn.contains(aWorker.mInfo.mId)) {
    return;
  }
  job->mBlamedOn.insert(aWorker.mInfo.mId);
  aWorker.mBlamedFor = aRun.mTask.mJob;
  Quarantine(aWorker, aNow, aReason);
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
    AvoidSlow(aWorker, aNow);
  } else if (telling && aWorker.mSlowUntil > aNow) {
    aWorker.mSlowUntil = {};
    mReplan = true;
  }
  aRun.mBestPace = std::max(aRun.mBestPace, pace);
  aRun.mPacePercent = aPercent;
  aRun.mPaceClock = clock;
}

// When many turn slow together there is no better place for new runs.
void work_core::state::AvoidSlow(worker_entry& aWorker, instant aNow)
{
  if (aWorker.mSlowUntil <= aNow) {
    const auto slow = std::ranges::count_if(
      mWorkers, [&](const auto& aEach) { return aEach.second.mSlowUntil > aNow; });
    if (static_cast<std::size_t>(kMostAvoided * slow) >= mWorkers.size()) {
      return;
    }
    Note(work_note_kind::kWorkerQuarantined, {}, {}, aWorker.mInfo.mId, "turned slow", kSlowHold);
  }
  aWorker.mSlowUntil = aNow + kSlowHold;
}

void work_core::state::Quarantine(worker_entry& aWorker, instant aNow, std::string_view aReason)
{
  const int doublings = std::min(aWorker.mFailuresInRow, kMostDoublings);
  const milliseconds wait =
    std::min(mOptions.mQuarantine * (1 << doublings), mOptions.mQuarantineCap);
  ++aWorker.mFailuresInRow;
  aWorker.mQuarantinedUntil = aNow + wait;
  aWorker.mProbedUntil = aWorker.mQuarantinedUntil + kProbation;
  Note(work_note_kind::kWorkerQuarantined, {}, {}, aWorker.mInfo.mId, aReason, wait);
}

} // namespace briarwind
