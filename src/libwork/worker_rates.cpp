#include "worker_rates.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarwind {

namespace {

// A pace is measured over at least this time, which lies between two reports.
constexpr milliseconds kMinPaceTime{ 500 };
// A run is compared only after this time, which is more than a report longer than the former. By
// then the runs that started with it are measured, too; otherwise it would be compared with those
// on the workers that are polled first.
constexpr milliseconds kMinComparisonTime{ 1'400 };
// Progress at which a run is compared first. Percentages are whole numbers, so the error is a
// twentieth; a run without enough others to compare with is tried again later.
constexpr int kFirstComparison = 20;
constexpr int kComparisonStep = 10;
// Runs that completed sooner are not compared: the way of the order and the report would count.
constexpr milliseconds kMinCompletedTime{ 500 };
// Number of other workers in a comparison. The median of three is that of a usual worker even if
// one of them is slow.
constexpr std::size_t kMinOthers = 3;
// Completed runs of a step are compared in blocks of this size. Runs of a block are compared with
// each other, because those that have completed earlier are the faster ones. In a smaller block,
// the runs that complete at about the same time would be on workers of the same speed.
constexpr std::size_t kBlock = 64;
// Maximum number of steps with completed runs that are not compared yet; beyond it the step whose
// last run completed longest ago is dropped. Long runs are compared by their percentages before.
constexpr std::size_t kMaxSteps = 256;
// A single sample counts as at most this much faster or slower (a factor of 1.5). The tasks of a
// step differ by 30% and usual workers by as much; a run that was five times slower for a while
// must not outweigh all others.
constexpr double kMaxLogRatio = 0.405;
// The estimate is drawn towards the usual speed as by this many samples, since a single task may
// take 30% longer than the others.
constexpr double kPriorWeight = 4;
// Samples that a worker needs to leave the usual class, and below which it returns there. A slow
// worker gets few runs, so its class ends by the decay of its samples.
constexpr double kMinWeight = 4;
constexpr double kKeepWeight = 2;
// Total weight of the former samples is at most this, so that a worker that has recovered shows it
// within as many runs again.
constexpr double kMaxWeight = 8;
// Samples lose half their weight in this time: several run times of most tasks, and short enough
// for a worker that has recovered to be used again within a minute.
constexpr std::chrono::duration<double> kHalfLife{ 20 };
// Rates, relative to the median worker's, at which a worker becomes slow or fast and returns to the
// usual class. With the prior, a worker that takes 1.25 times as long becomes slow after some ten
// samples of tasks that differ by 30%, and few usual workers do.
constexpr double kSlowBelow = 0.92;
constexpr double kUsualAbove = 0.96;
constexpr double kFastAbove = 1.08;
constexpr double kUsualBelow = 1.04;
// Fewer judged workers have no meaningful median.
constexpr std::size_t kMinJudgedWorkers = 4;
// A worker that is not listed for this long is forgotten.
constexpr milliseconds kForgetAfter{ 60'000 };

bool IsSameMachine(const registered_worker& aLeft, const registered_worker& aRight)
{
  return aLeft.mAddress == aRight.mAddress && aLeft.mRack == aRight.mRack &&
         aLeft.mLabels == aRight.mLabels && aLeft.mCapacity == aRight.mCapacity;
}

} // namespace

// The measurement begins at the first change of the percentage: before it, the run was starting or
// resuming from a checkpoint.
void pace_meter::Read(int aPercent, milliseconds aClock)
{
  const bool isReset = mFromPercent >= 0 && (aPercent < mPercent || aClock < mClock);
  if (mFirstPercent < 0 || isReset) {
    mFirstPercent = aPercent;
    mFromPercent = -1;
  } else if (mFromPercent < 0 && aPercent != mFirstPercent) {
    mFromPercent = aPercent;
    mFromClock = aClock;
  }
  mPercent = aPercent;
  mClock = aClock;
}

std::optional<double> pace_meter::PerSecond() const
{
  const milliseconds elapsed = mClock - mFromClock;
  if (mFromPercent < 0 || elapsed < kMinPaceTime) {
    return std::nullopt;
  }
  return (mPercent - mFromPercent) / std::chrono::duration<double>(elapsed).count();
}

bool pace_meter::IsComparisonDue() const
{
  return !mWasCompared && mFromPercent >= 0 &&
         mPercent - mFromPercent >= std::max(mNextComparison, kFirstComparison) &&
         mClock - mFromClock >= kMinComparisonTime;
}

void pace_meter::OnCompared(bool aSuccess)
{
  mWasCompared = aSuccess;
  mNextComparison = mPercent - mFromPercent + kComparisonStep;
}

std::optional<double> RelativePace(const worker_pace& aRun, std::span<const worker_pace> aOthers)
{
  std::map<std::string_view, double> paces;
  for (const worker_pace& each : aOthers) {
    if (each.mWorker != aRun.mWorker) {
      paces.emplace(each.mWorker, each.mPace);
    }
  }
  if (paces.size() < kMinOthers) {
    return std::nullopt;
  }
  std::vector<double> sorted;
  std::ranges::transform(paces, std::back_inserter(sorted),
                         [](const auto& aPace) { return aPace.second; });
  std::ranges::sort(sorted);
  const std::size_t half = sorted.size() / 2;
  const double median =
    sorted.size() % 2 == 1 ? sorted[half] : (sorted[half - 1] + sorted[half]) / 2;
  return median > 0 ? std::optional(aRun.mPace / median) : std::nullopt;
}

double worker_rates::rate::DecayFactor(instant aNow) const
{
  return std::exp2(-std::max((aNow - mDecayedAt) / kHalfLife, 0.0));
}

void worker_rates::rate::Decay(instant aNow)
{
  const double factor = DecayFactor(aNow);
  mSum *= factor;
  mWeight *= factor;
  mDecayedAt = aNow;
}

double worker_rates::rate::Estimate(instant aNow) const
{
  const double factor = DecayFactor(aNow);
  return std::exp(mSum * factor / (mWeight * factor + kPriorWeight));
}

speed_class worker_rates::rate::NextClass(double aUsual, instant aNow) const
{
  const double weight = mWeight * DecayFactor(aNow);
  const double estimate = Estimate(aNow) / aUsual;
  if (weight >= kMinWeight && estimate < kSlowBelow) {
    return speed_class::kSlow;
  }
  if (weight >= kMinWeight && estimate > kFastAbove) {
    return speed_class::kFast;
  }
  const bool remains =
    weight >= kKeepWeight && ((mClass == speed_class::kSlow && estimate < kUsualAbove) ||
                              (mClass == speed_class::kFast && estimate > kUsualBelow));
  return remains ? mClass : speed_class::kUsual;
}

void worker_rates::OnListed(const registered_worker& aWorker, instant aNow)
{
  rate& known = mRates[aWorker.mId];
  const bool isNew = known.mListedAt == instant();
  const bool restarted = !isNew && aWorker.mIncarnation > known.mIdentity.mIncarnation;
  if (isNew || (restarted && !IsSameMachine(known.mIdentity, aWorker))) {
    known = {};
    known.mDecayedAt = aNow;
  }
  if (isNew || restarted) {
    known.mIdentity = aWorker;
  }
  known.mListedAt = aNow;
}

void worker_rates::AddSample(const std::string& aWorker, double aRelativePace, instant aNow)
{
  const auto found = mRates.find(aWorker);
  if (found == mRates.end()) {
    return;
  }
  found->second.Decay(aNow);
  const double ratio = aRelativePace > 0 ? std::log(aRelativePace) : -kMaxLogRatio;
  rate& known = found->second;
  const double kept = kMaxWeight / std::max(known.mWeight, kMaxWeight);
  known.mSum = kept * known.mSum + std::clamp(ratio, -kMaxLogRatio, kMaxLogRatio);
  known.mWeight = kept * known.mWeight + 1;
}

void worker_rates::AddCompleted(task_id aTask, const std::string& aWorker, milliseconds aTime,
                                instant aNow)
{
  if (aTime < kMinCompletedTime) {
    return;
  }
  aTask.mIndex = 0;
  if (!mCompleted.contains(aTask) && mCompleted.size() >= kMaxSteps) {
    mCompleted.erase(std::ranges::min_element(
      mCompleted, {}, [](const auto& aEach) { return aEach.second.mLastUsed; }));
  }
  completed_runs& known = mCompleted[aTask];
  known.mLastUsed = ++mAdded;
  known.mRuns.push_back({ aWorker, 1 / std::chrono::duration<double>(aTime).count() });
  if (known.mRuns.size() >= kBlock) {
    CompareCompleted(known.mRuns, aNow);
    known.mRuns.clear();
  }
}

void worker_rates::OnStepDone(task_id aTask, instant aNow)
{
  aTask.mIndex = 0;
  if (const auto found = mCompleted.find(aTask); found != mCompleted.end()) {
    CompareCompleted(found->second.mRuns, aNow);
    mCompleted.erase(found);
  }
}

void worker_rates::CompareCompleted(const std::vector<worker_pace>& aRuns, instant aNow)
{
  for (const worker_pace& each : aRuns) {
    if (const auto relative = RelativePace(each, aRuns)) {
      AddSample(each.mWorker, *relative, aNow);
    }
  }
}

// A sample is relative to a median task, which is below the usual speed where many workers are
// slow: with a third of them slow, usual workers have samples above 1.
double worker_rates::UsualRate(instant aNow) const
{
  std::vector<double> judged;
  for (const auto& [id, known] : mRates) {
    if (known.mWeight * known.DecayFactor(aNow) >= kMinWeight) {
      judged.push_back(known.Estimate(aNow));
    }
  }
  if (judged.size() < kMinJudgedWorkers) {
    return 1;
  }
  const auto middle = judged.begin() + static_cast<std::ptrdiff_t>(judged.size() / 2);
  std::ranges::nth_element(judged, middle);
  return *middle;
}

std::vector<worker_rates::change> worker_rates::Update(instant aNow)
{
  std::erase_if(mRates,
                [&](const auto& aRate) { return aNow - aRate.second.mListedAt > kForgetAfter; });
  const double usual = UsualRate(aNow);
  std::vector<change> changes;
  for (auto& [id, known] : mRates) {
    if (const speed_class next = known.NextClass(usual, aNow); next != known.mClass) {
      changes.push_back(
        { id, std::exchange(known.mClass, next), next, known.Estimate(aNow) / usual });
    }
  }
  return changes;
}

speed_class worker_rates::Class(const std::string& aWorker) const
{
  const auto found = mRates.find(aWorker);
  return found == mRates.end() ? speed_class::kUsual : found->second.mClass;
}

double worker_rates::Rate(const std::string& aWorker, instant aNow) const
{
  const auto found = mRates.find(aWorker);
  return found == mRates.end() ? 1 : found->second.Estimate(aNow);
}

} // namespace briarwind
