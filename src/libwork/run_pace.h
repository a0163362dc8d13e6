#pragma once

#include "briarwind/work_core.h"

#include <optional>

namespace briarwind {

/// Measures how long a run takes for one percent. Percentages are whole numbers, so a measurement
/// begins and ends when the percentage changes.
class run_pace
{
public:
  run_pace() = default;
  /// Of a run that starts from the beginning at this time.
  explicit run_pace(instant aStartedAt);

  void Observe(int aPercent, instant aAt);
  /// Upper bound of the mean time for one percent; nullopt before enough progress was seen.
  std::optional<milliseconds> TimePerPercent(milliseconds aReportInterval) const;

private:
  int mPercent = -1;     ///< in the last report; -1: not reported yet
  int mBasePercent = -1; ///< at the begin of the measurement; -1: it has not begun
  instant mBaseAt;
  instant mChangedAt; ///< when the percentage changed last
  bool mFromStart = false;
};

/// What indicates how long a run may go without progress.
struct pace_evidence
{
  std::optional<milliseconds> mOwn;     ///< the run's time per percent
  std::optional<milliseconds> mPeers;   ///< time per percent of other tasks of its step
  std::optional<milliseconds> mLearned; ///< run time of tasks of its queue and shape
  milliseconds mDeclared{ 0 };          ///< declared run time; 0: none
  bool mIsRemote = false; ///< may be slower than its peers, away from its data or its gang
  int mEarlierStalls = 0; ///< earlier runs of the task that were stopped as stalled
};

/// How long a run may go without a new percentage before it counts as stalled.
milliseconds MaxTimeWithoutProgress(const pace_evidence& aEvidence, const work_options& aOptions);

/// How many times longer a run takes away from its data than near them.
constexpr int kRemoteFactor = 3;

} // namespace briarwind
