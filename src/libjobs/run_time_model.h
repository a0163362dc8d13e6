#pragma once

#include "briarwind/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace briarwind {

/// Estimates the ratio of actual to declared run times, for each organisation and class of job.
class run_time_model
{
public:
  /// Expected run time: the declared one, corrected by the ratio estimated so far.
  milliseconds Estimate(const std::string& aOrganisation, int aAccelerators,
                        milliseconds aDeclared) const;
  /// Updates the ratio with the actual run time of a finished job.
  void AddObservation(const std::string& aOrganisation, int aAccelerators, milliseconds aDeclared,
                      milliseconds aActual);

private:
  struct job_class
  {
    std::string mOrganisation;
    int mSizeLog2 = 0;
    int mDeclaredLog2 = 0;
    auto operator<=>(const job_class&) const = default;
  };
  struct correction
  {
    double mMeanLogRatio = 0;
    double mWeight = 0;
  };
  static job_class ClassOf(const std::string& aOrganisation, int aAccelerators,
                           milliseconds aDeclared);

  std::map<job_class, correction> mCorrections;
};

} // namespace briarwind
