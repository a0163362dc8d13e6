#include "work_placement.h"
#include "work_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <ranges>

namespace briarwind {

namespace {

constexpr int kCompletePercent = 100;
// A pace is measured over at least this time: a poll and a little more.
constexpr milliseconds kMinPaceTime{ 1'000 };
// Percentages are whole numbers, so a smaller gain is inexact by more than a fifth.
constexpr int kMinPaceGain = 5;
// A serving task is not disturbed while its tail is below this share of its target; differences
// below it are not evidence.
constexpr double kUndisturbedShare = 0.5;
// Evidence loses half its weight in minutes, so that this interval does not matter.
constexpr milliseconds kExpiryInterval{ 5'000 };

} // namespace

// The members of a gang go at the pace of the slowest, best-effort tasks at that of whatever cores
// are idle, and tasks away from their data several times slower: their pace says nothing about
// their neighbours.
void work_core::state::SetKind(worker_entry& aWorker, run_entry& aRun, const job_entry& aJob,
                               int aStep)
{
  const work_step& step = aJob.mSpec.mSteps[static_cast<std::size_t>(aStep)];
  aRun.mBestEffort = step.mBestEffort;
  aRun.mLatencyTarget = step.mLongRunning ? step.mLatencyTarget : milliseconds{ 0 };
  if (!mOptions.mParts.mInterference) {
    return;
  }
  const bool remote = !step.mDataRack.empty() && step.mDataRack != aWorker.mInfo.mRack;
  aRun.mKind = mInterference.KindOf(TaskKindName(aJob.mSpec, aStep));
  aRun.mShowsPace = !step.mGang && !step.mBestEffort && !remote;
  if (++aWorker.mKinds[aRun.mKind] == 1) {
    ++aWorker.mKindsChange;
  }
}

void work_core::state::RemoveKind(worker_entry& aWorker, const run_entry& aRun)
{
  const auto found = aWorker.mKinds.find(aRun.mKind);
  if (found != aWorker.mKinds.end() && --found->second == 0) {
    aWorker.mKinds.erase(found);
    ++aWorker.mKindsChange;
  }
}

// The first window begins with the first new percentage, since a run shows none while it starts or
// restores its checkpoint.
void work_core::state::MeasureInterference(worker_entry& aWorker, const run_id& aId,
                                           run_entry& aRun, const listed_run& aListed, instant aNow)
{
  if (!aRun.mShowsPace || aRun.mPhase != run_phase::kRunning) {
    return;
  }
  const milliseconds clock = aWorker.mInfo.mClock;
  const int percent = aListed.mPercent;
  const bool serves = aRun.mLatencyTarget.count() > 0;
  const bool measurable = serves ? percent >= kCompletePercent && aListed.mFigure >= 0
                                 : percent < kCompletePercent && aRun.mPercent >= 0;
  pace_window& window = aRun.mPaceWindow;
  // Beside slowed tasks a run shows less than what they do to it at their full pace.
  if (!measurable || aWorker.mPace.Percent() < kCompletePercent) {
    window.mPercent = -1;
    return;
  }
  const milliseconds elapsed = clock - window.mClock;
  const int gain = percent - window.mPercent;
  const bool continues = window.mPercent >= 0 && window.mKindsChange == aWorker.mKindsChange &&
                         elapsed.count() >= 0 && gain >= 0;
  if (!continues) {
    const bool begins = serves || percent > aRun.mPercent;
    window = { begins ? percent : -1, clock, aWorker.mKindsChange };
    return;
  }
  if (elapsed < kMinPaceTime || (!serves && gain < kMinPaceGain)) {
    return;
  }
  window = { percent, clock, aWorker.mKindsChange };
  pace_sample sample;
  sample.mKind = aRun.mKind;
  sample.mStep = fmt::format("{}.{}", aId.mTask.mJob, aId.mTask.mStep);
  sample.mWorker = aWorker.mInfo.mId;
  std::ranges::copy_if(aWorker.mKinds | std::views::keys, std::back_inserter(sample.mNeighbours),
                       [&](task_kind aKind) { return aKind != aRun.mKind; });
  sample.mPace =
    serves ? 1 / std::max(static_cast<double>(aListed.mFigure),
                          kUndisturbedShare * static_cast<double>(aRun.mLatencyTarget.count()))
           : gain / std::chrono::duration<double>(elapsed).count();
  mInterference.Add(sample, aNow);
  EmitInterferenceChanges();
}

std::vector<task_kind> work_core::state::InterferingKinds(const work_job& aJob, int aStep) const
{
  if (!mOptions.mParts.mInterference || mInterference.KnownPairs() == 0) {
    return {};
  }
  return mInterference.InterferingWith(mInterference.FindKind(TaskKindName(aJob, aStep)));
}

// Logs the first placement that a pair has changed.
void work_core::state::RecordSeparation(const ready_unit& aUnit,
                                        const std::vector<worker_entry*>& aWorkers,
                                        const std::vector<std::pair<int, worker_entry*>>& aPlaces)
{
  if (aUnit.mInterfering.empty() || aPlaces.empty()) {
    return;
  }
  const task_kind own = mInterference.FindKind(TaskKindName(aUnit.mJob->mSpec, aUnit.mStep));
  const auto separated = [&](task_kind aOther) {
    return mSeparated.contains(std::minmax(own, aOther));
  };
  if (std::ranges::all_of(aUnit.mInterfering, separated)) {
    return;
  }
  const worker_entry* first = FirstWithoutSeparation(aUnit, aWorkers);
  const task_kind other = first == nullptr ? 0 : InterferingKind(*first, aUnit);
  // With a preference for racks, only a worker of the chosen rack would have been taken.
  const bool avoided =
    std::ranges::none_of(aPlaces, [&](const auto& aPlace) { return aPlace.second == first; });
  const bool sameRack = first != nullptr && std::ranges::any_of(aPlaces, [&](const auto& aPlace) {
                          return aPlace.second->mInfo.mRack == first->mInfo.mRack;
                        });
  const bool byRack = !aUnit.Spec().mDataRack.empty() || aUnit.Spec().mRackLocal;
  if (other == 0 || !avoided || (byRack && !sameRack) || separated(other)) {
    return;
  }
  mSeparated.insert(std::minmax(own, other));
  EmitEvent(work_event_kind::kInterferenceApplied, aUnit.mJob->mSpec.mId, ToString(aUnit.Task(0)),
            first->mInfo.mId,
            fmt::format("{} and {}", mInterference.NameOf(own), mInterference.NameOf(other)));
}

void work_core::state::ExpireInterference(instant aNow)
{
  if (aNow < mInterferenceExpiryAt) {
    return;
  }
  mInterferenceExpiryAt = aNow + kExpiryInterval;
  mInterference.Expire(aNow);
  EmitInterferenceChanges();
}

void work_core::state::EmitInterferenceChanges()
{
  for (const interference_model::pair_change& each : mInterference.TakeChanges()) {
    const bool learned = each.mKind == interference_model::change_kind::kLearned;
    EmitEvent(learned ? work_event_kind::kInterferenceLearned
                      : work_event_kind::kInterferenceForgotten,
              {}, {}, {},
              fmt::format("{} is {:.0f}% slower beside {}", each.mSlowed,
                          100 * std::max(each.mSlowdown, 0.0), each.mBeside));
    if (!learned) {
      mSeparated.erase(std::minmax(each.mPair.mSlowed, each.mPair.mBeside));
    }
  }
}

} // namespace briarwind
