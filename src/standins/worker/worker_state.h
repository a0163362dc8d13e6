#pragma once

#include "briarwind/error.h"
#include "briarwind/shape.h"
#include "briarwind/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

enum class lease_phase : std::uint8_t
{
  kReserved,
  kRunning,
  kFinished,
  kFailed,
  kStopped,
  kLapsed,
};

std::string_view ToString(lease_phase aPhase);

struct reservation_request
{
  std::string mJob;
  std::int64_t mAttempt = 0;
  std::int64_t mEpoch = 0;
  std::int64_t mMember = 0;
  resource_shape mShape;
  milliseconds mTimeToLive{ 0 };
};

struct start_request
{
  std::int64_t mEpoch = 0;
  milliseconds mLease{ 0 };
  milliseconds mRunTime{ 0 };
};

// A reservation, or the task that was started under it.
struct worker_lease
{
  std::string mId;
  reservation_request mReservation;
  lease_phase mPhase = lease_phase::kReserved;
  instant mExpires;
  instant mStarted;
  milliseconds mRunTime{ 0 };
  milliseconds mProgress{ 0 }; // fixed at the end of the task
  bool mFails = false;
};

struct start_outcome
{
  lease_phase mPhase = lease_phase::kRunning;
  bool mIsFirst = false; // the task was started by this call
};

struct worker_faults
{
  bool mFailAll = false; // every task fails as soon as it runs
  bool mRefuseStarts = false;
};

// Reservations, leases and tasks of one worker. Times that have passed take effect in Advance, so
// it comes before every other call with that time.
//
// Errors: kConflict with the reason `busy`, `stale-epoch`, `stale-attempt` or `refused` in mWhat,
// kNotFound for a lease that is gone or lapsed.
class worker_state
{
public:
  worker_state(resource_shape aCapacity, milliseconds aUsageLag);

  worker_faults& Faults() { return mFaults; }

  // Ends tasks that have run their time and lets leases lapse.
  void Advance(instant aNow);

  // The same member asked for again gets the reservation that it has.
  result<worker_lease> Reserve(const reservation_request& aRequest, instant aNow);
  // Starting twice is one start.
  result<start_outcome> Start(std::string_view aLease, const start_request& aRequest, instant aNow);
  // Sees an epoch; fails with kConflict when a higher one was seen.
  result<void> AdmitEpoch(std::int64_t aEpoch);
  // Nothing changes for a lease that has ended. Null when it is unknown.
  const worker_lease* Renew(std::string_view aLease, milliseconds aTimeToLive, instant aNow);
  result<worker_lease> Stop(std::string_view aLease, instant aNow);
  // Only for what has ended; unknown leases are forgotten already.
  result<void> Forget(std::string_view aLease);

  const worker_lease* Find(std::string_view aLease) const;
  std::vector<worker_lease> Leases() const;
  static milliseconds Progress(const worker_lease& aLease, instant aNow);

  // What was in use a lag ago.
  resource_shape Usage(instant aNow) const;
  milliseconds UsageLag() const { return mUsageLag; }

private:
  struct usage_sample
  {
    instant mTime;
    resource_shape mUsed;
  };

  worker_lease* FindLease(std::string_view aLease);
  worker_lease* FindMember(const reservation_request& aRequest);
  result<void> AdmitAttempt(const std::string& aJob, std::int64_t aAttempt) const;
  void AdvanceOne(worker_lease& aLease, instant aNow) const;
  resource_shape Used() const;

  resource_shape mCapacity;
  milliseconds mUsageLag;
  worker_faults mFaults;
  std::int64_t mHighestEpoch = 0;
  std::int64_t mLastLease = 0;
  std::map<std::string, std::int64_t, std::less<>> mHighestAttempts; // by job
  std::map<std::string, worker_lease, std::less<>> mLeases;
  std::deque<usage_sample> mSamples;
};

} // namespace briarwind
