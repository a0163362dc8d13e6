#pragma once

#include "briarwind/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace briarwind {

/// Learns how far declared run times are off, for each organisation and class of jobs.
class run_time_model
{
public:
  /// Corrects a declared run time by what was learned so far.
  milliseconds Estimate(const std::string& aOrganisation, int aAccelerators,
                        milliseconds aDeclared) const;
  /// Takes in the true run time of a finished job.
  void Learn(const std::string& aOrganisation, int aAccelerators, milliseconds aDeclared,
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
