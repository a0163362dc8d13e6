#pragma once

#include "briarwind/work_model.h"

#include <string>
#include <utility>
#include <vector>

/// Sample jobs, workers and settings for the tests of work_core.

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

/// A worker with eight accelerators in its first incarnation.
inline registered_worker Worker(const std::string& aId)
{
  registered_worker info;
  info.mId = aId;
  info.mService = "pool";
  info.mAddress = "10.0.0.1:80";
  info.mCapacity = { 8, 128'000, 262'144 };
  info.mIncarnation = 1;
  return info;
}

/// One queue, `batch`, with priority 1 and three attempts.
inline work_settings BatchSettings()
{
  work_settings settings;
  settings.mQueues["batch"] = { "pool", 1, 3, 3, milliseconds(1'000) };
  return settings;
}

} // namespace briarwind::testing
