#include "work_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace briarwind {

namespace {

constexpr int kCompletePercent = 100;
// A pace order without an answer is sent again after this time, like a stop order.
constexpr milliseconds kPaceRetry{ 400 };
// A worker that refuses an order, for example since it does not have paces, is asked again seldom.
constexpr milliseconds kRefusedPaceRetry{ 5'000 };

} // namespace

bool work_core::state::IsSlowed(const worker_entry& aWorker, const run_entry& aRun) const
{
  return MayPace() && aRun.mBestEffort &&
         (aWorker.mPace.Percent() < 100 || aRun.mPacePercent != 100);
}

// While no serving task of the worker reports its tail, the pace stays as it is: a serving task
// that is starting again needs the room soon.
void work_core::state::SetPaces(worker_entry& aWorker, instant aNow)
{
  if (!MayPace()) {
    return;
  }
  bool hasServing = false;
  bool hasBestEffort = false;
  bool isRestored = false; // an earlier leader ordered the pace
  std::optional<double> load;
  for (const auto& [id, run] : aWorker.mRuns) {
    hasBestEffort = hasBestEffort || run.mBestEffort;
    isRestored = isRestored || (run.mBestEffort && run.mPacePercent < 0);
    if (run.mLatencyTarget.count() <= 0) {
      continue;
    }
    hasServing = true;
    if (run.mPhase == run_phase::kRunning && run.mPercent >= kCompletePercent && run.mFigure >= 0) {
      const double share =
        static_cast<double>(run.mFigure) / static_cast<double>(run.mLatencyTarget.count());
      load = std::max(load.value_or(0), share);
    }
  }
  const int before = aWorker.mPace.Percent();
  if (!hasServing || !hasBestEffort) {
    aWorker.mPace.Reset();
  } else if (load) {
    // The target may have been missed since before the last leader ended, so that there is no time
    // for steps.
    if (!std::exchange(aWorker.mPaceJudged, true) && isRestored && *load > 1) {
      aWorker.mPace.SetLowest(aNow);
    } else {
      aWorker.mPace.Apply(*load, aNow);
    }
  }
  if (aWorker.mPace.Percent() != before) {
    EmitEvent(work_event_kind::kPaceChanged, {}, {}, aWorker.mInfo.mId,
              fmt::format("{} percent", aWorker.mPace.Percent()));
  }
  SendPaces(aWorker, aNow);
}

void work_core::state::SendPaces(worker_entry& aWorker, instant aNow)
{
  if (!MayPace()) {
    return;
  }
  const int percent = aWorker.mPace.Percent();
  for (auto& [id, run] : aWorker.mRuns) {
    if (run.mBestEffort && run.mPhase == run_phase::kRunning && run.mPacePercent != percent &&
        !run.mPaceInFlight && run.mPaceRetryAt <= aNow) {
      run.mPaceInFlight = true;
      run.mPaceRetryAt = aNow + kPaceRetry;
      mActions.emplace_back(pace_run{ id, aWorker.mInfo.mId, percent });
    }
  }
}

void work_core::state::HandlePaced(worker_entry& aWorker, const pace_run& aOrder,
                                   pace_outcome aOutcome, instant aNow)
{
  const auto found = aWorker.mRuns.find(aOrder.mRun);
  if (found == aWorker.mRuns.end()) {
    return;
  }
  run_entry& run = found->second;
  run.mPaceInFlight = false;
  if (aOutcome == pace_outcome::kPaced) {
    run.mPacePercent = aOrder.mPercent;
    run.mPaceRetryAt = {};
  } else if (aOutcome == pace_outcome::kUnknown) {
    run.mPacePercent = -1;
  } else if (aOutcome == pace_outcome::kRefused) {
    run.mPaceRetryAt = aNow + kRefusedPaceRetry;
  }
}

} // namespace briarwind
