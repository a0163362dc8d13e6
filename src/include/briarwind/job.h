#pragma once

#include "briarwind/config_store.h"
#include "briarwind/error.h"
#include "briarwind/finding.h"
#include "briarwind/shape.h"
#include "briarwind/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// Fencing epoch of the scheduler that leads the queue; each new leader gets a higher one.
/// 0 means that there is no leader.
using epoch_number = std::int64_t;
/// Identifier of a lease, assigned by the worker that grants it.
using lease_id = std::string;

/// A job as submitted. The caller chooses mId, which makes the submission idempotent.
struct job_spec
{
  std::string mId;
  std::string mOrganisation;
  std::string mTeam;
  int mMembers = 1;
  resource_shape mShape; ///< resources of each member
  adjacency mAdjacency = adjacency::kNone;
  milliseconds mExpected{ 0 }; ///< run time that the caller declares; may be inaccurate
  bool mUrgent = false;
  bool mGuaranteed = false;  ///< claims capacity that is guaranteed to the organisation
  bool mRepeatable = false;  ///< may be attempted more than once
  bool mCheckpoints = false; ///< can save its progress before it is stopped
  std::string mCommand;

  bool operator==(const job_spec&) const = default;
};

enum class job_state : std::uint8_t
{
  kQueued,
  kAttempted, ///< an attempt is recorded; its members may be running
  kFinished,
  kFailed,
  kCancelled,
  kUnknown, ///< the outcome of a non-repeatable attempt is unknown; never run again
};

/// `queued`, `attempted`, `finished`, `failed`, `cancelled` or `unknown`.
std::string_view ToString(job_state aState);

/// Whether a job in this state is over and never runs again.
constexpr bool IsFinal(job_state aState)
{
  return aState != job_state::kQueued && aState != job_state::kAttempted;
}

/// Worker and lease of one member of a gang.
struct member_placement
{
  int mMember = 0;
  std::string mWorker;
  lease_id mLease;

  bool operator==(const member_placement&) const = default;
};

/// Stored state of a job: one value in the store, written by compare-and-swap.
struct job_record
{
  job_spec mSpec;
  job_state mState = job_state::kQueued;
  int mAttempt = 0;                          ///< number of the last attempt; 0 before the first
  int mFailures = 0;                         ///< attempts that ended because a task failed
  epoch_number mEpoch = 0;                   ///< epoch of the scheduler that wrote the record
  milliseconds mProgress{ 0 };               ///< run time that checkpoints have saved
  std::vector<member_placement> mPlacements; ///< placements of the last attempt
  std::string mReason;                       ///< why the job ended in its final state
  std::string mChange; ///< unique id of this write; identifies it when the record is read back

  bool operator==(const job_record&) const = default;
};

/// JSON form of the specification, as in docs/API.md.
std::string FormatJobSpec(const job_spec& aSpec);
/// Parses the JSON form. Every mistake is added to aFindings, with the field name as the place.
/// The returned specification is valid only when no finding is an error.
job_spec ParseJobSpec(std::string_view aJson, findings& aFindings);

/// JSON form of the record, as stored.
std::string FormatJobRecord(const job_record& aRecord);
/// Parses a stored record. Fails with kProtocol when the text is not a valid record.
result<job_record> ParseJobRecord(std::string_view aJson);

} // namespace briarwind
