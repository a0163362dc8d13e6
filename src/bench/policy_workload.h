#pragma once

#include "briarwind/job_core.h"

#include "libjobs/testing/fake_platform.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind::bench {

/// The size of a simulated cluster and of the jobs submitted to it.
struct cluster_size
{
  std::string_view mName;
  int mDomains = 4;
  int mRegions = 1;
  int mAcceleratorWorkers = 50; ///< with 8 accelerators each
  int mPlainWorkers = 0;        ///< without accelerators
  int mWorkersPerRack = 6;
  int mOrganisations = 4;
  int mTeams = 8;
  int mLargestGang = 64;     ///< members, each with one accelerator
  double mPlainJobShare = 0; ///< share of the jobs that need no accelerator
};

/// The predefined size aName, or std::nullopt when there is none of that name.
std::optional<cluster_size> FindClusterSize(std::string_view aName);

/// Classes of jobs, by accelerators, for which completion and waiting times are reported.
enum class job_class : std::uint8_t
{
  kSingle,  ///< one accelerator
  kSmall,   ///< 2 to 8
  kMedium,  ///< 9 to 32
  kLarge,   ///< 33 and more, but smaller than the largest gangs
  kLargest, ///< gangs of cluster_size::mLargestGang members
  kPlain,   ///< no accelerator
};
inline constexpr int kJobClasses = 6;
std::string_view ToString(job_class aClass);

/// A job that is submitted at a given time, with its actual course.
struct planned_job
{
  job_spec mSpec;
  duration mArrivalTime{ 0 }; ///< from the start of the run
  fakes::true_run mActualRun;
  job_class mClass = job_class::kSingle;
};

/// Everything that happens in one run, generated from a seed before the run starts. Times count
/// from the start of the run.
struct workload
{
  std::vector<worker_info> mWorkers;
  settings_view mSettings;
  std::vector<planned_job> mJobs;           ///< by arrival
  std::vector<duration> mCancellationTimes; ///< when some of the open jobs are cancelled
  std::string mFailingWorker;               ///< fails every task from mFailingFrom to mFailingUntil
  duration mFailingFrom{ 0 };
  duration mFailingUntil{ 0 };
  std::string mWithdrawnDomain; ///< domain withdrawn from mWithdrawnFrom to mWithdrawnUntil
  duration mWithdrawnFrom{ 0 };
  duration mWithdrawnUntil{ 0 };
};

/// Parameters of a generated workload.
struct workload_parameters
{
  std::chrono::hours mHours{ 24 }; ///< for which jobs arrive
  double mLoad = 0.95; ///< offered load as a share of the accelerators; bursts come on top
  double mMaxEstimateError = 10; ///< largest factor by which declared and actual run times differ
};

/// The same arguments give the same workload.
workload GenerateWorkload(const cluster_size& aSize, const workload_parameters& aParameters,
                          std::uint64_t aSeed);

} // namespace briarwind::bench
