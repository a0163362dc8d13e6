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

/// Who acts for the queue; rises with each new leader. 0 is nobody.
using epoch_number = std::int64_t;
/// A lease as its worker names it.
using lease_id = std::string;

/// What a caller asks for. The id is the caller's and makes the submission idempotent.
struct job_spec
{
  std::string mId;
  std::string mOrganisation;
  std::string mTeam;
  int mMembers = 1;
  resource_shape mShape; ///< of each member
  adjacency mAdjacency = adjacency::kNone;
  milliseconds mExpected{ 0 }; ///< run time that the caller declares; may be far off
  bool mUrgent = false;
  bool mGuaranteed = false;  ///< a claim inside the organisation's guarantee
  bool mRepeatable = false;  ///< may be attempted more than once
  bool mCheckpoints = false; ///< can save its progress before it is stopped
  std::string mCommand;

  bool operator==(const job_spec&) const = default;
};

enum class job_state : std::uint8_t
{
  kQueued,
  kAttempted, ///< an attempt is recorded: its members may be running
  kFinished,
  kFailed,
  kCancelled,
  kUnknown, ///< a non-repeatable attempt whose fate is not known; never run again
};

/// `queued`, `attempted`, `finished`, `failed`, `cancelled` or `unknown`.
std::string_view ToString(job_state aState);

/// Whether the job is over.
constexpr bool IsFinal(job_state aState)
{
  return aState != job_state::kQueued && aState != job_state::kAttempted;
}

/// Where one member of a gang runs.
struct member_placement
{
  int mMember = 0;
  std::string mWorker;
  lease_id mLease;

  bool operator==(const member_placement&) const = default;
};

/// What the store keeps of a job: one value, written by compare-and-swap.
struct job_record
{
  job_spec mSpec;
  job_state mState = job_state::kQueued;
  int mAttempt = 0;                          ///< number of the last attempt; 0 is none
  int mFailures = 0;                         ///< attempts that failed on their own account
  epoch_number mEpoch = 0;                   ///< of the writer
  milliseconds mProgress{ 0 };               ///< run time that a checkpoint has saved
  std::vector<member_placement> mPlacements; ///< of the last attempt
  std::string mReason;                       ///< why it ended as it did
  std::string mChange;                       ///< unique to this write, for the read-back

  bool operator==(const job_record&) const = default;
};

/// JSON form of the specification, as in docs/API.md.
std::string FormatJobSpec(const job_spec& aSpec);
/// Reads the JSON form. All mistakes are added to aFindings, with the field as the place; the
/// specification is only of use when none is an error.
job_spec ParseJobSpec(std::string_view aJson, findings& aFindings);

/// JSON form of the record, as the store keeps it.
std::string FormatJobRecord(const job_record& aRecord);
/// Reads a stored record. Fails with kProtocol when it is not of that form.
result<job_record> ParseJobRecord(std::string_view aJson);

} // namespace briarwind
