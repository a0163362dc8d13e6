#include "control_events.h"
#include "work_driver.h"

#include <algorithm>
#include <charconv>
#include <ranges>

/// Reads the stored jobs when a term begins, and follows jobs and cancellations that hosts accept.

namespace briarwind {

namespace {

// The progress record of one job, as listed.
struct stored_progress
{
  const stored_value* mMain = nullptr;
  std::vector<record_part> mParts;
};

// Keys are those of work_keys::Progress and ProgressPart.
void AddStoredProgress(const stored_value& aValue,
                       std::map<std::string_view, stored_progress>& aRecords)
{
  const std::string_view name = std::string_view(aValue.mKey).substr(work_keys::kProgress.size());
  const std::size_t slash = name.find('/');
  stored_progress& record = aRecords[name.substr(0, slash)];
  if (slash == std::string_view::npos) {
    record.mMain = &aValue;
    return;
  }
  std::int64_t number = 0;
  const char* last = name.data() + name.size();
  const auto [end, code] = std::from_chars(name.data() + slash + 1, last, number);
  if (code == std::errc() && end == last) {
    record.mParts.push_back({ number, aValue.mValue });
    return;
  }
  LogEvent(kWorkRecordUnreadable,
           { Field("key", aValue.mKey), Field("revision", aValue.mModified) });
}

bool IsCancellation(std::string_view aKey)
{
  return aKey.ends_with(work_keys::kCancelSuffix);
}

std::string_view JobOfCancellation(std::string_view aKey)
{
  aKey.remove_prefix(work_keys::kAccepted.size());
  aKey.remove_suffix(work_keys::kCancelSuffix.size());
  return aKey;
}

} // namespace

// The leader key already holds the new epoch, so earlier leaders can no longer write records.
// Progress is read before the accepted jobs: a job that is accepted between the two reads has no
// progress yet.
bool work_driver::TakeOver(int aTerm, store_revision& aListedRevision)
{
  const std::int64_t epoch = mCore.Epoch();
  const auto progress = mStore.List(work_keys::kProgress, monotonic_clock::now() + kStoreDeadline);
  const auto accepted =
    progress ? mStore.List(work_keys::kAccepted, monotonic_clock::now() + kStoreDeadline)
             : progress;
  const auto workers = mRegistry.Read(monotonic_clock::now() + kStoreDeadline);
  if (!accepted || !workers) {
    LogEvent(kTakeoverLoadFailed,
             { Field("epoch", epoch), Field("what", accepted ? "registry" : "records") });
    return false;
  }
  // If leadership was claimed again during the reads, the data read may predate the new epoch.
  if (!IsCurrentTerm(aTerm) || mCore.Epoch() != epoch) {
    return false;
  }
  const instant now = monotonic_clock::now();
  mCore.BeginTerm(epoch, now);
  mCore.SetSettings(mSettings, now);
  ReadCancelledIds(accepted.value());
  std::map<std::string_view, stored_progress> records;
  for (const stored_value& each : progress.value().mValues) {
    AddStoredProgress(each, records);
  }
  for (const stored_value& each : accepted.value().mValues) {
    if (IsCancellation(each.mKey)) {
      continue;
    }
    const auto job = ToIoResult([&] { return ParseWorkJob(each.mValue); });
    if (!job) {
      LogEvent(kWorkRecordUnreadable,
               { Field("key", each.mKey), Field("revision", each.mModified) });
      continue;
    }
    stored_job stored{
      job.value(), mCancelledIds.contains(job.value().mId), {}, 0, each.mModified
    };
    if (const auto record = records.find(job.value().mId); record != records.end()) {
      stored.mProgressParts = std::move(record->second.mParts);
      if (const stored_value* main = record->second.mMain; main != nullptr) {
        stored.mProgress = main->mValue;
        stored.mProgressRevision = main->mModified;
      }
    }
    mCore.AddJob(stored, now, std::chrono::system_clock::now());
  }
  mCore.SetWorkers(workers.value(), now);
  OnAcceptedListed(accepted.value());
  aListedRevision = accepted.value().mRevision;
  return true;
}

// Cancellations are listed behind the jobs that they concern.
void work_driver::ReadCancelledIds(const store_listing& aListing)
{
  mCancelledIds.clear();
  for (const stored_value& each : aListing.mValues) {
    if (each.mValue == work_keys::kCancelledEarly && IsCancellation(each.mKey)) {
      mCancelledIds.emplace(JobOfCancellation(each.mKey));
    }
  }
}

void work_driver::OnAcceptedListed(const store_listing& aListing)
{
  ReadCancelledIds(aListing);
  std::ranges::for_each(aListing.mValues,
                        [this](const stored_value& aValue) { AddAccepted(aValue); });
  mCore.SetFollowedRevision(aListing.mRevision);
  ScheduleRound();
}

void work_driver::OnAcceptedChanged(const std::vector<store_change>& aChanges)
{
  store_revision followed = 0;
  for (const store_change& each : aChanges) {
    if (!each.mDeleted) {
      AddAccepted(each.mValue);
    } else if (IsCancellation(each.mValue.mKey)) {
      mCancelledIds.erase(std::string(JobOfCancellation(each.mValue.mKey)));
    }
    followed = std::max(followed, each.mValue.mModified);
  }
  mCore.SetFollowedRevision(followed);
  ScheduleRound();
}

// Without its revision, which the former version of the program does not send, a job cannot be told
// from one that was removed. Such a notification adds no job; the watch reports the job as well.
void work_driver::NotifyStored(const stored_value& aValue)
{
  if (mHasTakenOver && aValue.mKey.starts_with(work_keys::kAccepted)) {
    AddAccepted(aValue);
    ScheduleRound();
  }
}

void work_driver::AddAccepted(const stored_value& aValue)
{
  if (IsCancellation(aValue.mKey)) {
    CancelAccepted(std::string(JobOfCancellation(aValue.mKey)), aValue);
    return;
  }
  const std::string_view name = std::string_view(aValue.mKey).substr(work_keys::kAccepted.size());
  if (!mCore.IsNewJob(std::string(name), aValue.mModified)) {
    return;
  }
  const auto job = ToIoResult([&] { return ParseWorkJob(aValue.mValue); });
  if (!job) {
    LogEvent(kWorkRecordUnreadable,
             { Field("key", aValue.mKey), Field("revision", aValue.mModified) });
    return;
  }
  mCore.AddJob({ job.value(), mCancelledIds.contains(name), {}, 0, aValue.mModified },
               monotonic_clock::now(), std::chrono::system_clock::now());
}

// A cancellation of a job that is older than the job is of an earlier one with the same id. One
// that found no job concerns any that a host of the former version accepts later.
void work_driver::CancelAccepted(const std::string& aJob, const stored_value& aCancellation)
{
  const bool early = aCancellation.mValue == work_keys::kCancelledEarly;
  if (early) {
    mCancelledIds.insert(aJob);
  }
  const auto accepted = mCore.AcceptedRevision(aJob);
  const store_revision cancelled = aCancellation.mModified;
  if (accepted && (early || cancelled == 0 || cancelled > *accepted)) {
    mCore.CancelJob(aJob, monotonic_clock::now());
  }
}

} // namespace briarwind
