#pragma once

#include "briarwind/job_core.h"

#include "libjobs/cluster_table.h"
#include "libjobs/resources.h"

#include <string>
#include <vector>

namespace briarwind {

/// Phase of one member of an attempt.
enum class member_phase : std::uint8_t
{
  kNone, ///< no request sent yet
  kReserving,
  kReserved,
  kStarting, ///< start sent, not yet answered
  kRunning,
  kStopping, ///< stop or release sent, not yet answered
  kLapsing,  ///< stop or reservation unanswered; kGone once the lease has lapsed for certain
  kGone,
};

struct member_state
{
  member_phase mPhase = member_phase::kNone;
  worker_index mWorker = kNoWorker;
  lease_id mLease;
  bool mHoldsResources = false; ///< resources on mWorker are allocated to the member
  bool mFinished = false;       ///< the task ended successfully
  bool mStarted = false;        ///< a start was sent and may have taken effect
  int mStartsSent = 0;
  instant mLeaseUntil; ///< latest instant at which the lease can still be valid
  milliseconds mProgress{ 0 };
};

/// What happens to a job once no member of its attempt holds resources.
enum class after_stop : std::uint8_t
{
  kRequeue,
  kCancelled,
  kFailed,
  kUnknown,
};

struct organisation_state
{
  std::string mName;
  int mId = 0;
  int mWeight = 1;
  bool mInSettings = false;
  resource_shape mUsed;
};

struct team_state
{
  std::string mName;
  int mId = 0;
  std::string mOrganisation;
  int mQuota = 0;
  bool mInSettings = false;
  int mUsedAccelerators = 0;
};

struct queue_class;

/// Sort key of a job within its queue class.
struct queue_key
{
  std::int64_t mOrder = 0;
  std::uint64_t mSequence = 0;

  auto operator<=>(const queue_key&) const = default;
};

/// State of one job in the core.
struct job_entry
{
  job_record mRecord;
  job_phase mPhase = job_phase::kQueued;
  std::uint64_t mSequence = 0; ///< order of arrival
  organisation_state* mOrganisation = nullptr;
  team_state* mTeam = nullptr;

  // Queueing.
  queue_class* mClass = nullptr; ///< set while queued
  queue_key mKey;
  instant mArrived;
  instant mNotBefore;
  bool mDelayed = false; ///< waits for mNotBefore and is in no queue class
  /// Consecutive attempts that never reached kRunning, or failures if more.
  int mConsecutiveAborts = 0;
  wait_reason mWait = wait_reason::kNotTried;
  std::string mWaitDetail;

  // Current attempt.
  std::vector<member_state> mMembers;
  eviction_class mEvictionClass = eviction_class::kBorrowed;
  int mCell = -1; ///< index of the claimed guarantee cell; -1 for none
  int mMembersHolding = 0;
  bool mInFlight = false; ///< counts against job_options::mMaxMembersInFlight
  bool mAnyStarted = false;
  bool mAllSaved = true; ///< every member stopped so far saved a checkpoint
  after_stop mAfterStop = after_stop::kRequeue;
  std::string mStopReason;
  std::vector<std::string> mEvicted;
  std::vector<worker_index> mFailedOn; ///< workers on which the job failed
  std::vector<worker_index> mAvoid;    ///< workers of mFailedOn that placement avoids
  instant mRunningSince;
  milliseconds mProgressAtStart{ 0 };

  // Stored record.
  store_revision mRevision = 0;
  bool mWriteInFlight = false;
  bool mDirty = false;                  ///< the store lacks the present state of mRecord
  std::string mPendingChange;           ///< change id of the write in flight
  std::vector<std::uint64_t> mRequests; ///< submissions to answer once the record is stored
  std::vector<forget_lease> mToForget;  ///< leases to drop once their end is recorded

  bool mHasDrain = false; ///< holds a draining reservation

  const job_spec& Spec() const { return mRecord.mSpec; }
  int Accelerators() const { return mRecord.mSpec.mMembers * mRecord.mSpec.mShape.mAccelerators; }
  resource_shape Total() const { return mRecord.mSpec.mShape * mRecord.mSpec.mMembers; }
  bool IsWaiting() const { return mPhase == job_phase::kQueued || mPhase == job_phase::kEvicting; }
};

} // namespace briarwind
