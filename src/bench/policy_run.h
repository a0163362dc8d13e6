#pragma once

#include "bench/policy_workload.h"

#include <array>
#include <vector>

namespace briarwind::bench {

/// What one run showed. Times in seconds unless said otherwise.
struct policy_figures
{
  std::array<std::vector<double>, kJobClasses> mCompletion; ///< submission to end, by class
  std::array<std::vector<double>, kJobClasses> mWait;       ///< submission to first running
  std::vector<double> mReclaim;                             ///< wait of claims that got their cell
  std::vector<double> mUrgentStart;
  double mFragmentation = 0;  ///< mean over samples with a waiting job
  double mWithdrawalWork = 0; ///< share of what the remaining workers could give
  double mRunWork = 0;        ///< the same over all hours of arrivals
  std::vector<double> mDecisionMicros;
  double mCoreMegabytes = 0; ///< of a core that holds the state in the middle of the run
  int mTasksInMiddle = 0;
  int mJobsInMiddle = 0;
  std::uint64_t mEvents = 0;
  int mFinished = 0;
  int mFailed = 0;
  int mCancelled = 0;
  int mUnfinished = 0;
  int mEvictions = 0;
};

policy_figures RunPolicy(const workload& aLoad, const job_options& aOptions,
                         const workload_knobs& aKnobs);

/// Options under which the fake platform needs no renewals: ends are told, nothing is lost.
job_options QuietOptions();

} // namespace briarwind::bench
