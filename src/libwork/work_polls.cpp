#include "work_table.h"

#include <algorithm>

namespace briarwind {

namespace {

// Poll interval while ends are not acknowledged because their records are not stored yet. The
// worker answers such polls at once instead of holding them, so polling without a pause would be a
// busy loop.
constexpr milliseconds kPollIntervalWhilePending{ 300 };
// Pause before the next poll of a worker that did not answer or that runs orphans.
constexpr milliseconds kPollRetryInterval{ 150 };
// In the final extension, only leases granted longer ago than this are extended once more: a poll
// in flight may have been waiting that long, and few leases are granted with a start order in that
// time.
constexpr milliseconds kFinalExtensionInterval{ 250 };

bool HasOrderedRuns(const worker_entry& aWorker)
{
  return std::ranges::any_of(
    aWorker.mRuns, [](const auto& aRun) { return aRun.second.mPhase != run_phase::kRecording; });
}

} // namespace

std::optional<poll_plan> work_core::PlanPoll(const std::string& aWorker, instant aNow)
{
  const auto found = mState->mWorkers.find(aWorker);
  if (found == mState->mWorkers.end() || !mState->mInTerm) {
    return std::nullopt;
  }
  worker_entry& worker = found->second;
  const bool ordered = HasOrderedRuns(worker);
  const bool needsContact = !worker.mReachable && (worker.mListed || ordered);
  const bool needsPoll = needsContact || ordered || worker.mAckDue || !worker.mOrphans.empty();
  if (worker.mInfo.mAddress.empty() || !needsPoll) {
    return std::nullopt;
  }
  const instant last = std::max(worker.mLastPollAt, worker.mLastReportAt);
  const bool retry = !worker.mReachable || !worker.mOrphans.empty();
  const milliseconds pause = retry                          ? kPollRetryInterval
                             : !worker.mPendingEnds.empty() ? kPollIntervalWhilePending
                                                            : milliseconds{ 0 };
  if (aNow < last + pause && worker.mLastPollAt != instant()) {
    return std::nullopt;
  }
  poll_plan plan = mState->MakePollPlan(worker, aNow);
  const bool unconfirmed = std::ranges::any_of(
    worker.mRuns, [](const auto& aRun) { return aRun.second.mPhase == run_phase::kUnconfirmed; });
  const bool mayWait = worker.mReachable && worker.mOrphans.empty() && !unconfirmed;
  plan.mWait = mayWait ? mState->mOptions.mLongPollWait : milliseconds{ 0 };
  // The lease of an unresponsive worker is not extended: otherwise its runs could never be given up
  // as lost.
  if (worker.mReachable && ordered) {
    plan.mLeaseUntil = GrantLease(aWorker, aNow);
  }
  return plan;
}

// A long poll in flight may have been sent before the order. Until the order's outcome is known,
// its task cannot be started elsewhere, and its gang waits.
std::optional<poll_plan> work_core::PlanSecondPoll(const std::string& aWorker, instant aNow,
                                                   bool aFinalExtension)
{
  const auto found = mState->mWorkers.find(aWorker);
  if (found == mState->mWorkers.end() || !mState->mInTerm || !found->second.mReachable) {
    return std::nullopt;
  }
  worker_entry& worker = found->second;
  const bool unresolved = std::ranges::any_of(worker.mRuns, [&](const auto& aRun) {
    const run_entry& run = aRun.second;
    const bool unconfirmed =
      run.mPhase == run_phase::kUnconfirmed && run.mPhaseSince > worker.mLastPollAt;
    const bool stopped = run.mPhase == run_phase::kStopping && run.mFirstPercent < 0 &&
                         run.mStopAnswered && run.mStopAnsweredAt > worker.mLastPollAt;
    return unconfirmed || stopped;
  });
  const bool extendsLease = aFinalExtension &&
                            aNow - worker.mLastPollAt > kFinalExtensionInterval &&
                            HasOrderedRuns(worker);
  if (!unresolved && !extendsLease) {
    return std::nullopt;
  }
  poll_plan plan = mState->MakePollPlan(worker, aNow);
  if (extendsLease) {
    plan.mLeaseUntil = GrantLease(aWorker, aNow);
  }
  return plan;
}

poll_plan work_core::state::MakePollPlan(worker_entry& aWorker, instant aNow) const
{
  poll_plan plan;
  plan.mAddress = aWorker.mInfo.mAddress;
  plan.mIncarnation = aWorker.mInfo.mIncarnation;
  plan.mAcknowledged = aWorker.mAcknowledged;
  aWorker.mAckDue = false;
  aWorker.mLastPollAt = aNow;
  return plan;
}

milliseconds work_core::GrantLease(const std::string& aWorker, instant aNow)
{
  const auto found = mState->mWorkers.find(aWorker);
  if (found == mState->mWorkers.end()) {
    return milliseconds{ 0 };
  }
  worker_entry& worker = found->second;
  const auto lease = mState->mOptions.mMaxLease;
  worker.mLeasesExpireAt = std::max(
    worker.mLeasesExpireAt,
    aNow + std::chrono::duration_cast<milliseconds>(lease * mState->mOptions.mClockDriftFactor));
  return worker.mInfo.mClock +
         std::chrono::duration_cast<milliseconds>(aNow - worker.mClockReadAt) + lease;
}

} // namespace briarwind
