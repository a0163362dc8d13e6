#pragma once

#include "briarwind/job_core.h"

#include "libjobs/testing/fake_platform.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind::bench {

/// How large a cluster is and what comes in.
struct cluster_size
{
  std::string_view mName;
  int mDomains = 4;
  int mRegions = 1;
  int mAcceleratorWorkers = 50; ///< with 8 accelerators each
  int mPlainWorkers = 0;        ///< with none
  int mPerRack = 6;
  int mOrganisations = 4;
  int mTeams = 8;
  int mLargestGang = 64;     ///< members of one accelerator
  double mPlainJobShare = 0; ///< jobs that need no accelerator
};

/// Nothing when there is no such size.
std::optional<cluster_size> FindSize(std::string_view aName);

/// Size classes that completion times are reported by.
enum class job_class : std::uint8_t
{
  kSingle,  ///< one accelerator
  kSmall,   ///< 2 to 8
  kMedium,  ///< 9 to 32
  kLarge,   ///< 33 and more, short of the largest
  kLargest, ///< the largest gangs of the size
  kPlain,   ///< no accelerator
};
inline constexpr int kJobClasses = 6;
std::string_view ToString(job_class aClass);

struct planned_job
{
  job_spec mSpec;
  duration mArrives{ 0 };
  fakes::true_run mTruth;
  job_class mClass = job_class::kSingle;
};

/// Everything that happens in one run, drawn from a seed before it starts.
struct workload
{
  std::vector<worker_info> mWorkers;
  settings_view mSettings;
  std::vector<planned_job> mJobs; ///< by arrival
  std::vector<duration> mCancelWaves;
  std::string mBadWorker; ///< fails everything from mBadFrom to mBadUntil
  duration mBadFrom{ 0 };
  duration mBadUntil{ 0 };
  std::string mWithdrawn; ///< domain that is out from mOutFrom to mOutUntil
  duration mOutFrom{ 0 };
  duration mOutUntil{ 0 };
};

struct workload_knobs
{
  std::chrono::hours mHours{ 24 };
  double mLoad = 0.95;       ///< of the accelerators
  double mLargestError = 10; ///< declared run times are off by up to this factor
};

workload DrawWorkload(const cluster_size& aSize, const workload_knobs& aKnobs, std::uint64_t aSeed);

} // namespace briarwind::bench
