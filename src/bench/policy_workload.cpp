#include "bench/policy_workload.h"

#include "briarwind/guarantee_cells.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace briarwind::bench {

namespace {

using std::chrono::hours;

constexpr int kPerWorker = 8; // accelerators
constexpr resource_shape kAcceleratorWorker{ kPerWorker, 128, 262144 };
constexpr resource_shape kPlainWorker{ 0, 128, 262144 };

constexpr cluster_size kSizes[] = {
  { "ferraresi", 4, 1, 50, 0, 6, 4, 8, 64, 0 },
  { "vedacao", 3, 1, 50, 0, 8, 4, 8, 64, 0 },
  { "middle", 6, 2, 106, 494, 8, 8, 20, 96, 0.5 },
  { "target", 11, 3, 212, 988, 8, 12, 40, 128, 0.5 },
};

/// One kind of job in the mix.
struct mix_entry
{
  job_class mClass;
  double mShare; ///< of the jobs with accelerators
  int mLeastMembers;
  int mMostMembers;
  int mAccelerators; ///< of each member
  double mMeanHours;
  adjacency mAdjacency;
};

constexpr mix_entry kMix[] = {
  { job_class::kSingle, 0.56, 1, 1, 1, 3.0, adjacency::kNone },
  { job_class::kSmall, 0.13, 2, 4, 2, 3.0, adjacency::kRack },
  { job_class::kSmall, 0.13, 1, 1, 8, 3.0, adjacency::kWorker },
  { job_class::kMedium, 0.12, 12, 24, 1, 3.0, adjacency::kRack },
  { job_class::kLarge, 0.04, 40, 56, 1, 3.0, adjacency::kDomain },
  { job_class::kLargest, 0.02, 0, 0, 1, 3.0, adjacency::kDomain },
};
constexpr mix_entry kPlainMix{ job_class::kPlain, 1, 40, 128, 0, 5.0, adjacency::kNone };

class drawing
{
public:
  drawing(const cluster_size& aSize, const workload_knobs& aKnobs, std::uint64_t aSeed)
    : mSize(aSize)
    , mKnobs(aKnobs)
    , mRandom(aSeed)
  {
  }

  workload Draw()
  {
    DrawWorkers();
    DrawSettings();
    DrawArrivals();
    DrawBursts();
    DrawTrouble();
    std::ranges::stable_sort(mLoad.mJobs, {}, &planned_job::mArrives);
    return std::move(mLoad);
  }

private:
  double Uniform(double aLeast, double aMost)
  {
    return std::uniform_real_distribution<double>(aLeast, aMost)(mRandom);
  }
  int Whole(int aLeast, int aMost)
  {
    return std::uniform_int_distribution<int>(aLeast, aMost)(mRandom);
  }

  void DrawWorkers()
  {
    const int all = mSize.mAcceleratorWorkers + mSize.mPlainWorkers;
    for (int i = 0; i < all; ++i) {
      const bool plain = i >= mSize.mAcceleratorWorkers;
      const int domain = i % mSize.mDomains;
      const int inDomain = (plain ? i - mSize.mAcceleratorWorkers : i) / mSize.mDomains;
      mLoad.mWorkers.push_back({ fmt::format("w{:04}", i), fmt::format("d{}", domain),
                                 fmt::format("{}{}", plain ? "p" : "r", inDomain / mSize.mPerRack),
                                 fmt::format("region{}", domain % mSize.mRegions),
                                 plain ? kPlainWorker : kAcceleratorWorker, false });
    }
  }

  void DrawSettings()
  {
    settings_view& settings = mLoad.mSettings;
    settings.mRevision = 1;
    for (int i = 0; i < mSize.mOrganisations; ++i) {
      organisation_settings& organisation = settings.mOrganisations[fmt::format("o{}", i)];
      organisation.mName = fmt::format("o{}", i);
      // Habits differ: some declare far too much, others too little.
      mBias.push_back(std::exp(Uniform(-std::log(3.0), std::log(3.0))));
      for (const guarantee& each :
           { guarantee{ "gang", 1, 16, { 1, 8, 8192 }, adjacency::kRack },
             guarantee{ "whole", 2, 1, { 8, 64, 65536 }, adjacency::kWorker } }) {
        organisation.mGuarantees.push_back(each);
        if (HasErrors(CheckGuarantees(settings, mLoad.mWorkers))) {
          organisation.mGuarantees.pop_back();
        }
      }
    }
    const int accelerators = mSize.mAcceleratorWorkers * kPerWorker;
    for (int i = 0; i < mSize.mTeams; ++i) {
      const std::string name = fmt::format("t{}", i);
      const std::string owner = fmt::format("o{}", i % mSize.mOrganisations);
      settings.mTeams[name] = { name, owner, accelerators * 3 / 4, {} };
    }
  }

  milliseconds RunTime(double aMeanHours)
  {
    // Lognormal with this mean; the longest runs are cut.
    constexpr double kSigma = 0.8;
    const double mu = std::log(aMeanHours) - kSigma * kSigma / 2;
    const double drawn = std::lognormal_distribution<double>(mu, kSigma)(mRandom);
    return milliseconds(static_cast<std::int64_t>(std::min(drawn, aMeanHours * 5) * 3'600'000));
  }

  planned_job DrawJob(const mix_entry& aMix, duration aArrives)
  {
    const int organisation = Whole(0, mSize.mOrganisations - 1);
    planned_job job;
    job.mClass = aMix.mClass;
    job.mArrives = aArrives;
    job.mTruth.mTime = RunTime(aMix.mMeanHours);
    job_spec& spec = job.mSpec;
    spec.mId = fmt::format("j{}", ++mJobs);
    spec.mOrganisation = fmt::format("o{}", organisation);
    const int teams = mSize.mTeams / mSize.mOrganisations;
    spec.mTeam =
      fmt::format("t{}", organisation + mSize.mOrganisations * Whole(0, std::max(0, teams - 1)));
    spec.mMembers = aMix.mClass == job_class::kLargest
                      ? mSize.mLargestGang
                      : Whole(aMix.mLeastMembers, aMix.mMostMembers);
    spec.mShape = aMix.mAccelerators == 0
                    ? resource_shape{ 0, 4, 4096 }
                    : resource_shape{ aMix.mAccelerators, 4 * aMix.mAccelerators,
                                      std::int64_t{ 8192 } * aMix.mAccelerators };
    spec.mAdjacency = aMix.mAdjacency;
    const double error = std::exp(Uniform(-1, 1) * std::log(mKnobs.mLargestError / 3));
    const double declared = static_cast<double>(job.mTruth.mTime.count()) *
                            mBias[static_cast<std::size_t>(organisation)] * error;
    spec.mExpected = milliseconds(static_cast<std::int64_t>(declared));
    spec.mRepeatable = Whole(0, 99) < 97;
    spec.mCheckpoints = Whole(0, 99) < 85;
    spec.mUrgent = aMix.mClass == job_class::kSingle && Whole(0, 99) < 5;
    const bool claimable =
      aMix.mClass == job_class::kMedium || spec.mAdjacency == adjacency::kWorker;
    spec.mGuaranteed = claimable && Whole(0, 99) < 25;
    if (spec.mGuaranteed && aMix.mClass == job_class::kMedium) {
      spec.mMembers = std::min(spec.mMembers, 16);
    }
    spec.mRepeatable = spec.mRepeatable || spec.mGuaranteed;
    return job;
  }

  void Arrivals(std::span<const mix_entry> aMix, double aPerHour)
  {
    std::vector<double> shares;
    std::ranges::transform(aMix, std::back_inserter(shares), &mix_entry::mShare);
    std::discrete_distribution<std::size_t> kind(shares.begin(), shares.end());
    std::exponential_distribution<double> gap(aPerHour);
    double at = gap(mRandom);
    while (at < static_cast<double>(mKnobs.mHours.count())) {
      const auto arrives = std::chrono::duration<double, std::ratio<3600>>(at);
      mLoad.mJobs.push_back(
        DrawJob(aMix[kind(mRandom)], std::chrono::duration_cast<duration>(arrives)));
      at += gap(mRandom);
    }
  }

  void DrawArrivals()
  {
    double perJob = 0; // accelerator-hours
    for (const mix_entry& each : kMix) {
      const double members = each.mClass == job_class::kLargest
                               ? mSize.mLargestGang
                               : (each.mLeastMembers + each.mMostMembers) / 2.0;
      perJob += each.mShare * members * each.mAccelerators * each.mMeanHours;
    }
    const double accelerators = mSize.mAcceleratorWorkers * kPerWorker;
    const double perHour = mKnobs.mLoad * accelerators / perJob;
    Arrivals(kMix, perHour);
    if (mSize.mPlainJobShare > 0) {
      Arrivals({ &kPlainMix, 1 }, perHour * mSize.mPlainJobShare / (1 - mSize.mPlainJobShare));
    }
  }

  void DrawBursts()
  {
    const int burst = std::max(20, mSize.mAcceleratorWorkers / 2);
    for (hours at{ 3 }; at < mKnobs.mHours; at += hours(8)) {
      for (int i = 0; i < burst; ++i) {
        mLoad.mJobs.push_back(DrawJob(kMix[0], at));
      }
      for (int i = 0; i < 3; ++i) {
        mLoad.mJobs.push_back(DrawJob(kMix[5], at + hours(2)));
      }
      planned_job impossible = DrawJob(kMix[2], at);
      impossible.mSpec.mShape.mAccelerators = 2 * kPerWorker;
      mLoad.mJobs.push_back(impossible);
      mLoad.mCancelWaves.emplace_back(at + hours(4));
    }
  }

  void DrawTrouble()
  {
    const hours all = mKnobs.mHours;
    mLoad.mWithdrawn = "d1";
    mLoad.mOutFrom = all * 2 / 5;
    mLoad.mOutUntil = mLoad.mOutFrom + hours(2);
    // Work that fits anywhere is waiting then, so that what is not done is lost by the policy.
    const int backlog = mSize.mAcceleratorWorkers * kPerWorker / 3;
    for (int i = 0; i < backlog; ++i) {
      mLoad.mJobs.push_back(DrawJob(kMix[0], mLoad.mOutFrom));
    }
    mLoad.mBadWorker =
      mLoad.mWorkers[static_cast<std::size_t>(Whole(0, mSize.mAcceleratorWorkers - 1))].mName;
    mLoad.mBadFrom = all / 6;
    mLoad.mBadUntil = mLoad.mBadFrom + hours(3);
    // A few jobs fail wherever they run.
    for (planned_job& each : mLoad.mJobs) {
      each.mTruth.mFails = Whole(0, 199) == 0;
    }
  }

  const cluster_size& mSize;
  const workload_knobs& mKnobs;
  std::mt19937_64 mRandom;
  workload mLoad;
  std::vector<double> mBias;
  int mJobs = 0;
};

} // namespace

std::optional<cluster_size> FindSize(std::string_view aName)
{
  const auto found = std::ranges::find(kSizes, aName, &cluster_size::mName);
  return found != std::end(kSizes) ? std::optional(*found) : std::nullopt;
}

std::string_view ToString(job_class aClass)
{
  static constexpr std::string_view kNames[] = { "single", "small",   "medium",
                                                 "large",  "largest", "plain" };
  return kNames[static_cast<std::size_t>(aClass)];
}

workload DrawWorkload(const cluster_size& aSize, const workload_knobs& aKnobs, std::uint64_t aSeed)
{
  return drawing(aSize, aKnobs, aSeed).Draw();
}

} // namespace briarwind::bench
