#include "simulated_worker.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace briarwind::testing {

namespace {

constexpr milliseconds kStopTime{ 120 };
constexpr milliseconds kMaxLease{ 10'000 };

} // namespace

simulated_worker::simulated_worker(registered_worker aInfo, instant aClockOrigin)
  : mInfo(std::move(aInfo))
  , mClockOrigin(aClockOrigin)
  , mAdvanced(aClockOrigin)
{
}

milliseconds simulated_worker::Clock(instant aNow) const
{
  return std::chrono::duration_cast<milliseconds>(aNow - mClockOrigin);
}

start_outcome simulated_worker::Start(const run_id& aRun, std::int64_t aEpoch, milliseconds aUntil,
                                      milliseconds aWork, instant aNow)
{
  if (aEpoch < mHighestEpoch) {
    return start_outcome::kFenced;
  }
  mHighestEpoch = aEpoch;
  if (mRuns.contains(aRun)) {
    return start_outcome::kStarted;
  }
  const auto ended = mHighestEndedRun.find(aRun.mTask);
  if (ended != mHighestEndedRun.end() && aRun.mRun <= ended->second) {
    return start_outcome::kOldRun;
  }
  if (aUntil < Clock(aNow)) {
    return start_outcome::kLate;
  }
  mLeaseUntil = std::max(mLeaseUntil, std::min(aUntil, Clock(aNow) + kMaxLease));
  mRuns[aRun] = { aWork, aWork, {}, false, mFailsAll, milliseconds{ 0 }, 0, milliseconds{ 0 } };
  return start_outcome::kStarted;
}

stop_outcome simulated_worker::Stop(const run_id& aRun, std::int64_t aEpoch, instant aNow)
{
  if (aEpoch < mHighestEpoch) {
    return stop_outcome::kFenced;
  }
  mHighestEpoch = aEpoch;
  run_number& highest = mHighestEndedRun[aRun.mTask];
  highest = std::max(highest, aRun.mRun);
  if (const auto found = mRuns.find(aRun); found != mRuns.end() && !found->second.mStopping) {
    found->second.mStopping = true;
    found->second.mStoppedAt = aNow;
  }
  return stop_outcome::kStopping;
}

int simulated_worker::Percent(const live_run& aRun) const
{
  const milliseconds ran = aRun.mTotal - aRun.mLeft;
  if (aRun.mStartup.count() == 0) {
    return ran < aRun.mRestore
             ? 0
             : aRun.mFromPercent + static_cast<int>((100 - aRun.mFromPercent) * ran / aRun.mTotal);
  }
  if (ran >= aRun.mStartup) {
    return 100;
  }
  return mShowsStartup ? static_cast<int>(100 * ran / aRun.mStartup) : 0;
}

std::optional<worker_report> simulated_worker::Poll(const poll_plan& aPlan, std::int64_t aEpoch,
                                                    instant aNow)
{
  if (aEpoch < mHighestEpoch) {
    return std::nullopt;
  }
  mHighestEpoch = aEpoch;
  if (aPlan.mLeaseUntil.count() > 0) {
    mLeaseUntil = std::max(mLeaseUntil, std::min(aPlan.mLeaseUntil, Clock(aNow) + kMaxLease));
  }
  std::erase_if(mEnds, [&](const listed_end& aEnd) { return aEnd.mNumber <= aPlan.mAcknowledged; });
  worker_report report;
  report.mIncarnation = mInfo.mIncarnation;
  report.mClock = Clock(aNow);
  for (const auto& [id, live] : mRuns) {
    report.mRunning.push_back({ id, {}, Percent(live) });
  }
  report.mEnds = mEnds;
  return report;
}

void simulated_worker::End(const run_id& aRun, run_end aHow)
{
  run_number& highest = mHighestEndedRun[aRun.mTask];
  highest = std::max(highest, aRun.mRun);
  mEnds.push_back({ ++mLastEnd, aRun, aHow, {} });
}

std::optional<run_end> simulated_worker::AdvanceRun(live_run& aRun, milliseconds aPassed,
                                                    instant aNow) const
{
  if (mLeaseUntil < Clock(aNow)) {
    return run_end::kLapsed;
  }
  if (aRun.mStopping) {
    return aNow - aRun.mStoppedAt >= kStopTime ? std::optional(run_end::kStopped) : std::nullopt;
  }
  aRun.mLeft -=
    mStalled ? milliseconds{ 0 }
             : std::chrono::duration_cast<milliseconds>(aPassed / (mSlowdown * aRun.mSlowdown));
  // A failing run fails at half its run time, before its gang is done.
  if (aRun.mFails && 2 * aRun.mLeft <= aRun.mTotal) {
    return run_end::kFailed;
  }
  return aRun.mLeft.count() > 0 ? std::nullopt : std::optional(run_end::kDone);
}

void simulated_worker::Advance(instant aNow)
{
  const auto passed = std::chrono::duration_cast<milliseconds>(aNow - mAdvanced);
  mAdvanced = aNow;
  for (auto each = mRuns.begin(); each != mRuns.end();) {
    if (const auto how = AdvanceRun(each->second, passed, aNow)) {
      End(each->first, *how);
      each = mRuns.erase(each);
    } else {
      ++each;
    }
  }
  if (mLeaseUntil < Clock(aNow)) {
    std::ranges::transform(mEnds, std::inserter(mExpiredEnds, mExpiredEnds.end()),
                           &listed_end::mNumber);
  }
}

void simulated_worker::Crash(instant aNow)
{
  mRuns.clear();
  mEnds.clear();
  mExpiredEnds.clear();
  mHighestEndedRun.clear();
  mLastEnd = 0;
  mHighestEpoch = 0;
  mLeaseUntil = milliseconds{ 0 };
  mClockOrigin = aNow;
  ++mInfo.mIncarnation;
}

} // namespace briarwind::testing
