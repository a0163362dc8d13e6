#include "scheduler_engine.h"

#include "scheduler_events.h"

#include "briarwind/backoff.h"
#include "briarwind/swap_with_retry.h"

#include <boost/fiber/future.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <random>
#include <utility>

namespace briarwind {

namespace {

constexpr std::string_view kJobsPrefix = "/briarwind/jobs/";
constexpr milliseconds kStoreTimeout{ 2'000 };
constexpr milliseconds kInitialBackoff{ 20 };
constexpr milliseconds kMaxBackoff{ 500 };
// A worker is pinged when it has not answered for this time, or for a third of the lease time to
// live if that is shorter.
constexpr milliseconds kPingInterval{ 3'000 };
constexpr milliseconds kPingPollInterval{ 200 };

job_options CoreOptions(const scheduler_options& aOptions)
{
  job_options options;
  options.mReservationTimeToLive = aOptions.mReservationTimeToLive;
  options.mLeaseTimeToLive = aOptions.mLeaseTimeToLive;
  options.mRenewInterval = std::min(options.mRenewInterval, aOptions.mLeaseTimeToLive / 3);
  options.mCheckpointBound = aOptions.mCheckpointBound;
  // A leader that was replaced may renew leases until its own time to live has passed.
  options.mLapseMargin += aOptions.mLeaderTimeToLive;
  return options;
}

record_outcome OutcomeOf(swap_outcome aFate)
{
  switch (aFate) {
    case swap_outcome::kDone:
      return record_outcome::kOk;
    case swap_outcome::kConflict:
      return record_outcome::kConflict;
    case swap_outcome::kNotStored:
    case swap_outcome::kUnknown:
      return record_outcome::kUnknown;
  }
  return record_outcome::kUnknown;
}

std::string_view OutcomeName(submission_outcome aOutcome)
{
  static constexpr std::array<std::string_view, 7> kNames{
    "accepted", "in-memory", "invalid", "conflict", "impossible", "not-run", "unknown",
  };
  return kNames.at(static_cast<std::size_t>(aOutcome));
}

} // namespace

scheduler_engine::scheduler_engine(fiber_runtime& aRuntime, config_store& aStore, metrics& aMetrics,
                                   const scheduler_options& aOptions, send_permissions aPermissions)
  : mRuntime(aRuntime)
  , mStore(aStore)
  , mMetrics(aMetrics)
  , mOptions(aOptions)
  , mPermissions(std::move(aPermissions))
  , mWorkerClient(aRuntime, aMetrics,
                  [this] {
                    if (mOnStaleEpoch) {
                      mOnStaleEpoch();
                    }
                  })
  , mCore(CoreOptions(aOptions))
{
}

void scheduler_engine::HandleEvent(const event& aEvent)
{
  const instant now = monotonic_clock::now();
  const std::vector<action> actions = mCore.Handle(aEvent, now);
  mMetrics.Observe(kDecisionTime, monotonic_clock::now() - now);
  for (const action& each : actions) {
    std::visit([this](const auto& aAction) { Execute(aAction); }, each);
  }
}

void scheduler_engine::OnHosts(const host_list& aHosts)
{
  const instant now = monotonic_clock::now();
  std::map<std::string, worker_state> workerStates;
  for (const host& each : aHosts.mHosts) {
    if (each.mKind != host_kind::kWorker) {
      continue;
    }
    const auto known = mWorkerStates.find(each.mName);
    worker_state& entry = workerStates[each.mName];
    entry =
      known != mWorkerStates.end() ? known->second : worker_state{ {}, {}, now, false, false };
    entry.mAddress = each.mAddress;
    entry.mDomain = each.mDomain;
  }
  mWorkerStates = std::move(workerStates);
  mHasHostList = true;
  HandleEvent(workers_changed{ WorkersOf(aHosts) });
}

void scheduler_engine::OnSettings(std::shared_ptr<const settings_view> aView)
{
  mView = std::move(aView);
  HandleEvent(settings_changed{ *mView });
}

void scheduler_engine::OnFreshness(bool aFresh, const std::string& aReason)
{
  LogEvent(kFreshnessChanged, { Field("fresh", aFresh), Field("reason", aReason) });
  mMetrics.Set(kIsFresh, aFresh ? 1 : 0);
  HandleEvent(freshness_changed{ aFresh, aReason });
}

answer_submission scheduler_engine::Submit(const job_spec& aSpec, instant aDeadline)
{
  const std::uint64_t request = ++mLastRequestId;
  auto answerPromise = std::make_shared<boost::fibers::promise<answer_submission>>();
  boost::fibers::future<answer_submission> answer = answerPromise->get_future();
  mPendingSubmissions[request] = [answerPromise](const answer_submission& aAnswer) {
    answerPromise->set_value(aAnswer);
  };
  HandleEvent(job_submitted{ request, aSpec });
  if (answer.wait_until(aDeadline) == boost::fibers::future_status::ready) {
    return answer.get();
  }
  mPendingSubmissions.erase(request);
  // The write of the job's record may be in flight.
  return { request, aSpec.mId, submission_outcome::kUnknown, "no decision in time", {} };
}

template<class Call>
void scheduler_engine::CallWorker(const std::string& aWorker, Call aCall)
{
  const auto found = mWorkerStates.find(aWorker);
  const endpoint address = found != mWorkerStates.end() ? found->second.mAddress : endpoint{};
  mRuntime.Spawn([this, address, epoch = mEpoch, call = std::move(aCall)] {
    const event answer = call(address);
    if (epoch == mEpoch) {
      HandleEvent(answer);
    }
  });
}

void scheduler_engine::Execute(const reserve_lease& aAction)
{
  CallWorker(aAction.mWorker, [this, aAction](const endpoint& aAddress) -> event {
    return mWorkerClient.Reserve(aAddress, aAction);
  });
}

void scheduler_engine::Execute(const start_lease& aAction)
{
  CallWorker(aAction.mWorker, [this, aAction](const endpoint& aAddress) -> event {
    return mWorkerClient.Start(aAddress, aAction, [this, &aAction] { return MayStart(aAction); });
  });
}

void scheduler_engine::Execute(const stop_lease& aAction)
{
  CallWorker(aAction.mWorker, [this, aAction](const endpoint& aAddress) -> event {
    return mWorkerClient.Stop(aAddress, aAction);
  });
}

void scheduler_engine::Execute(const release_lease& aAction)
{
  CallWorker(aAction.mWorker, [this, aAction](const endpoint& aAddress) -> event {
    return mWorkerClient.Release(aAddress, aAction);
  });
}

void scheduler_engine::Execute(const forget_lease& aAction)
{
  const auto found = mWorkerStates.find(aAction.mWorker);
  if (found == mWorkerStates.end()) {
    return;
  }
  mRuntime.Spawn(
    [this, aAction, address = found->second.mAddress] { mWorkerClient.Forget(address, aAction); });
}

void scheduler_engine::Execute(const renew_leases& aAction)
{
  const auto found = mWorkerStates.find(aAction.mWorker);
  if (found == mWorkerStates.end()) {
    return;
  }
  mRuntime.Spawn([this, aAction, address = found->second.mAddress, epoch = mEpoch] {
    const std::optional<lease_report> report =
      mWorkerClient.Renew(address, aAction, [&] { return MayRenew(epoch); });
    if (epoch != mEpoch) {
      return;
    }
    if (report) {
      RecordWorkerSuccess(aAction.mWorker);
      HandleEvent(*report);
    } else {
      RecordWorkerFailure(aAction.mWorker);
    }
  });
}

void scheduler_engine::Execute(const record_job& aAction)
{
  mRuntime.Spawn([this, aAction] { WriteRecord(aAction); });
}

void scheduler_engine::Execute(const answer_submission& aAction)
{
  mMetrics.Count(kSubmissions, OutcomeName(aAction.mOutcome));
  const auto found = mPendingSubmissions.find(aAction.mRequest);
  if (found != mPendingSubmissions.end()) {
    found->second(aAction);
    mPendingSubmissions.erase(found);
  }
}

void scheduler_engine::Execute(const decision_note& aAction)
{
  mMetrics.Count(kDecisions, ToString(aAction.mKind));
  LogEvent(EventOf(aAction.mKind),
           { Field("job", aAction.mJob), Field("worker", aAction.mWorker),
             Field("other", aAction.mRelatedJob), Field("reason", aAction.mReason) });
}

// Checked after the last wait before the start is sent, so that a process that was paused does not
// start a task under an expired reservation or unconfirmed settings. A start that is delayed after
// this check is refused by the worker.
bool scheduler_engine::MayStart(const start_lease& aAction)
{
  const instant now = monotonic_clock::now();
  const bool permitted = now <= aAction.mNotAfter && aAction.mEpoch == mEpoch &&
                         mPermissions.mLeaderConfirmed(now) && mPermissions.mSettingsConfirmed(now);
  if (!permitted) {
    mMetrics.Count(kStartsHeldBack);
    LogEvent(kStartHeldBack,
             { Field("job", aAction.mMember.mJob), Field("worker", aAction.mWorker) });
  }
  return permitted;
}

bool scheduler_engine::IsWithdrawn(const std::string& aWorker) const
{
  const auto worker = mWorkerStates.find(aWorker);
  if (!mView || worker == mWorkerStates.end()) {
    return true;
  }
  const auto domain = mView->mDomains.find(worker->second.mDomain);
  return domain != mView->mDomains.end() && domain->second.mWithdrawn;
}

// A successor waits for the leases of workers that it cannot reach to lapse. Its wait is long
// enough only because a leader renews no lease once its own time to live has passed unconfirmed.
bool scheduler_engine::MayRenew(epoch_number aEpoch) const
{
  return aEpoch == mEpoch && mPermissions.mLeaderConfirmed(monotonic_clock::now());
}

void scheduler_engine::WriteRecord(const record_job& aAction)
{
  const epoch_number epoch = mEpoch;
  const std::string& change = aAction.mRecord.mChange;
  swap_retry_request request;
  request.mKey = std::string(kJobsPrefix) + aAction.mRecord.mSpec.mId;
  request.mExpected = aAction.mExpected;
  request.mValue = FormatJobRecord(aAction.mRecord);
  request.mContainsChange = [&change](const stored_value& aValue) {
    const auto record = ToIoResult([&] { return ParseJobRecord(aValue.mValue); });
    return record && record.value().mChange == change;
  };
  backoff wait(kInitialBackoff, kMaxBackoff, std::random_device{}());
  const swap_retry_result settled =
    SwapWithRetry(mStore, request, wait, monotonic_clock::now() + kStoreTimeout);
  if (epoch != mEpoch) {
    return;
  }
  const bool reached =
    settled.mSwapOutcome == swap_outcome::kDone || settled.mSwapOutcome == swap_outcome::kConflict;
  if (reached != mCore.Status().mStoreReachable) {
    HandleEvent(store_reachable{ reached });
  }
  record_finished finished{ aAction.mRecord.mSpec.mId, change, OutcomeOf(settled.mSwapOutcome),
                            settled.mRevision, std::nullopt };
  if (settled.mSwapOutcome == swap_outcome::kConflict) {
    finished.mRevision = settled.mCurrent.mModified;
    const auto current = ToIoResult([&] { return ParseJobRecord(settled.mCurrent.mValue); });
    if (current) {
      finished.mCurrent = current.value();
    }
  }
  HandleEvent(finished);
}

void scheduler_engine::RecordWorkerSuccess(const std::string& aWorker)
{
  const auto found = mWorkerStates.find(aWorker);
  if (found == mWorkerStates.end()) {
    return;
  }
  found->second.mLastResponse = monotonic_clock::now();
  if (std::exchange(found->second.mLost, false)) {
    LogEvent(kWorkerReachable, { Field("worker", aWorker) });
    HandleEvent(worker_recovered{ aWorker });
  }
}

// A worker counts as lost once it has not answered for longer than the lease time to live.
void scheduler_engine::RecordWorkerFailure(const std::string& aWorker)
{
  const auto found = mWorkerStates.find(aWorker);
  if (found == mWorkerStates.end() || found->second.mLost) {
    return;
  }
  const duration silent = monotonic_clock::now() - found->second.mLastResponse;
  if (silent > mOptions.mLeaseTimeToLive) {
    found->second.mLost = true;
    LogEvent(kWorkerUnreachable, { Field("worker", aWorker) });
    HandleEvent(worker_lost{ aWorker });
  }
}

// Sends a renewal without leases, which shows whether the worker answers and announces this
// leader's epoch to the worker.
void scheduler_engine::PingWorker(const std::string& aWorker)
{
  worker_state& entry = mWorkerStates.at(aWorker);
  entry.mPingInFlight = true;
  mRuntime.Spawn([this, aWorker, address = entry.mAddress, epoch = mEpoch] {
    const auto report = mWorkerClient.Renew(address, { aWorker, epoch, milliseconds(0), {} },
                                            [&] { return MayRenew(epoch); });
    const auto found = mWorkerStates.find(aWorker);
    if (found != mWorkerStates.end()) {
      found->second.mPingInFlight = false;
    }
    if (epoch != mEpoch) {
      return;
    }
    if (report) {
      RecordWorkerSuccess(aWorker);
    } else {
      RecordWorkerFailure(aWorker);
    }
  });
}

void scheduler_engine::RunWorkerPings()
{
  while (true) {
    const instant due =
      monotonic_clock::now() - std::min(kPingInterval, mOptions.mLeaseTimeToLive / 3);
    for (const auto& [name, entry] : mWorkerStates) {
      if (mEpoch != 0 && !entry.mPingInFlight && entry.mLastResponse < due) {
        PingWorker(name);
      }
    }
    SleepFor(kPingPollInterval);
  }
}

void scheduler_engine::RunTicks()
{
  const milliseconds every = job_options{}.mTick;
  while (true) {
    HandleEvent(tick{});
    UpdateStatusMetrics();
    SleepFor(every);
  }
}

void scheduler_engine::UpdateStatusMetrics()
{
  const core_status status = mCore.Status();
  mMetrics.Set(kIsLeader, status.mActing ? 1 : 0);
  mMetrics.Set(kJobsByState, status.mQueued, "queued");
  mMetrics.Set(kJobsByState, status.mRunning, "running");
  mMetrics.Set(kAccelerators, status.mAccelerators, "all");
  mMetrics.Set(kAccelerators, status.mAcceleratorsUsed, "used");
}

// A renewal announces the new epoch to each worker before its leases are listed. From then on the
// worker refuses reservations and starts of an older leader. Workers that do not answer are left
// out of the result.
std::vector<worker_listing> scheduler_engine::ListWorkers(epoch_number aEpoch)
{
  std::vector<boost::fibers::future<std::optional<worker_listing>>> answers;
  for (const auto& [name, entry] : mWorkerStates) {
    auto answerPromise = std::make_shared<boost::fibers::promise<std::optional<worker_listing>>>();
    answers.push_back(answerPromise->get_future());
    mRuntime.Spawn([this, answerPromise, aEpoch, name = name, address = entry.mAddress] {
      std::optional<worker_listing> listing;
      if (mWorkerClient.Renew(address, { name, aEpoch, milliseconds(0), {} },
                              [&] { return MayRenew(aEpoch); })) {
        listing = mWorkerClient.List(address, name);
      }
      answerPromise->set_value(std::move(listing));
    });
  }
  std::vector<worker_listing> listings;
  for (auto& each : answers) {
    std::optional<worker_listing> listing = each.get();
    if (listing) {
      listings.push_back(std::move(*listing));
    }
  }
  return listings;
}

std::optional<std::vector<restored_record>> scheduler_engine::ReadRecords()
{
  const auto listing = mStore.List(kJobsPrefix, monotonic_clock::now() + kStoreTimeout);
  if (!listing) {
    return std::nullopt;
  }
  std::vector<restored_record> records;
  for (const stored_value& each : listing.value().mValues) {
    const auto record = ToIoResult([&] { return ParseJobRecord(each.mValue); });
    if (record) {
      records.push_back({ record.value(), each.mModified });
    } else {
      LogEvent(kRecordUnreadable, { Field("key", each.mKey), Field("why", record.error().mWhat) });
    }
  }
  return records;
}

bool scheduler_engine::TakeOver(epoch_number aEpoch)
{
  mEpoch = aEpoch;
  HandleEvent(epoch_gained{ aEpoch });
  std::vector<worker_listing> listings = ListWorkers(aEpoch);
  std::optional<std::vector<restored_record>> records = ReadRecords();
  if (!records || mEpoch != aEpoch) {
    LogEvent(kTakeoverFailed, { Field("epoch", aEpoch) });
    return false;
  }
  const instant now = monotonic_clock::now();
  for (auto& [name, entry] : mWorkerStates) {
    const bool listed =
      std::ranges::find(listings, name, &worker_listing::mWorker) != listings.end();
    entry.mLost = !listed;
    entry.mLastResponse = listed ? now : entry.mLastResponse;
  }
  LogEvent(kTakeoverDone, { Field("epoch", aEpoch), Field("records", records->size()),
                            Field("workers", listings.size()) });
  HandleEvent(store_reachable{ true });
  HandleEvent(restored{ std::move(*records), std::move(listings) });
  return true;
}

std::vector<job_spec> scheduler_engine::StepDown()
{
  std::vector<job_spec> unrecorded;
  for (const job_view& each : mCore.Jobs()) {
    if (!each.mStored && !IsFinal(each.mRecord.mState)) {
      unrecorded.push_back(each.mRecord.mSpec);
    }
  }
  mEpoch = 0;
  HandleEvent(epoch_lost{});
  return unrecorded;
}

} // namespace briarwind
