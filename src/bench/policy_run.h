#pragma once

#include "bench/policy_workload.h"

#include <array>
#include <vector>

namespace briarwind::bench {

/// What one run measured. Times are virtual seconds unless a comment says otherwise.
struct policy_figures
{
  std::array<std::vector<double>, kJobClasses> mCompletion; ///< submission to end, by class
  std::array<std::vector<double>, kJobClasses> mWait;       ///< submission to first running
  std::vector<double> mReclaim;     ///< the same for guaranteed jobs on a guarantee cell
  std::vector<double> mUrgentStart; ///< the same for urgent jobs
  /// Share of the free accelerators that the largest waiting gang could not use; mean over the
  /// samples with a waiting job and a free accelerator.
  double mFragmentation = 0;
  /// Useful work of the workers outside the withdrawn domain, from the withdrawal until an hour
  /// after its end, as a share of their capacity.
  double mWithdrawalWork = 0;
  /// Useful work of all workers over the hours of arrivals, as a share of their capacity.
  double mRunWork = 0;
  /// Real time in microseconds that the core took for each event, without ticks that led to no
  /// action.
  std::vector<double> mDecisionMicros;
  double mCoreMegabytes = 0; ///< heap of a core with the state halfway through the arrivals
  int mTasksInMiddle = 0;    ///< running halfway through the arrivals
  int mJobsInMiddle = 0;     ///< open halfway through the arrivals
  std::uint64_t mEvents = 0; ///< handled by the core
  int mFinished = 0;
  int mFailed = 0;
  int mCancelled = 0;
  int mUnfinished = 0; ///< still open when the run ended
  int mEvictions = 0;
};

/// Runs a workload against a job core with these options on a simulated platform. aParameters are
/// those that the workload was generated with.
policy_figures RunPolicy(const workload& aLoad, const job_options& aOptions,
                         const workload_parameters& aParameters);

/// Options with leases and renewal intervals of 30 days. The fake platform reports the end of each
/// task at once and loses nothing, so a run does not need renewals.
job_options OptionsWithoutRenewals();

} // namespace briarwind::bench
