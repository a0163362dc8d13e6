#include "bench/policy_workload.h"

#include "briarwind/guarantee_cells.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace briarwind::bench {

namespace {

using std::chrono::hours;

constexpr int kAcceleratorsPerWorker = 8;
constexpr resource_shape kAcceleratorWorker{ kAcceleratorsPerWorker, 128, 262144 };
constexpr resource_shape kPlainWorker{ 0, 128, 262144 };

constexpr cluster_size kClusterSizes[] = {
  { "ferraresi", 4, 1, 50, 0, 6, 4, 8, 64, 0 },
  { "vedacao", 3, 1, 50, 0, 8, 4, 8, 64, 0 },
  { "middle", 6, 2, 106, 494, 8, 8, 20, 96, 0.5 },
  { "target", 11, 3, 212, 988, 8, 12, 40, 128, 0.5 },
};

/// One kind of job in the mix of jobs.
struct mix_entry
{
  job_class mClass;
  double mShare; ///< of the jobs with accelerators
  int mMinMembers;
  int mMaxMembers;
  int mAccelerators; ///< for each member
  double mMeanHours;
  adjacency mAdjacency;
};

// The members of the largest gangs come from cluster_size::mLargestGang.
constexpr mix_entry kMix[] = {
  { job_class::kSingle, 0.56, 1, 1, 1, 3.0, adjacency::kNone },
  { job_class::kSmall, 0.13, 2, 4, 2, 3.0, adjacency::kRack },
  { job_class::kSmall, 0.13, 1, 1, 8, 3.0, adjacency::kWorker },
  { job_class::kMedium, 0.12, 12, 24, 1, 3.0, adjacency::kRack },
  { job_class::kLarge, 0.04, 40, 56, 1, 3.0, adjacency::kDomain },
  { job_class::kLargest, 0.02, 0, 0, 1, 3.0, adjacency::kDomain },
};
constexpr mix_entry kPlainMix{ job_class::kPlain, 1, 40, 128, 0, 5.0, adjacency::kNone };

/// Generates one workload. The order of the random draws decides what a seed gives.
class workload_generator
{
public:
  workload_generator(const cluster_size& aSize, const workload_parameters& aParameters,
                     std::uint64_t aSeed)
    : mSize(aSize)
    , mParameters(aParameters)
    , mRandom(aSeed)
  {
  }

  workload Generate()
  {
    GenerateWorkers();
    GenerateSettings();
    GenerateRegularArrivals();
    GenerateBursts();
    GenerateFaults();
    std::ranges::stable_sort(mWorkload.mJobs, {}, &planned_job::mArrivalTime);
    return std::move(mWorkload);
  }

private:
  double UniformReal(double aMin, double aMax)
  {
    return std::uniform_real_distribution<double>(aMin, aMax)(mRandom);
  }
  int UniformInt(int aMin, int aMax)
  {
    return std::uniform_int_distribution<int>(aMin, aMax)(mRandom);
  }

  void GenerateWorkers()
  {
    const int workerCount = mSize.mAcceleratorWorkers + mSize.mPlainWorkers;
    for (int i = 0; i < workerCount; ++i) {
      const bool plain = i >= mSize.mAcceleratorWorkers;
      const int domain = i % mSize.mDomains;
      const int indexInDomain = (plain ? i - mSize.mAcceleratorWorkers : i) / mSize.mDomains;
      mWorkload.mWorkers.push_back(
        { fmt::format("w{:04}", i), fmt::format("d{}", domain),
          fmt::format("{}{}", plain ? "p" : "r", indexInDomain / mSize.mWorkersPerRack),
          fmt::format("region{}", domain % mSize.mRegions),
          plain ? kPlainWorker : kAcceleratorWorker, false });
    }
  }

  void GenerateSettings()
  {
    settings_view& settings = mWorkload.mSettings;
    settings.mRevision = 1;
    for (int i = 0; i < mSize.mOrganisations; ++i) {
      organisation_settings& organisation = settings.mOrganisations[fmt::format("o{}", i)];
      organisation.mName = fmt::format("o{}", i);
      // Each organisation declares run times that are too long or too short by a factor of its own,
      // between 1/3 and 3.
      mDeclaredTimeBias.push_back(std::exp(UniformReal(-std::log(3.0), std::log(3.0))));
      for (const guarantee& each :
           { guarantee{ "gang", 1, 16, { 1, 8, 8192 }, adjacency::kRack },
             guarantee{ "whole", 2, 1, { 8, 64, 65536 }, adjacency::kWorker } }) {
        organisation.mGuarantees.push_back(each);
        if (HasErrors(CheckGuarantees(settings, mWorkload.mWorkers))) {
          organisation.mGuarantees.pop_back();
        }
      }
    }
    const int accelerators = mSize.mAcceleratorWorkers * kAcceleratorsPerWorker;
    for (int i = 0; i < mSize.mTeams; ++i) {
      const std::string name = fmt::format("t{}", i);
      const std::string owner = fmt::format("o{}", i % mSize.mOrganisations);
      settings.mTeams[name] = { name, owner, accelerators * 3 / 4, {} };
    }
  }

  milliseconds DrawRunTime(double aMeanHours)
  {
    // Log-normal with mean aMeanHours, capped at five times the mean.
    constexpr double kSigma = 0.8;
    const double mu = std::log(aMeanHours) - kSigma * kSigma / 2;
    const double drawn = std::lognormal_distribution<double>(mu, kSigma)(mRandom);
    return milliseconds(static_cast<std::int64_t>(std::min(drawn, aMeanHours * 5) * 3'600'000));
  }

  planned_job GenerateJob(const mix_entry& aMix, duration aArrivalTime)
  {
    const int organisation = UniformInt(0, mSize.mOrganisations - 1);
    planned_job job;
    job.mClass = aMix.mClass;
    job.mArrivalTime = aArrivalTime;
    job.mActualRun.mTime = DrawRunTime(aMix.mMeanHours);
    job_spec& spec = job.mSpec;
    spec.mId = fmt::format("j{}", ++mGeneratedJobs);
    spec.mOrganisation = fmt::format("o{}", organisation);
    const int teams = mSize.mTeams / mSize.mOrganisations;
    spec.mTeam = fmt::format("t{}", organisation +
                                      mSize.mOrganisations * UniformInt(0, std::max(0, teams - 1)));
    spec.mMembers = aMix.mClass == job_class::kLargest
                      ? mSize.mLargestGang
                      : UniformInt(aMix.mMinMembers, aMix.mMaxMembers);
    spec.mShape = aMix.mAccelerators == 0
                    ? resource_shape{ 0, 4, 4096 }
                    : resource_shape{ aMix.mAccelerators, 4 * aMix.mAccelerators,
                                      std::int64_t{ 8192 } * aMix.mAccelerators };
    spec.mAdjacency = aMix.mAdjacency;
    const double errorFactor =
      std::exp(UniformReal(-1, 1) * std::log(mParameters.mMaxEstimateError / 3));
    const double declaredMilliseconds = static_cast<double>(job.mActualRun.mTime.count()) *
                                        mDeclaredTimeBias[static_cast<std::size_t>(organisation)] *
                                        errorFactor;
    spec.mExpected = milliseconds(static_cast<std::int64_t>(declaredMilliseconds));
    spec.mRepeatable = UniformInt(0, 99) < 97;
    spec.mCheckpoints = UniformInt(0, 99) < 85;
    spec.mUrgent = aMix.mClass == job_class::kSingle && UniformInt(0, 99) < 5;
    const bool mayBeGuaranteed =
      aMix.mClass == job_class::kMedium || spec.mAdjacency == adjacency::kWorker;
    spec.mGuaranteed = mayBeGuaranteed && UniformInt(0, 99) < 25;
    if (spec.mGuaranteed && aMix.mClass == job_class::kMedium) {
      spec.mMembers = std::min(spec.mMembers, 16);
    }
    spec.mRepeatable = spec.mRepeatable || spec.mGuaranteed;
    return job;
  }

  void GenerateArrivals(std::span<const mix_entry> aMix, double aJobsPerHour)
  {
    std::vector<double> shares;
    std::ranges::transform(aMix, std::back_inserter(shares), &mix_entry::mShare);
    std::discrete_distribution<std::size_t> kindIndex(shares.begin(), shares.end());
    std::exponential_distribution<double> intervalHours(aJobsPerHour);
    double time = intervalHours(mRandom);
    while (time < static_cast<double>(mParameters.mHours.count())) {
      const auto arrives = std::chrono::duration<double, std::ratio<3600>>(time);
      mWorkload.mJobs.push_back(
        GenerateJob(aMix[kindIndex(mRandom)], std::chrono::duration_cast<duration>(arrives)));
      time += intervalHours(mRandom);
    }
  }

  void GenerateRegularArrivals()
  {
    double acceleratorHoursPerJob = 0;
    for (const mix_entry& each : kMix) {
      const double members = each.mClass == job_class::kLargest
                               ? mSize.mLargestGang
                               : (each.mMinMembers + each.mMaxMembers) / 2.0;
      acceleratorHoursPerJob += each.mShare * members * each.mAccelerators * each.mMeanHours;
    }
    const double accelerators = mSize.mAcceleratorWorkers * kAcceleratorsPerWorker;
    const double jobsPerHour = mParameters.mLoad * accelerators / acceleratorHoursPerJob;
    GenerateArrivals(kMix, jobsPerHour);
    if (mSize.mPlainJobShare > 0) {
      GenerateArrivals({ &kPlainMix, 1 },
                       jobsPerHour * mSize.mPlainJobShare / (1 - mSize.mPlainJobShare));
    }
  }

  /// Every 8 hours: a burst of single-accelerator jobs, one job with members too large for any
  /// worker, three of the largest gangs 2 hours later and a cancellation 4 hours later.
  void GenerateBursts()
  {
    const int burst = std::max(20, mSize.mAcceleratorWorkers / 2);
    for (hours time{ 3 }; time < mParameters.mHours; time += hours(8)) {
      for (int i = 0; i < burst; ++i) {
        mWorkload.mJobs.push_back(GenerateJob(kMix[0], time));
      }
      for (int i = 0; i < 3; ++i) {
        mWorkload.mJobs.push_back(GenerateJob(kMix[5], time + hours(2)));
      }
      planned_job impossible = GenerateJob(kMix[2], time);
      impossible.mSpec.mShape.mAccelerators = 2 * kAcceleratorsPerWorker;
      mWorkload.mJobs.push_back(impossible);
      mWorkload.mCancellationTimes.emplace_back(time + hours(4));
    }
  }

  /// A withdrawn failure domain, a failing worker and jobs that fail by themselves.
  void GenerateFaults()
  {
    const hours length = mParameters.mHours;
    mWorkload.mWithdrawnDomain = "d1";
    mWorkload.mWithdrawnFrom = length * 2 / 5;
    mWorkload.mWithdrawnUntil = mWorkload.mWithdrawnFrom + hours(2);
    // Single-accelerator jobs, which fit anywhere, wait during the withdrawal. An accelerator that
    // stays idle then is a loss by the policy, not a lack of work.
    const int backlog = mSize.mAcceleratorWorkers * kAcceleratorsPerWorker / 3;
    for (int i = 0; i < backlog; ++i) {
      mWorkload.mJobs.push_back(GenerateJob(kMix[0], mWorkload.mWithdrawnFrom));
    }
    mWorkload.mFailingWorker =
      mWorkload.mWorkers[static_cast<std::size_t>(UniformInt(0, mSize.mAcceleratorWorkers - 1))]
        .mName;
    mWorkload.mFailingFrom = length / 6;
    mWorkload.mFailingUntil = mWorkload.mFailingFrom + hours(3);
    // One job in 200 fails on any worker.
    for (planned_job& each : mWorkload.mJobs) {
      each.mActualRun.mFails = UniformInt(0, 199) == 0;
    }
  }

  const cluster_size& mSize;
  const workload_parameters& mParameters;
  std::mt19937_64 mRandom;
  workload mWorkload;
  std::vector<double> mDeclaredTimeBias;
  int mGeneratedJobs = 0;
};

} // namespace

std::optional<cluster_size> FindClusterSize(std::string_view aName)
{
  const auto found = std::ranges::find(kClusterSizes, aName, &cluster_size::mName);
  return found != std::end(kClusterSizes) ? std::optional(*found) : std::nullopt;
}

std::string_view ToString(job_class aClass)
{
  static constexpr std::string_view kNames[] = { "single", "small",   "medium",
                                                 "large",  "largest", "plain" };
  return kNames[static_cast<std::size_t>(aClass)];
}

workload GenerateWorkload(const cluster_size& aSize, const workload_parameters& aParameters,
                          std::uint64_t aSeed)
{
  return workload_generator(aSize, aParameters, aSeed).Generate();
}

} // namespace briarwind::bench
