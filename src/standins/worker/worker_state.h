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

// A lease is active in the first two phases; the others are final.
enum class lease_phase : std::uint8_t
{
  kReserved, // resources are reserved, no task was started
  kRunning,
  kFinished, // the task ran for its whole run time
  kFailed,
  kStopped, // ended by a call to Stop
  kLapsed,  // not renewed in time
};

std::string_view ToString(lease_phase aPhase);

// A request for the resources of one member of a job's attempt.
struct reservation_request
{
  std::string mJob;
  std::int64_t mAttempt = 0;
  std::int64_t mEpoch = 0; // fencing epoch of the scheduler
  std::int64_t mMember = 0;
  resource_shape mShape;
  milliseconds mTimeToLive{ 0 };
};

struct start_request
{
  std::int64_t mEpoch = 0;
  milliseconds mLeaseTime{ 0 }; // time to the expiry of the lease, unless it is renewed
  milliseconds mRunTime{ 0 };   // time after which the task finishes
};

// A reservation and the task that was started under it, if any.
struct worker_lease
{
  std::string mId;
  reservation_request mReservation;
  lease_phase mPhase = lease_phase::kReserved;
  instant mExpires;
  instant mStarted;
  milliseconds mRunTime{ 0 };
  milliseconds mProgress{ 0 }; // run time of the task, set when the lease ends
  bool mWillFail = false;      // the task ends as failed
};

// The phase of a lease after a call to Start.
struct start_result
{
  lease_phase mPhase = lease_phase::kRunning;
  bool mStartedByThisCall = false; // false if the task was started by an earlier call
};

// Faults set by POST /test/faults.
struct worker_faults
{
  bool mFailAll = false; // every task started from now on fails at once
  bool mRefuseStarts = false;
};

// Reservations, leases and tasks of one worker. Leases expire and tasks finish only in AdvanceTo,
// so call AdvanceTo(aNow) before any other call with the same aNow.
//
// Errors: kConflict with the reason `busy`, `stale-epoch`, `stale-attempt`, `refused` or `running`
// in mWhat; kNotFound for an unknown lease and for the start of a stopped or lapsed one.
class worker_state
{
public:
  worker_state(resource_shape aCapacity, milliseconds aUsageLag);

  worker_faults& Faults() { return mFaults; }

  // Finishes the tasks whose run time is over and ends the leases that have expired, as of aNow.
  void AdvanceTo(instant aNow);

  // Idempotent: a repeated request for the same job, attempt and member extends and returns the
  // existing reservation. Fails with `stale-attempt` if its task was started already.
  result<worker_lease> Reserve(const reservation_request& aRequest, instant aNow);
  // Idempotent: a repeated call does not start the task again and returns its current phase.
  result<start_result> Start(std::string_view aLease, const start_request& aRequest, instant aNow);
  // Records the fencing epoch of a caller; fails with kConflict if a higher one was recorded
  // before.
  result<void> CheckAndRecordEpoch(std::int64_t aEpoch);
  // Moves the expiry of an active lease to aTimeToLive after aNow and returns the lease. A lease
  // that has ended is returned unchanged; nullptr if the lease is unknown.
  const worker_lease* Renew(std::string_view aLease, milliseconds aTimeToLive, instant aNow);
  // Ends an active lease as stopped. A lease that has ended is returned unchanged.
  result<worker_lease> Stop(std::string_view aLease, instant aNow);
  // Removes a lease that has ended; succeeds for an unknown one. Fails with `running` for an active
  // lease.
  result<void> Forget(std::string_view aLease);

  const worker_lease* Find(std::string_view aLease) const;
  std::vector<worker_lease> Leases() const;
  // Run time of the task up to aNow; 0 if it was not started.
  static milliseconds Progress(const worker_lease& aLease, instant aNow);

  // Resources reserved one usage lag before aNow; zero if no sample is that old.
  resource_shape Usage(instant aNow) const;
  milliseconds UsageLag() const { return mUsageLag; }

private:
  struct usage_sample
  {
    instant mTime;
    resource_shape mUsed;
  };

  worker_lease* FindLease(std::string_view aLease);
  worker_lease* FindMemberLease(const reservation_request& aRequest);
  result<void> CheckAttempt(const std::string& aJob, std::int64_t aAttempt) const;
  void AdvanceLease(worker_lease& aLease, instant aNow) const;
  resource_shape ReservedResources() const;

  resource_shape mCapacity;
  milliseconds mUsageLag;
  worker_faults mFaults;
  std::int64_t mHighestEpoch = 0;
  std::int64_t mLastLeaseNumber = 0;
  std::map<std::string, std::int64_t, std::less<>> mHighestAttempts; // by job
  std::map<std::string, worker_lease, std::less<>> mLeases;
  std::deque<usage_sample> mUsageSamples;
};

} // namespace briarwind
