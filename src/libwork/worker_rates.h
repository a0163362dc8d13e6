#pragma once

#include "briarwind/work_model.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// How fast the workers are, judged by how fast they run tasks of the same step. Declared run times
/// play no part.

namespace briarwind {

enum class speed_class : std::uint8_t
{
  kFast,
  kUsual,
  kSlow,
};

/// Measures the pace of one run on its worker's clock, from its percentages.
class pace_meter
{
public:
  void Read(int aPercent, milliseconds aClock);
  /// Percent per second; nullopt while it was measured over too short a time.
  std::optional<double> PerSecond() const;
  /// Whether the run has progressed enough to be compared, and was not compared at this progress
  /// before. A run is compared with success once.
  bool IsComparisonDue() const;
  void OnCompared(bool aSuccess);
  bool WasCompared() const { return mWasCompared; }

private:
  int mFirstPercent = -1; ///< in the first report
  int mFromPercent = -1;  ///< when the measurement began
  int mPercent = -1;      ///< in the newest report
  milliseconds mFromClock{ 0 };
  milliseconds mClock{ 0 };
  int mNextComparison = 0; ///< percent to be gained before the next comparison
  bool mWasCompared = false;
};

/// Pace of a run on a worker.
struct worker_pace
{
  std::string mWorker;
  double mPace = 0; ///< in any unit; higher is faster
};

/// The pace relative to the median of other workers' paces, of which each worker's first counts;
/// nullopt if they are too few.
std::optional<double> RelativePace(const worker_pace& aRun, std::span<const worker_pace> aOthers);

/// Rates of all workers. Rates lose weight with time, and are kept while a worker is away for less
/// than a minute.
class worker_rates
{
public:
  struct change
  {
    std::string mWorker;
    speed_class mFrom = speed_class::kUsual;
    speed_class mTo = speed_class::kUsual;
    double mRate = 1; ///< relative to the median worker's
  };

  /// Makes the worker known. Its rate is reset when a new incarnation has another address, rack,
  /// label or capacity.
  void OnListed(const registered_worker& aWorker, instant aNow);
  /// Adds what one run showed.
  /// @param aRelativePace 1: as fast as the step's other tasks. No effect for an unknown worker.
  void AddSample(const std::string& aWorker, double aRelativePace, instant aNow);
  /// Adds a completed run, to be compared with other completed runs of its step.
  /// @param aTask of any task of the step; the index is ignored
  void AddCompleted(task_id aTask, const std::string& aWorker, milliseconds aTime, instant aNow);
  /// Compares the step's remaining completed runs; called when the step is done.
  void OnStepDone(task_id aTask, instant aNow);
  /// Updates all classes and forgets workers that were not listed for a minute. Returns the workers
  /// whose class changed.
  std::vector<change> Update(instant aNow);

  speed_class Class(const std::string& aWorker) const;
  /// Estimated speed relative to the tasks it was compared with; drawn towards 1 while there are
  /// few samples.
  double Rate(const std::string& aWorker, instant aNow) const;
  std::size_t Workers() const { return mRates.size(); }
  std::size_t Steps() const { return mCompleted.size(); }

private:
  struct rate
  {
    registered_worker mIdentity;
    instant mListedAt;
    double mSum = 0;    ///< weighted sum of the logarithms of the samples
    double mWeight = 0; ///< number of samples, less what has decayed
    instant mDecayedAt;
    speed_class mClass = speed_class::kUsual;

    double DecayFactor(instant aNow) const;
    double Estimate(instant aNow) const;
    void Decay(instant aNow);
    speed_class NextClass(double aUsual, instant aNow) const;
  };
  struct completed_runs
  {
    std::vector<worker_pace> mRuns;
    std::int64_t mLastUsed = 0;
  };

  double UsualRate(instant aNow) const;
  void CompareCompleted(const std::vector<worker_pace>& aRuns, instant aNow);

  std::map<std::string, rate> mRates;
  std::map<task_id, completed_runs> mCompleted; ///< by step, with the index 0
  std::int64_t mAdded = 0;
};

} // namespace briarwind
