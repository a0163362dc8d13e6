#pragma once

#include "briarwind/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace briarwind {

// Faults set by POST /test/faults. A member `m…Every` of N applies its fault to every Nth request;
// 0 disables the fault. mDropBeforeRunEvery and mRejectEvery count the requests that arrive, the
// others the requests that finish.
struct instance_faults
{
  milliseconds mLatency{ 0 };
  bool mFailFast = false;                // every request fails with status 500, without the latency
  std::int64_t mServerErrorEvery = 0;    // status 500
  std::int64_t mTruncateEvery = 0;       // half of the body, then a cut connection
  std::int64_t mWrongRequestIdEvery = 0; // the id of another request in the header
  std::int64_t mDuplicateEvery = 0;      // the response is sent twice
  std::int64_t mDropBeforeRunEvery = 0;  // the connection is cut, the request does not run
  std::int64_t mDropAfterRunEvery = 0;   // the request runs, then the connection is cut
  std::int64_t mRejectEvery = 0;         // the request is rejected and does not run
};

// What happens to a request on arrival.
enum class admission : std::uint8_t
{
  kRun,
  kDropConnection, // the connection is cut, the request does not run
  kReject,         // 503 response, the request does not run
};

// The fault applied to the response of a request that ran.
enum class response_fault : std::uint8_t
{
  kNone,
  kDropConnection, // the connection is cut in place of a response
  kServerError,    // status 500
  kTruncate,       // half of the body is sent, then the connection is cut
  kWrongRequestId, // the header carries the id of another request
  kDuplicate,      // the response is sent twice
};

// Admits requests up to a number of slots, counts the runs of each request and selects the requests
// that get a fault.
class instance_state
{
public:
  explicit instance_state(int aSlots)
    : mSlots(aSlots)
  {
  }

  instance_faults& Faults() { return mFaults; }

  // Rejects the request when all slots are in use. A result of kRun occupies a slot until Finish.
  admission Admit(const std::string& aRequestId);
  // Releases one slot and returns the fault for the response.
  response_fault Finish();

  int Running() const { return mRunning; }
  int MaxRunning() const { return mMaxRunning; }
  // Number of runs by request id.
  const std::map<std::string, std::int64_t>& RunCounts() const { return mRunCounts; }

private:
  int mSlots;
  int mRunning = 0;
  int mMaxRunning = 0;
  std::int64_t mArrivedCount = 0;
  std::int64_t mFinishedCount = 0;
  instance_faults mFaults;
  std::map<std::string, std::int64_t> mRunCounts;
};

} // namespace briarwind
