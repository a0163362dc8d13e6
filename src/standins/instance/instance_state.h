#pragma once

#include "briarwind/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace briarwind {

// Switches of POST /test/faults. `Every` is the number of requests from one fault to the next.
struct instance_faults
{
  milliseconds mLatency{ 0 };
  bool mFailFast = false;
  std::int64_t mFailEvery = 0;
  std::int64_t mTruncateEvery = 0;
  std::int64_t mForeignEvery = 0;
  std::int64_t mDoubleEvery = 0;
  std::int64_t mDropBeforeRunEvery = 0;
  std::int64_t mDropAfterRunEvery = 0;
  std::int64_t mNotRunEvery = 0;
};

enum class admission : std::uint8_t
{
  kRun,
  kDrop,   // the connection is cut and nothing runs
  kNotRun, // refused, nothing runs
};

// How the answer to a request that ran goes out.
enum class answer_fault : std::uint8_t
{
  kNone,
  kDrop,
  kFail,
  kTruncate,
  kForeign,
  kDouble,
};

// Which requests run, how often, and which of them go wrong.
class instance_state
{
public:
  explicit instance_state(int aSlots)
    : mSlots(aSlots)
  {
  }

  instance_faults& Faults() { return mFaults; }

  // A request that runs takes a slot until Finish.
  admission Admit(const std::string& aRequestId);
  answer_fault Finish();

  int Running() const { return mRunning; }
  int MaxRunning() const { return mMaxRunning; }
  // How often each request ran.
  const std::map<std::string, std::int64_t>& Runs() const { return mRuns; }

private:
  int mSlots;
  int mRunning = 0;
  int mMaxRunning = 0;
  std::int64_t mArrived = 0;
  std::int64_t mFinished = 0;
  instance_faults mFaults;
  std::map<std::string, std::int64_t> mRuns;
};

} // namespace briarwind
