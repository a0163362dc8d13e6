#pragma once

#include "briarwind/work_core.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace briarwind::testing {

/// A worker as it obeys orders: fence, leases on its own clock, ends until they are acknowledged.
class simulated_worker
{
public:
  simulated_worker(registered_worker aInfo, instant aBorn);

  start_outcome Start(const run_id& aRun, std::int64_t aEpoch, milliseconds aUntil,
                      milliseconds aWork, instant aNow);
  stop_outcome Stop(const run_id& aRun, std::int64_t aEpoch, instant aNow);
  /// Nothing when a newer leader has asked before.
  std::optional<worker_report> Poll(const poll_plan& aPlan, std::int64_t aEpoch, instant aNow);
  void Advance(instant aNow);
  /// Loses everything and starts a new incarnation.
  void Crash(instant aNow);

  struct live_run
  {
    milliseconds mLeft{ 0 };
    milliseconds mWhole{ 0 };
    instant mStoppedAt;
    bool mStopping = false;
    bool mFails = false;
  };

  registered_worker mInfo;
  std::map<run_id, live_run> mRuns;
  std::vector<listed_end> mEnds;
  /// Ends that were not acknowledged when the lease ran out: their tasks may be started again.
  std::set<std::int64_t> mLapsedEnds;
  bool mFailsAll = false;
  bool mStandsStill = false;
  int mSlowness = 1; ///< its runs take this many times as long
  int mStarted = 0;  ///< runs that began here

  milliseconds Clock(instant aNow) const;

private:
  void End(const run_id& aRun, run_end aHow);
  /// How a run ends now; nothing while it goes on.
  std::optional<run_end> AdvanceRun(live_run& aRun, milliseconds aPassed, instant aNow) const;

  instant mBorn;
  instant mAdvanced;
  std::int64_t mFence = 0;
  milliseconds mLeaseUntil{ 0 };
  std::int64_t mLastEnd = 0;
  std::map<task_id, run_number> mHighestEnded;
};

} // namespace briarwind::testing
