#pragma once

#include "briarwind/work_model.h"

#include <compare>
#include <map>
#include <optional>
#include <string>

namespace briarwind {

/// Runs of tasks that take about the same time.
struct run_kind
{
  std::string mQueue;
  int mAccelerators = 0;
  std::int64_t mMilliCores = 0;
  bool mGang = false;

  auto operator<=>(const run_kind&) const = default;
};

run_kind KindOf(const work_job& aJob, const work_step& aStep);

/// Learns how long runs of each kind take, from runs that were started from the beginning and
/// completed. Declared run times can be off by a factor of ten.
class run_time_estimates
{
public:
  void Add(const run_kind& aKind, milliseconds aTime);
  /// Mean time of a run; nullopt while too few runs of the kind have completed.
  std::optional<milliseconds> Find(const run_kind& aKind) const;
  std::size_t Kinds() const { return mKinds.size(); }

private:
  struct estimate
  {
    double mMean = 0; ///< in milliseconds
    int mCount = 0;
    std::int64_t mLastUsed = 0;
  };

  std::map<run_kind, estimate> mKinds;
  std::int64_t mAdded = 0;
};

} // namespace briarwind
