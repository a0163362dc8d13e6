#pragma once

#include "briarwind/work_model.h"

#include <string>
#include <utility>
#include <vector>

/// Jobs as the stories of the step core submit them.

namespace briarwind::testing {

inline work_step Step(int aCount, int aAccelerators)
{
  work_step step;
  step.mCount = aCount;
  step.mDemand = { aAccelerators, 1'000, 1'000 };
  step.mEstimate = milliseconds(1'000);
  return step;
}

inline work_job Job(const std::string& aId, const std::string& aQueue,
                    std::vector<work_step> aSteps)
{
  work_job job;
  job.mId = aId;
  job.mQueue = aQueue;
  job.mOrganisation = "o1";
  job.mPayload = "payload";
  job.mSteps = std::move(aSteps);
  return job;
}

inline work_job Gang(const std::string& aId, const std::string& aQueue, int aCount,
                     int aAccelerators)
{
  work_step step = Step(aCount, aAccelerators);
  step.mGang = true;
  return Job(aId, aQueue, { step });
}

} // namespace briarwind::testing
