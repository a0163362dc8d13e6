#include "record_parts.h"
#include "work_record.h"
#include "work_table.h"

#include <algorithm>
#include <ranges>
#include <utility>

/// Which progress records are written, and what follows once the store has taken or refused them.

namespace briarwind {

namespace {

// Records of one call to the store. On a link of 10 Mbit/s it takes a third of the call's deadline.
constexpr std::size_t kMaxBytesPerCall = std::size_t{ 256 } << 10U;
// How long a job whose record the store refuses is left alone. The time doubles with each refusal.
constexpr milliseconds kFirstRefusedPause{ 5'000 };
constexpr milliseconds kLongestRefusedPause{ 300'000 };

} // namespace

// Begins behind the job that came last in the previous call, so that wide jobs, which always have
// something to write, do not keep others from their turn.
std::vector<progress_write> work_core::TakeWrites(std::size_t aMax)
{
  std::vector<progress_write> writes;
  std::size_t records = 0;
  std::size_t bytes = 0;
  auto next = mState->mJobs.upper_bound(mState->mLastWritten);
  for (std::size_t left = mState->mJobs.size(); left > 0; --left, ++next) {
    next = next == mState->mJobs.end() ? mState->mJobs.begin() : next;
    job_entry& job = next->second;
    if (!job.NeedsWrite()) {
      continue;
    }
    if (records >= aMax || bytes >= kMaxBytesPerCall) {
      break;
    }
    mState->mLastWritten = next->first;
    progress_write write{ next->first, job.mRevision, FormatProgress(job, mState->mEpoch), {} };
    job.mChangeWriting = job.mChange;
    ++records;
    bytes += write.mValue.size();
    while (!job.IsFinished() && !job.mChangedParts.empty() && records < aMax &&
           bytes < kMaxBytesPerCall) {
      const std::int64_t number = *job.mChangedParts.begin();
      job.mChangedParts.erase(job.mChangedParts.begin());
      part_entry& part = job.mParts.at(number);
      std::string value = FormatPart(job, number);
      part.mChangeWriting = part.mChange;
      part.mIsDeleted = value.empty();
      if (!part.mIsDeleted || part.mIsStored) {
        part.mIsStored = true;
        ++records;
        bytes += value.size();
        write.mParts.push_back({ number, std::move(value) });
      }
    }
    writes.push_back(std::move(write));
  }
  return writes;
}

void work_core::OnWritten(const std::string& aJob, store_revision aRevision, instant aNow)
{
  job_entry* job = mState->FindJob(aJob);
  if (job == nullptr) {
    return;
  }
  job->mRevision = aRevision;
  job->mChangeStored = std::exchange(job->mChangeWriting, 0);
  job->mRefusedPause = milliseconds(0);
  for (part_entry& part : job->mParts | std::views::values) {
    if (part.mChangeWriting != 0) {
      part.mChangeStored = std::exchange(part.mChangeWriting, 0);
      part.mIsStored = !part.mIsDeleted;
    }
  }
  std::erase_if(job->mParts, [](const auto& aPart) {
    const part_entry& part = aPart.second;
    return part.mIsDeleted && !part.mIsStored && part.mChangeStored == part.mChange;
  });
  if (!job->IsFinished()) {
    mState->SendRecordedStarts(*job, aNow);
  }
  for (auto& [id, worker] : mState->mWorkers) {
    if (!worker.mPendingEnds.empty()) {
      mState->AdvanceAcknowledged(worker);
    }
  }
}

void work_core::OnNotWritten(const std::string& aJob, store_revision aCurrent)
{
  if (job_entry* job = mState->FindJob(aJob); job != nullptr) {
    job->mRevision = aCurrent;
    job->mChangeWriting = 0;
    for (auto& [number, part] : job->mParts) {
      if (std::exchange(part.mChangeWriting, 0) != 0) {
        job->mChangedParts.insert(number);
      }
    }
  }
}

// The placements are what a record can be rid of at once. Afterwards it changes only as runs end.
void work_core::OnWriteRefused(const std::string& aJob, std::string_view aReason, instant aNow)
{
  job_entry* job = mState->FindJob(aJob);
  if (job == nullptr) {
    return;
  }
  OnNotWritten(aJob, job->mRevision);
  job->mRefusedPause = std::clamp(2 * job->mRefusedPause, kFirstRefusedPause, kLongestRefusedPause);
  job->mRefusedUntil = aNow + job->mRefusedPause;
  mState->mRefusedJobs.insert(aJob);
  mState->EmitEvent(work_event_kind::kWriteRefused, aJob, {}, {}, aReason, job->mRefusedPause);
  mState->ReleaseClaims(*job);
  for (const auto& [run, worker] : std::exchange(job->mRecordingRuns, {})) {
    if (const auto found = mState->mWorkers.find(worker); found != mState->mWorkers.end()) {
      mState->StopOtherGangMembers(run, aNow);
      mState->StopRun(found->second, run, "the store refuses the record that names it", aNow);
    }
  }
}

std::size_t work_core::JobsWithRefusedRecord() const
{
  return mState->mRefusedJobs.size();
}

void work_core::state::RetryRefusedJobs(instant aNow)
{
  std::erase_if(mRefusedJobs, [&](const std::string& aId) {
    job_entry* job = FindJob(aId);
    if (job != nullptr && job->mRefusedUntil && aNow < *job->mRefusedUntil) {
      return false;
    }
    if (job != nullptr) {
      job->mRefusedUntil.reset();
      mReplan = true;
    }
    return true;
  });
}

} // namespace briarwind
