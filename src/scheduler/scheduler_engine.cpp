#include "scheduler_engine.h"

#include "scheduler_events.h"

#include "briarwind/backoff.h"
#include "briarwind/settled_swap.h"

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
constexpr milliseconds kFirstBackoff{ 20 };
constexpr milliseconds kBackoffCap{ 500 };
constexpr milliseconds kContactEvery{ 3'000 };
constexpr milliseconds kContactCheck{ 200 };

job_options CoreOptions(const scheduler_options& aOptions)
{
  job_options options;
  options.mReservationTimeToLive = aOptions.mReservationTimeToLive;
  options.mLeaseTimeToLive = aOptions.mLeaseTimeToLive;
  options.mRenewEvery = std::min(options.mRenewEvery, aOptions.mLeaseTimeToLive / 3);
  options.mCheckpointBound = aOptions.mCheckpointBound;
  // A leader that was replaced may renew until its own time to live is over.
  options.mLapseMargin += aOptions.mLeaderTimeToLive;
  return options;
}

record_outcome OutcomeOf(swap_fate aFate)
{
  switch (aFate) {
    case swap_fate::kDone:
      return record_outcome::kOk;
    case swap_fate::kConflict:
      return record_outcome::kConflict;
    case swap_fate::kNotStored:
    case swap_fate::kUnknown:
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
  , mWorkers(aRuntime, aMetrics,
             [this] {
               if (mOnStaleEpoch) {
                 mOnStaleEpoch();
               }
             })
  , mCore(CoreOptions(aOptions))
{
}

void scheduler_engine::Take(const event& aEvent)
{
  const instant now = monotonic_clock::now();
  const std::vector<action> actions = mCore.Handle(aEvent, now);
  mMetrics.Observe(kDecisionTime, monotonic_clock::now() - now);
  for (const action& each : actions) {
    std::visit([this](const auto& aAction) { Do(aAction); }, each);
  }
}

void scheduler_engine::OnHosts(const host_list& aHosts)
{
  const instant now = monotonic_clock::now();
  std::map<std::string, contact> contacts;
  for (const host& each : aHosts.mHosts) {
    if (each.mKind != host_kind::kWorker) {
      continue;
    }
    const auto known = mContacts.find(each.mName);
    contact& entry = contacts[each.mName];
    entry = known != mContacts.end() ? known->second : contact{ {}, {}, now, false, false };
    entry.mAddress = each.mAddress;
    entry.mDomain = each.mDomain;
  }
  mContacts = std::move(contacts);
  mHasHosts = true;
  Take(workers_changed{ WorkersOf(aHosts) });
}

void scheduler_engine::OnSettings(std::shared_ptr<const settings_view> aView)
{
  mView = std::move(aView);
  Take(settings_changed{ *mView });
}

void scheduler_engine::OnFreshness(bool aFresh, const std::string& aReason)
{
  LogEvent(kFreshnessChanged, { Field("fresh", aFresh), Field("reason", aReason) });
  mMetrics.Set(kIsFresh, aFresh ? 1 : 0);
  Take(freshness_changed{ aFresh, aReason });
}

answer_submission scheduler_engine::Submit(const job_spec& aSpec, instant aDeadline)
{
  const std::uint64_t request = ++mLastRequest;
  auto answered = std::make_shared<boost::fibers::promise<answer_submission>>();
  boost::fibers::future<answer_submission> answer = answered->get_future();
  mWaiting[request] = [answered](const answer_submission& aAnswer) {
    answered->set_value(aAnswer);
  };
  Take(job_submitted{ request, aSpec });
  if (answer.wait_until(aDeadline) == boost::fibers::future_status::ready) {
    return answer.get();
  }
  mWaiting.erase(request);
  // The record may be on its way to the store.
  return { request, aSpec.mId, submission_outcome::kUnknown, "no decision in time", {} };
}

template<class Call>
void scheduler_engine::AskWorker(const std::string& aWorker, Call aCall)
{
  const auto found = mContacts.find(aWorker);
  const endpoint address = found != mContacts.end() ? found->second.mAddress : endpoint{};
  mRuntime.Spawn([this, address, epoch = mEpoch, call = std::move(aCall)] {
    const event answer = call(address);
    if (epoch == mEpoch) {
      Take(answer);
    }
  });
}

void scheduler_engine::Do(const reserve_lease& aAction)
{
  AskWorker(aAction.mWorker, [this, aAction](const endpoint& aAddress) -> event {
    return mWorkers.Reserve(aAddress, aAction);
  });
}

void scheduler_engine::Do(const start_lease& aAction)
{
  AskWorker(aAction.mWorker, [this, aAction](const endpoint& aAddress) -> event {
    return mWorkers.Start(aAddress, aAction, [this, &aAction] { return MayStart(aAction); });
  });
}

void scheduler_engine::Do(const stop_lease& aAction)
{
  AskWorker(aAction.mWorker, [this, aAction](const endpoint& aAddress) -> event {
    return mWorkers.Stop(aAddress, aAction);
  });
}

void scheduler_engine::Do(const release_lease& aAction)
{
  AskWorker(aAction.mWorker, [this, aAction](const endpoint& aAddress) -> event {
    return mWorkers.Release(aAddress, aAction);
  });
}

void scheduler_engine::Do(const forget_lease& aAction)
{
  const auto found = mContacts.find(aAction.mWorker);
  if (found == mContacts.end()) {
    return;
  }
  mRuntime.Spawn(
    [this, aAction, address = found->second.mAddress] { mWorkers.Forget(address, aAction); });
}

void scheduler_engine::Do(const renew_leases& aAction)
{
  const auto found = mContacts.find(aAction.mWorker);
  if (found == mContacts.end()) {
    return;
  }
  mRuntime.Spawn([this, aAction, address = found->second.mAddress, epoch = mEpoch] {
    const std::optional<lease_report> report =
      mWorkers.Renew(address, aAction, [&] { return MayRenew(epoch); });
    if (epoch != mEpoch) {
      return;
    }
    if (report) {
      NoteAnswer(aAction.mWorker);
      Take(*report);
    } else {
      NoteSilence(aAction.mWorker);
    }
  });
}

void scheduler_engine::Do(const record_job& aAction)
{
  mRuntime.Spawn([this, aAction] { WriteRecord(aAction); });
}

void scheduler_engine::Do(const answer_submission& aAction)
{
  mMetrics.Count(kSubmissions, OutcomeName(aAction.mOutcome));
  const auto found = mWaiting.find(aAction.mRequest);
  if (found != mWaiting.end()) {
    found->second(aAction);
    mWaiting.erase(found);
  }
}

void scheduler_engine::Do(const decision_note& aAction)
{
  mMetrics.Count(kDecisions, ToString(aAction.mKind));
  LogEvent(EventOf(aAction.mKind),
           { Field("job", aAction.mJob), Field("worker", aAction.mWorker),
             Field("other", aAction.mOther), Field("reason", aAction.mReason) });
}

// Asked after the last wait before the start is sent. A process that was paused in between finds
// its reservation or its settings too old here; what is still late after this the worker refuses.
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
  const auto worker = mContacts.find(aWorker);
  if (!mView || worker == mContacts.end()) {
    return true;
  }
  const auto domain = mView->mDomains.find(worker->second.mDomain);
  return domain != mView->mDomains.end() && domain->second.mWithdrawn;
}

// A successor waits for leases to lapse that it cannot ask about, counting on this: nobody renews
// them once the leader's own time to live is over.
bool scheduler_engine::MayRenew(epoch_number aEpoch) const
{
  return aEpoch == mEpoch && mPermissions.mLeaderConfirmed(monotonic_clock::now());
}

void scheduler_engine::WriteRecord(const record_job& aAction)
{
  const epoch_number epoch = mEpoch;
  const std::string& change = aAction.mRecord.mChange;
  settled_request request;
  request.mKey = std::string(kJobsPrefix) + aAction.mRecord.mSpec.mId;
  request.mExpected = aAction.mExpected;
  request.mValue = FormatJobRecord(aAction.mRecord);
  request.mHoldsOurs = [&change](const stored_value& aValue) {
    const auto record = Settle([&] { return ParseJobRecord(aValue.mValue); });
    return record && record.value().mChange == change;
  };
  backoff wait(kFirstBackoff, kBackoffCap, std::random_device{}());
  const settled_result settled =
    SettledSwap(mStore, request, wait, monotonic_clock::now() + kStoreTimeout);
  if (epoch != mEpoch) {
    return;
  }
  const bool reached = settled.mFate == swap_fate::kDone || settled.mFate == swap_fate::kConflict;
  if (reached != mCore.Status().mStoreReachable) {
    Take(store_reachable{ reached });
  }
  record_finished finished{ aAction.mRecord.mSpec.mId, change, OutcomeOf(settled.mFate),
                            settled.mRevision, std::nullopt };
  if (settled.mFate == swap_fate::kConflict) {
    finished.mRevision = settled.mCurrent.mModified;
    const auto current = Settle([&] { return ParseJobRecord(settled.mCurrent.mValue); });
    if (current) {
      finished.mCurrent = current.value();
    }
  }
  Take(finished);
}

void scheduler_engine::NoteAnswer(const std::string& aWorker)
{
  const auto found = mContacts.find(aWorker);
  if (found == mContacts.end()) {
    return;
  }
  found->second.mLastAnswer = monotonic_clock::now();
  if (std::exchange(found->second.mLost, false)) {
    LogEvent(kWorkerReachable, { Field("worker", aWorker) });
    Take(worker_found{ aWorker });
  }
}

void scheduler_engine::NoteSilence(const std::string& aWorker)
{
  const auto found = mContacts.find(aWorker);
  if (found == mContacts.end() || found->second.mLost) {
    return;
  }
  const duration silent = monotonic_clock::now() - found->second.mLastAnswer;
  if (silent > mOptions.mLeaseTimeToLive) {
    found->second.mLost = true;
    LogEvent(kWorkerUnreachable, { Field("worker", aWorker) });
    Take(worker_lost{ aWorker });
  }
}

// A renewal without leases: shows whether the worker answers, and teaches it our epoch.
void scheduler_engine::Ask(const std::string& aWorker)
{
  contact& entry = mContacts.at(aWorker);
  entry.mAsking = true;
  mRuntime.Spawn([this, aWorker, address = entry.mAddress, epoch = mEpoch] {
    const auto report = mWorkers.Renew(address, { aWorker, epoch, milliseconds(0), {} },
                                       [&] { return MayRenew(epoch); });
    const auto found = mContacts.find(aWorker);
    if (found != mContacts.end()) {
      found->second.mAsking = false;
    }
    if (epoch != mEpoch) {
      return;
    }
    if (report) {
      NoteAnswer(aWorker);
    } else {
      NoteSilence(aWorker);
    }
  });
}

void scheduler_engine::RunContacts()
{
  while (true) {
    const instant due =
      monotonic_clock::now() - std::min(kContactEvery, mOptions.mLeaseTimeToLive / 3);
    for (const auto& [name, entry] : mContacts) {
      if (mEpoch != 0 && !entry.mAsking && entry.mLastAnswer < due) {
        Ask(name);
      }
    }
    SleepFor(kContactCheck);
  }
}

void scheduler_engine::RunTicks()
{
  const milliseconds every = job_options{}.mTick;
  while (true) {
    Take(tick{});
    ShowStatus();
    SleepFor(every);
  }
}

void scheduler_engine::ShowStatus()
{
  const core_status status = mCore.Status();
  mMetrics.Set(kIsLeader, status.mActing ? 1 : 0);
  mMetrics.Set(kJobsByState, status.mQueued, "queued");
  mMetrics.Set(kJobsByState, status.mRunning, "running");
  mMetrics.Set(kAccelerators, status.mAccelerators, "all");
  mMetrics.Set(kAccelerators, status.mAcceleratorsUsed, "used");
}

// Each worker learns the new epoch before it is asked what it holds: after its answer, an older
// leader can neither reserve nor start there.
std::vector<worker_listing> scheduler_engine::ListWorkers(epoch_number aEpoch)
{
  std::vector<boost::fibers::future<std::optional<worker_listing>>> answers;
  for (const auto& [name, entry] : mContacts) {
    auto answered = std::make_shared<boost::fibers::promise<std::optional<worker_listing>>>();
    answers.push_back(answered->get_future());
    mRuntime.Spawn([this, answered, aEpoch, name = name, address = entry.mAddress] {
      std::optional<worker_listing> listing;
      if (mWorkers.Renew(address, { name, aEpoch, milliseconds(0), {} },
                         [&] { return MayRenew(aEpoch); })) {
        listing = mWorkers.List(address, name);
      }
      answered->set_value(std::move(listing));
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
    const auto record = Settle([&] { return ParseJobRecord(each.mValue); });
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
  Take(epoch_gained{ aEpoch });
  std::vector<worker_listing> listings = ListWorkers(aEpoch);
  std::optional<std::vector<restored_record>> records = ReadRecords();
  if (!records || mEpoch != aEpoch) {
    LogEvent(kTakeoverFailed, { Field("epoch", aEpoch) });
    return false;
  }
  const instant now = monotonic_clock::now();
  for (auto& [name, entry] : mContacts) {
    const bool listed =
      std::ranges::find(listings, name, &worker_listing::mWorker) != listings.end();
    entry.mLost = !listed;
    entry.mLastAnswer = listed ? now : entry.mLastAnswer;
  }
  LogEvent(kTakeoverDone, { Field("epoch", aEpoch), Field("records", records->size()),
                            Field("workers", listings.size()) });
  Take(store_reachable{ true });
  Take(restored{ std::move(*records), std::move(listings) });
  return true;
}

std::vector<job_spec> scheduler_engine::StepDown()
{
  std::vector<job_spec> unsaved;
  for (const job_view& each : mCore.Jobs()) {
    if (!each.mStored && !IsFinal(each.mRecord.mState)) {
      unsaved.push_back(each.mRecord.mSpec);
    }
  }
  mEpoch = 0;
  Take(epoch_lost{});
  return unsaved;
}

} // namespace briarwind
