#pragma once

#include "briarwind/work_core.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace briarwind::testing {

/// Simulates a worker: refuses stale epochs, expires leases by its own clock, and reports each end
/// until it is acknowledged.
class simulated_worker
{
public:
  simulated_worker(registered_worker aInfo, instant aClockOrigin);

  start_outcome Start(const run_id& aRun, std::int64_t aEpoch, milliseconds aUntil,
                      milliseconds aWork, instant aNow);
  stop_outcome Stop(const run_id& aRun, std::int64_t aEpoch, instant aNow);
  /// Returns nullopt when the worker has seen a higher epoch.
  std::optional<worker_report> Poll(const poll_plan& aPlan, std::int64_t aEpoch, instant aNow);
  /// Advances all runs to this time.
  void Advance(instant aNow);
  /// Loses everything and starts a new incarnation.
  void Crash(instant aNow);

  struct live_run
  {
    milliseconds mLeft{ 0 };
    milliseconds mTotal{ 0 };
    instant mStoppedAt;
    bool mStopping = false;
    bool mFails = false;
    /// Of a long-running task: it reports 100 percent from this time on; 0: an ordinary task.
    milliseconds mStartup{ 0 };
    int mFromPercent = 0;       ///< percentage of the checkpoint that it was resumed from
    milliseconds mRestore{ 0 }; ///< it reports 0 percent until it has read the checkpoint
    int mSlowdown = 1;          ///< by its neighbours
  };

  registered_worker mInfo;
  std::map<run_id, live_run> mRuns;
  std::vector<listed_end> mEnds;
  /// Numbers of ends that were not acknowledged when the lease expired: their tasks may be started
  /// again.
  std::set<std::int64_t> mExpiredEnds;
  bool mFailsAll = false;
  bool mStalled = false;
  bool mShowsStartup = true; ///< long-running tasks report a rising percentage during startup
  double mSlowdown = 1;      ///< factor by which the run times are multiplied
  int mStarted = 0;          ///< number of runs started on the worker

  milliseconds Clock(instant aNow) const;

private:
  int Percent(const live_run& aRun) const;
  void End(const run_id& aRun, run_end aHow);
  /// Returns how the run ends at this time, or nullopt while it continues.
  std::optional<run_end> AdvanceRun(live_run& aRun, milliseconds aPassed, instant aNow) const;

  instant mClockOrigin;
  instant mAdvanced;
  std::int64_t mHighestEpoch = 0;
  milliseconds mLeaseUntil{ 0 };
  std::int64_t mLastEnd = 0;
  std::map<task_id, run_number> mHighestEndedRun;
};

} // namespace briarwind::testing
