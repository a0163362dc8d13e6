#pragma once

#include "briarwind/job_core.h"

#include "libjobs/cluster_table.h"
#include "libjobs/resources.h"

#include <string>
#include <vector>

namespace briarwind {

/// Where one member of an attempt stands.
enum class member_phase : std::uint8_t
{
  kNone, ///< nothing asked yet
  kReserving,
  kReserved,
  kStarting, ///< start sent, not answered
  kRunning,
  kStopping, ///< stop or release sent, not answered
  kLapsing,  ///< no answer: gone when its lease must have lapsed
  kGone,
};

struct member_state
{
  member_phase mPhase = member_phase::kNone;
  worker_index mWorker = kNoWorker;
  lease_id mLease;
  bool mHolds = false;    ///< resources are given out for it
  bool mFinished = false; ///< ended well on its own
  bool mStarted = false;  ///< a start may have taken effect
  int mStartsSent = 0;
  instant mLeaseUntil; ///< the latest instant at which its lease can still hold
  milliseconds mProgress{ 0 };
};

/// What becomes of a job once all members of its attempt are gone.
enum class after_stop : std::uint8_t
{
  kQueueAgain,
  kCancelled,
  kFailed,
  kUnknown,
};

struct organisation_state
{
  std::string mName;
  int mId = 0;
  int mWeight = 1;
  bool mKnown = false;
  resource_shape mUsed;
};

struct team_state
{
  std::string mName;
  int mId = 0;
  std::string mOrganisation;
  int mQuota = 0;
  bool mKnown = false;
  int mUsedAccelerators = 0;
};

struct queue_class;

/// Place of a job within its class of the queue.
struct queue_key
{
  std::int64_t mOrder = 0;
  std::uint64_t mSequence = 0;

  auto operator<=>(const queue_key&) const = default;
};

/// One job as the core holds it.
struct job_entry
{
  job_record mRecord;
  job_phase mPhase = job_phase::kQueued;
  std::uint64_t mSequence = 0; ///< order of arrival
  organisation_state* mOrganisation = nullptr;
  team_state* mTeam = nullptr;

  // The queue.
  queue_class* mClass = nullptr; ///< set while queued
  queue_key mKey;
  instant mArrived;
  instant mNotBefore;
  bool mDelayed = false; ///< waits for mNotBefore, in no class
  int mAborts = 0;       ///< attempts in a row that did not get to run
  wait_reason mWait = wait_reason::kNotTried;
  std::string mWaitDetail;

  // The present attempt.
  std::vector<member_state> mMembers;
  tenure mTenure = tenure::kBorrowed;
  int mCell = -1; ///< claimed cell
  int mMembersHolding = 0;
  bool mInFlight = false; ///< counts against the limit of members being started
  bool mAnyStarted = false;
  bool mSaved = true; ///< every stop so far saved its progress
  after_stop mAfterStop = after_stop::kQueueAgain;
  std::string mStopReason;
  std::vector<std::string> mEvicted;
  std::vector<worker_index> mFailedOn; ///< workers on which it failed
  std::vector<worker_index> mAvoid;    ///< of those, the ones it keeps away from
  instant mRunningSince;
  milliseconds mProgressAtStart{ 0 };

  // Its record.
  store_revision mRevision = 0;
  bool mWriting = false;
  bool mDirty = false;                  ///< the store lacks the present state
  std::string mWritten;                 ///< change id of the write under way
  std::vector<std::uint64_t> mRequests; ///< submissions that wait for an answer
  std::vector<forget_lease> mToForget;  ///< once its end is recorded

  bool mHasDrain = false; ///< holds a draining reservation

  const job_spec& Spec() const { return mRecord.mSpec; }
  int Accelerators() const { return mRecord.mSpec.mMembers * mRecord.mSpec.mShape.mAccelerators; }
  resource_shape Total() const { return mRecord.mSpec.mShape * mRecord.mSpec.mMembers; }
  bool IsWaiting() const { return mPhase == job_phase::kQueued || mPhase == job_phase::kEvicting; }
};

} // namespace briarwind
