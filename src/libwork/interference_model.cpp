#include "interference_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <ranges>
#include <utility>

namespace briarwind {

namespace {

// Longer names of images are cut off, so that the memory of the model is bounded.
constexpr std::size_t kMaxNameLength = 128;
// Several times the images in use on a fleet with 40 organisations.
constexpr std::size_t kMaxKinds = 512;
constexpr std::size_t kMaxPairs = 256;
// Steps whose runs were measured last. A step whose paces are discarded is measured anew.
constexpr std::size_t kMaxSteps = 1'024;
constexpr std::size_t kMaxNeighbours = 8;
// The largest fleet, with room for workers that were replaced.
constexpr std::size_t kMaxWorkers = 2'048;
// A pair needs samples from this many workers: on fewer, one slow worker could be the cause.
constexpr std::size_t kMinVotes = 3;
constexpr std::size_t kMaxVotes = 16;
// Means follow about this many of the latest samples.
constexpr int kMemory = 8;
// A mean is used from this many samples on: whole percentages make a single one inexact.
constexpr int kMinCount = 2;
// Tasks of one step differ by about a third, so fewer samples say little about their worker.
constexpr int kMinWorkerCount = 4;
// A single sample counts as at most this change of the logarithm, so that a worker that hangs for
// a moment does not outweigh all others.
constexpr double kMaxChange = 1.5;
// Operators asked to separate kinds that lose at least a fifth of their pace. A known pair is
// forgotten only below half of that, so that it does not alternate between both.
constexpr double kLearnSlowdown = 0.2;
constexpr double kForgetSlowdown = 0.1;
// The evidence of a worker loses half its weight in this time. Kinds that are kept apart give no
// new evidence, so a pair is forgotten after three to five times this and tried again: seldom
// compared with the seconds that it takes to learn the pair once more.
constexpr std::chrono::minutes kHalfLife{ 5 };
// Total weight of the votes below which a pair is forgotten: three votes last three half-lives.
constexpr double kMinWeight = 0.375;

double WeightAt(instant aVote, instant aNow)
{
  const std::chrono::duration<double> age = aNow - aVote;
  return std::exp2(-age / std::chrono::duration<double>(kHalfLife));
}

template<class Map>
void DiscardOldest(Map& aMap)
{
  aMap.erase(
    std::ranges::min_element(aMap, {}, [](const auto& aEach) { return aEach.second.mLastUsed; }));
}

} // namespace

std::string TaskKindName(const work_job& aJob, int aStep)
{
  const work_step& step = aJob.mSteps.at(static_cast<std::size_t>(aStep));
  return step.mImage.empty() ? fmt::format("{}#{}", aJob.mQueue, aStep)
                             : step.mImage.substr(0, kMaxNameLength);
}

void interference_model::mean_pace::Add(double aValue)
{
  mCount = std::min(mCount + 1, kMemory);
  mMean += (aValue - mMean) / mCount;
}

task_kind interference_model::KindOf(const std::string& aName)
{
  auto found = mKinds.find(aName);
  if (found == mKinds.end()) {
    if (mKinds.size() >= kMaxKinds) {
      const auto oldest = std::ranges::min_element(
        mKinds, {}, [](const auto& aEach) { return aEach.second.mLastUsed; });
      DropKind(oldest->second.mNumber);
    }
    found = mKinds.emplace(aName, kind_entry{ ++mLastKind, 0 }).first;
    mNames.emplace(mLastKind, aName);
  }
  found->second.mLastUsed = ++mUses;
  return found->second.mNumber;
}

task_kind interference_model::FindKind(const std::string& aName) const
{
  const auto found = mKinds.find(aName);
  return found == mKinds.end() ? 0 : found->second.mNumber;
}

const std::string& interference_model::NameOf(task_kind aKind) const
{
  static const std::string kNone;
  const auto found = mNames.find(aKind);
  return found == mNames.end() ? kNone : found->second;
}

void interference_model::DropKind(task_kind aKind)
{
  for (auto each = mPairs.begin(); each != mPairs.end();) {
    if (each->first.mSlowed == aKind || each->first.mBeside == aKind) {
      SetKnown(each->first, each->second, false);
      each = mPairs.erase(each);
    } else {
      ++each;
    }
  }
  mKinds.erase(NameOf(aKind));
  mNames.erase(aKind);
}

interference_model::step_paces& interference_model::StepPaces(const std::string& aStep)
{
  if (!mSteps.contains(aStep) && mSteps.size() >= kMaxSteps) {
    DiscardOldest(mSteps);
  }
  step_paces& paces = mSteps[aStep];
  paces.mLastUsed = ++mUses;
  return paces;
}

double interference_model::WorkerOffset(const std::string& aWorker) const
{
  const auto found = mWorkers.find(aWorker);
  return found == mWorkers.end() || found->second.mOffset.mCount < kMinWorkerCount
           ? 0
           : found->second.mOffset.mMean;
}

void interference_model::AddWorkerPace(const std::string& aWorker, double aOffset)
{
  if (!mWorkers.contains(aWorker) && mWorkers.size() >= kMaxWorkers) {
    DiscardOldest(mWorkers);
  }
  worker_pace& pace = mWorkers[aWorker];
  pace.mLastUsed = ++mUses;
  pace.mOffset.Add(aOffset);
}

// A run beside several kinds counts for each of them. The kind that does no harm is also seen
// beside other runs, which outvote these.
void interference_model::Add(const pace_sample& aSample, instant aNow)
{
  if (!mNames.contains(aSample.mKind) || !(aSample.mPace > 0)) {
    return;
  }
  const double measured = std::log(aSample.mPace);
  step_paces& step = StepPaces(aSample.mStep);
  if (aSample.mNeighbours.empty()) {
    // A worker can be judged only by what the step's runs do on others.
    const bool isElsewhere = !step.mAloneWorker.empty() && step.mAloneWorker != aSample.mWorker;
    if (isElsewhere && step.mAlone.mCount >= kMinCount) {
      const double offset = measured - step.mAlone.mMean;
      AddWorkerPace(aSample.mWorker, std::clamp(offset, -kMaxChange, kMaxChange));
    }
    step.mAlone.Add(measured);
    step.mAloneWorker = aSample.mWorker;
  }
  const double pace = measured - WorkerOffset(aSample.mWorker);
  for (const task_kind each : aSample.mNeighbours) {
    if (each == aSample.mKind || !mNames.contains(each) ||
        (!step.mBeside.contains(each) && step.mBeside.size() >= kMaxNeighbours)) {
      continue;
    }
    const auto [place, isNew] = step.mBeside.try_emplace(each);
    beside_pace& beside = place->second;
    if (isNew) {
      beside.mWithout = step.mAll; // so far, no run of the step had this neighbour
    }
    beside.mPace.Add(pace);
    beside.mWorker = aSample.mWorker;
    if (beside.mWithout.mCount >= kMinCount) {
      AddVote({ aSample.mKind, each }, aSample.mWorker, pace - beside.mWithout.mMean, aNow);
    }
  }
  for (auto& [neighbour, beside] : step.mBeside) {
    if (std::ranges::count(aSample.mNeighbours, neighbour) > 0) {
      continue;
    }
    // The neighbour may have been there from the start, so that its effect shows only now.
    const bool isFirst = beside.mWithout.mCount < kMinCount;
    beside.mWithout.Add(pace);
    if (isFirst && beside.mWithout.mCount == kMinCount) {
      AddVote({ aSample.mKind, neighbour }, beside.mWorker,
              beside.mPace.mMean - beside.mWithout.mMean, aNow);
    }
  }
  step.mAll.Add(pace);
}

void interference_model::AddVote(const kind_pair& aPair, const std::string& aWorker, double aChange,
                                 instant aNow)
{
  if (!mPairs.contains(aPair) && mPairs.size() >= kMaxPairs) {
    DiscardLeastCertain(aNow);
  }
  pair_entry& entry = mPairs[aPair];
  const double change = std::clamp(aChange, -kMaxChange, kMaxChange);
  const auto known = std::ranges::find(entry.mVotes, aWorker, &vote::mWorker);
  if (known != entry.mVotes.end()) {
    known->mChange += (change - known->mChange) / 2;
    known->mAt = aNow;
  } else {
    if (entry.mVotes.size() >= kMaxVotes) {
      entry.mVotes.erase(std::ranges::min_element(entry.mVotes, {}, &vote::mAt));
    }
    entry.mVotes.push_back({ aWorker, change, aNow });
  }
  Judge(aPair, entry, aNow);
}

// The weighted median over the workers is the slowdown, so that a few slow workers don't count. The
// pair is learned only if the workers agree: three quarters of them show at least half of the
// threshold.
void interference_model::Judge(const kind_pair& aPair, pair_entry& aEntry, instant aNow)
{
  const double weight = Weight(aEntry, aNow);
  aEntry.mSlowdown = SlowdownAt(aEntry, 0.5 * weight, aNow);
  const bool agree = SlowdownAt(aEntry, 0.25 * weight, aNow) >= kForgetSlowdown;
  const bool learn = aEntry.mVotes.size() >= kMinVotes && agree &&
                     aEntry.mSlowdown >= kLearnSlowdown && weight >= kMinWeight;
  const bool keep = aEntry.mSlowdown >= kForgetSlowdown && weight >= kMinWeight;
  SetKnown(aPair, aEntry, aEntry.mKnown ? keep : learn);
}

double interference_model::Weight(const pair_entry& aEntry, instant aNow)
{
  double weight = 0;
  for (const vote& each : aEntry.mVotes) {
    weight += WeightAt(each.mAt, aNow);
  }
  return weight;
}

// The smallest slowdown such that votes of at least aWeight show no more than that.
double interference_model::SlowdownAt(const pair_entry& aEntry, double aWeight, instant aNow)
{
  std::vector<std::pair<double, double>> votes;
  for (const vote& each : aEntry.mVotes) {
    votes.emplace_back(1 - std::exp(each.mChange), WeightAt(each.mAt, aNow));
  }
  std::ranges::sort(votes);
  double sum = 0;
  for (const auto& [slowdown, weight] : votes) {
    sum += weight;
    if (sum >= aWeight) {
      return slowdown;
    }
  }
  return votes.empty() ? 0 : votes.back().first;
}

void interference_model::SetKnown(const kind_pair& aPair, pair_entry& aEntry, bool aKnown)
{
  if (aEntry.mKnown == aKnown) {
    return;
  }
  aEntry.mKnown = aKnown;
  if (aKnown) {
    mKnown.insert(aPair);
  } else {
    mKnown.erase(aPair);
  }
  mChanges.push_back({ aKnown ? change_kind::kLearned : change_kind::kForgotten, aPair,
                       NameOf(aPair.mSlowed), NameOf(aPair.mBeside), aEntry.mSlowdown });
  std::map<task_kind, std::set<task_kind>> interfering;
  for (const kind_pair& each : mKnown) {
    interfering[each.mSlowed].insert(each.mBeside);
    interfering[each.mBeside].insert(each.mSlowed);
  }
  mInterfering.clear();
  for (const auto& [kind, others] : interfering) {
    mInterfering.emplace(kind, std::vector<task_kind>(others.begin(), others.end()));
  }
}

// Pairs that are known go last; of the others, those with the least evidence first.
void interference_model::DiscardLeastCertain(instant aNow)
{
  const auto certainty = [&](const auto& aPair) {
    return std::pair(aPair.second.mKnown, Weight(aPair.second, aNow));
  };
  const auto least = std::ranges::min_element(mPairs, {}, certainty);
  SetKnown(least->first, least->second, false);
  mPairs.erase(least);
}

void interference_model::Expire(instant aNow)
{
  for (auto each = mPairs.begin(); each != mPairs.end();) {
    Judge(each->first, each->second, aNow);
    each = Weight(each->second, aNow) < kMinWeight ? mPairs.erase(each) : std::next(each);
  }
}

const std::vector<task_kind>& interference_model::InterferingWith(task_kind aKind) const
{
  static const std::vector<task_kind> kNone;
  const auto found = mInterfering.find(aKind);
  return found == mInterfering.end() ? kNone : found->second;
}

std::optional<double> interference_model::Slowdown(const kind_pair& aPair) const
{
  const auto found = mPairs.find(aPair);
  return found == mPairs.end() || !found->second.mKnown ? std::nullopt
                                                        : std::optional(found->second.mSlowdown);
}

std::vector<interference_model::pair_change> interference_model::TakeChanges()
{
  return std::exchange(mChanges, {});
}

} // namespace briarwind
