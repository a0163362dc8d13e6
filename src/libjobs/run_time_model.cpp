#include "libjobs/run_time_model.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace briarwind {

namespace {

// Caps the weight of past observations, so that the mean follows a class whose jobs change.
constexpr double kMaxWeight = 30;
// Prior: counts as this many jobs whose run times were exactly as declared.
constexpr double kPriorWeight = 2;
// Limits the ratio that a single job contributes, so that one outlier cannot dominate the mean.
constexpr double kMaxRatio = 100;

int Log2(std::int64_t aValue)
{
  return static_cast<int>(
    std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(aValue, 0))));
}

} // namespace

run_time_model::job_class run_time_model::ClassOf(const std::string& aOrganisation,
                                                  int aAccelerators, milliseconds aDeclared)
{
  return { aOrganisation, Log2(aAccelerators), Log2(aDeclared.count()) / 2 };
}

milliseconds run_time_model::Estimate(const std::string& aOrganisation, int aAccelerators,
                                      milliseconds aDeclared) const
{
  const auto found = mCorrections.find(ClassOf(aOrganisation, aAccelerators, aDeclared));
  if (found == mCorrections.end()) {
    return aDeclared;
  }
  const correction& learned = found->second;
  const double confidence = learned.mWeight / (learned.mWeight + kPriorWeight);
  const double factor = std::exp(learned.mMeanLogRatio * confidence);
  return milliseconds(static_cast<std::int64_t>(static_cast<double>(aDeclared.count()) * factor));
}

void run_time_model::AddObservation(const std::string& aOrganisation, int aAccelerators,
                                    milliseconds aDeclared, milliseconds aActual)
{
  if (aDeclared.count() <= 0 || aActual.count() <= 0) {
    return;
  }
  const double ratio =
    std::clamp(static_cast<double>(aActual.count()) / static_cast<double>(aDeclared.count()),
               1 / kMaxRatio, kMaxRatio);
  correction& learned = mCorrections[ClassOf(aOrganisation, aAccelerators, aDeclared)];
  learned.mWeight = std::min(learned.mWeight + 1, kMaxWeight);
  learned.mMeanLogRatio += (std::log(ratio) - learned.mMeanLogRatio) / learned.mWeight;
}

} // namespace briarwind
