#include "work_driver.h"

#include "control_events.h"
#include "work_event_log.h"

#include <algorithm>
#include <charconv>
#include <ranges>

namespace briarwind {

namespace {

constexpr milliseconds kRoundInterval{ 100 };
constexpr milliseconds kGaugeInterval{ 1'000 };
constexpr std::size_t kMaxReportedOrganisations = 64;
// A healthy worker answers within a few milliseconds, over links with at most 3 ms one-way latency.
// A start without an answer delays its gang, whose other members wait for a few seconds at most.
constexpr milliseconds kOrderTimeout{ 350 };
constexpr milliseconds kPollMargin{ 600 };
// The advisor takes time for each worker in the request and handles calls one after another.
constexpr milliseconds kAdviceTimeout{ 2'000 };

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

wall_time WallNow()
{
  return std::chrono::system_clock::now();
}

} // namespace

namespace work_keys {

std::string Accepted(std::string_view aJob)
{
  return fmt::format("{}{}", kAccepted, aJob);
}

std::string Cancel(std::string_view aJob)
{
  return fmt::format("{}{}{}", kAccepted, aJob, kCancelSuffix);
}

std::string Progress(std::string_view aJob)
{
  return fmt::format("{}{}", kProgress, aJob);
}

std::string ProgressPart(std::string_view aJob, std::int64_t aPart)
{
  return fmt::format("{}{}/{}", kProgress, aJob, aPart);
}

} // namespace work_keys

work_driver::work_driver(fiber_runtime& aRuntime, record_store& aStore,
                         const dependencies& aDependencies, metrics& aMetrics,
                         const work_options& aOptions)
  : mRuntime(aRuntime)
  , mStore(aStore)
  , mGateway(*aDependencies.mWorkers)
  , mRegistry(*aDependencies.mRegistry, aMetrics)
  , mAdvisor(aDependencies.mAdvisor)
  , mMetrics(aMetrics)
  , mRegistryInterval(aOptions.mRegistryInterval)
  , mRemovalInterval(aOptions.mRemovalInterval)
  , mMaxValueBytes(aOptions.mMaxValueBytes)
  , mCore(aOptions)
{
}

void work_driver::RunTerm(const leadership& aLeadership, std::function<void()> aOnSuperseded)
{
  const int term = ++mTerm;
  mLeadership = &aLeadership;
  mOnSuperseded = std::move(aOnSuperseded);
  mCore.BeginTerm(aLeadership.Epoch(), monotonic_clock::now());
  store_revision listed = 0;
  while (IsCurrentTerm(term) && !TakeOver(term, listed)) {
    SleepFor(kRetryDelay);
  }
  if (!IsCurrentTerm(term)) {
    return;
  }
  mHasTakenOver = true;
  const work_counts counts = mCore.Counts();
  LogEvent(kTakeoverLoaded, { Field("epoch", mCore.Epoch()), Field("jobs", counts.mJobs),
                              Field("runs", counts.mLiveRuns), Field("workers", counts.mWorkers),
                              Field("revision", listed) });
  mRuntime.Spawn([this, term] { RefreshWorkers(term); });
  mRuntime.Spawn([this, term] { RoundLoop(term); });
  ScheduleRound();
  store_follower follower(
    mStore, mMetrics, std::string(work_keys::kAccepted),
    { [this](const store_listing& aListing) { OnAcceptedListed(aListing); },
      [this](const std::vector<store_change>& aChanges) { OnAcceptedChanged(aChanges); },
      [this, term] { return IsCurrentTerm(term); } });
  follower.Run(listed);
}

void work_driver::LeaveTerm()
{
  mLeadership = nullptr;
  mHasTakenOver = false;
  mCancelledIds.clear();
  mCore.EndTerm();
}

void work_driver::ReportSuperseded(std::string_view aReason)
{
  LogEvent(kLeadershipSuperseded, { Field("epoch", mCore.Epoch()), Field("reason", aReason) });
  if (const auto onSuperseded = mOnSuperseded) {
    onSuperseded();
  }
}

// Orders sent before leadership was claimed again are rejected too; only a rejection of the current
// epoch means that another host leads.
bool work_driver::HandleFenced(std::int64_t aEpoch)
{
  if (aEpoch != mCore.Epoch()) {
    return false;
  }
  ReportSuperseded("a worker has seen a higher epoch");
  return true;
}

void work_driver::ContinueTerm(std::int64_t aEpoch)
{
  mCore.RaiseEpoch(aEpoch);
  ScheduleRound();
}

void work_driver::SetSettings(const work_settings& aSettings)
{
  mSettings = aSettings;
  if (mHasTakenOver) {
    mCore.SetSettings(mSettings, monotonic_clock::now());
    ScheduleRound();
  }
}

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
    mCore.AddJob(stored, now, WallNow());
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
               monotonic_clock::now(), WallNow());
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

void work_driver::RefreshWorkers(int aTerm)
{
  while (IsCurrentTerm(aTerm)) {
    SleepFor(mRegistryInterval);
    const auto workers = mRegistry.Read(monotonic_clock::now() + kStoreDeadline);
    if (IsCurrentTerm(aTerm) && workers) {
      mCore.SetWorkers(workers.value(), monotonic_clock::now());
      ScheduleRound();
    }
  }
}

void work_driver::RoundLoop(int aTerm)
{
  instant nextRemoval = monotonic_clock::now() + mRemovalInterval;
  instant nextGauges = monotonic_clock::now();
  while (IsCurrentTerm(aTerm)) {
    SleepFor(kRoundInterval);
    RunRound();
    if (monotonic_clock::now() >= nextGauges) {
      nextGauges = monotonic_clock::now() + kGaugeInterval;
      ReportGauges();
    }
    if (IsCurrentTerm(aTerm) && monotonic_clock::now() >= nextRemoval) {
      nextRemoval = monotonic_clock::now() + mRemovalInterval;
      StartRemoval();
    }
  }
}

// Organisations beyond the number of gauges are summed up under one name.
void work_driver::ReportGauges()
{
  mMetrics.Set(kInterferingPairs, static_cast<double>(mCore.InterferingPairs()));
  mMetrics.Set(kReservedRacks, static_cast<double>(mCore.ReservedRacks()));
  mMetrics.Set(kJobsBehindSchedule, mCore.JobsBehindSchedule());
  mMetrics.Set(kJobsWithRefusedRecord, static_cast<double>(mCore.JobsWithRefusedRecord()));
  for (const idle_wait& each : mCore.IdleWaits()) {
    mMetrics.Set(kStepsBesideIdle, each.mSteps, ToString(each.mReason));
  }
  std::map<std::string, organisation_use> reported;
  for (const organisation_use& each : mCore.OrganisationUse()) {
    const bool full = reported.size() >= kMaxReportedOrganisations;
    organisation_use& entry = reported[full ? "others" : each.mOrganisation];
    entry.mInUse += each.mInUse;
    entry.mLimit += each.mLimit;
  }
  const auto set = [&](const std::string& aName, std::string_view aResource, double aUse,
                       double aLimit) {
    const std::string label = fmt::format("{}/{}", aName, aResource);
    mMetrics.Set(kOrganisationUse, aUse, label);
    mMetrics.Set(kOrganisationLimit, aLimit, label);
  };
  for (const auto& [name, use] : reported) {
    set(name, "accelerators", use.mInUse.mAccelerators, use.mLimit.mAccelerators);
    set(name, "milli_cores", static_cast<double>(use.mInUse.mMilliCores),
        static_cast<double>(use.mLimit.mMilliCores));
    set(name, "memory_mb", static_cast<double>(use.mInUse.mMemoryMb),
        static_cast<double>(use.mLimit.mMemoryMb));
  }
}

// Coalesces events that arrive together into one round of decisions.
void work_driver::ScheduleRound()
{
  if (!mHasTakenOver || std::exchange(mRoundPending, true)) {
    return;
  }
  mRuntime.Spawn([this] {
    mRoundPending = false;
    RunRound();
  });
}

void work_driver::RunRound()
{
  if (!mHasTakenOver) {
    return;
  }
  // Without the operators' settings the limits of organisations are unknown.
  if (!mPaused && mSettings.mVersion > 0 && mLeadership->MayIssueOrders()) {
    const instant begun = monotonic_clock::now();
    mCore.Decide(begun, WallNow());
    mMetrics.Observe(kWorkDecisionTime, monotonic_clock::now() - begun);
  }
  std::ranges::for_each(mCore.TakeActions(),
                        [this](work_action& aAction) { Perform(std::move(aAction)); });
  StartWrites();
  StartPolls();
}

void work_driver::Perform(work_action aAction)
{
  if (const auto* event = std::get_if<work_event>(&aAction)) {
    LogWorkEvent(*event);
    return;
  }
  if (auto* request = std::get_if<advice_request>(&aAction)) {
    mAdviceQueue.push_back(std::move(*request));
    StartAdviceCalls();
    return;
  }
  ++mOrdersInFlight;
  mRuntime.Spawn([this, action = std::move(aAction)] {
    if (const auto* start = std::get_if<start_run>(&action)) {
      PerformStart(*start);
    } else if (const auto* stop = std::get_if<stop_run>(&action)) {
      PerformStop(*stop);
    } else if (const auto* pace = std::get_if<pace_run>(&action)) {
      PerformPace(*pace);
    }
    --mOrdersInFlight;
    ScheduleRound();
  });
}

void work_driver::PerformStart(const start_run& aOrder)
{
  const int term = mTerm;
  const std::int64_t epoch = mCore.Epoch();
  const instant sent = monotonic_clock::now();
  start_outcome outcome = start_outcome::kHeldBack;
  // Checked directly before sending, because the fiber or the whole host may have been suspended
  // since the decision.
  if (mHasTakenOver && !mPaused && mLeadership->MayIssueOrders()) {
    const milliseconds until = mCore.GrantLease(aOrder.mWorker, sent);
    outcome =
      mGateway.Start(mCore.Address(aOrder.mWorker), aOrder, epoch, until, sent + kOrderTimeout);
  }
  mMetrics.Count(kStartOrders, ToString(outcome));
  if (!IsCurrentTerm(term)) {
    return;
  }
  mCore.OnStarted(aOrder, outcome, sent, monotonic_clock::now());
  if (outcome == start_outcome::kFenced) {
    HandleFenced(epoch);
  }
}

// The advisor accepts one call per host at a time, so requests queue here. They are dropped without
// a call once this host no longer leads.
void work_driver::StartAdviceCalls()
{
  if (mAdviceQueue.empty() || std::exchange(mAdviceCallRunning, true)) {
    return;
  }
  mRuntime.Spawn([this] {
    while (!mAdviceQueue.empty()) {
      const advice_request request = std::move(mAdviceQueue.front());
      mAdviceQueue.pop_front();
      const int term = mTerm;
      std::optional<placement_advice> advice;
      if (mAdvisor != nullptr && mHasTakenOver) {
        const auto answer =
          mAdvisor->RequestAdvice(request, monotonic_clock::now() + kAdviceTimeout);
        mMetrics.Count(kAdviceCalls, answer ? "answered" : ToString(answer.error().mKind));
        advice = answer ? std::optional(answer.value()) : std::nullopt;
      }
      if (IsCurrentTerm(term)) {
        mCore.OnAdvice(request, advice, monotonic_clock::now());
        ScheduleRound();
      }
    }
    mAdviceCallRunning = false;
  });
}

void work_driver::PerformStop(const stop_run& aOrder)
{
  const int term = mTerm;
  const std::int64_t epoch = mCore.Epoch();
  const instant sent = monotonic_clock::now();
  const stop_outcome outcome =
    mGateway.Stop(mCore.Address(aOrder.mWorker), aOrder, epoch, sent + kOrderTimeout);
  mMetrics.Count(kStopOrders, outcome == stop_outcome::kStopping ? "stopping" : "failed");
  if (!IsCurrentTerm(term)) {
    return;
  }
  mCore.OnStopped(aOrder, outcome, sent, monotonic_clock::now());
  if (outcome == stop_outcome::kFenced) {
    HandleFenced(epoch);
  }
}

void work_driver::PerformPace(const pace_run& aOrder)
{
  const int term = mTerm;
  const std::int64_t epoch = mCore.Epoch();
  pace_outcome outcome = pace_outcome::kHeldBack;
  // Checked directly before sending, as for a start.
  if (mHasTakenOver && !mPaused && mLeadership->MayIssueOrders()) {
    outcome = mGateway.Pace(mCore.Address(aOrder.mWorker), aOrder, epoch,
                            monotonic_clock::now() + kOrderTimeout);
  }
  mMetrics.Count(kPaceOrders, ToString(outcome));
  if (!IsCurrentTerm(term)) {
    return;
  }
  mCore.OnPaced(aOrder, outcome, monotonic_clock::now());
  if (outcome == pace_outcome::kFenced) {
    HandleFenced(epoch);
  }
}

void work_driver::LogWorkEvent(const work_event& aEvent)
{
  mMetrics.Count(kCoreDecisions, ToString(aEvent.mKind));
  if (aEvent.mKind == work_event_kind::kWaitsForLimit) {
    mMetrics.Count(kLimitWaits, aEvent.mReason);
  }
  if (aEvent.mKind == work_event_kind::kWaitsBesideIdle) {
    mMetrics.Count(kIdleWaits, aEvent.mReason);
  }
  LogEvent(LogEventFor(aEvent.mKind),
           { Field("job", aEvent.mJob), Field("task", aEvent.mTask),
             Field("worker", aEvent.mWorker), Field("reason", aEvent.mReason),
             Field("age_ms", aEvent.mAge.count()), Field("epoch", mCore.Epoch()),
             Field("settings", mSettings.mVersion) });
}

void work_driver::StartPolls()
{
  const instant now = monotonic_clock::now();
  const bool leaseExpiring = mLeadership->IsLeaseExpiring();
  for (const std::string& worker : mCore.Workers()) {
    const bool second = mPollsInFlight.contains(worker);
    std::set<std::string>& inFlight = second ? mSecondPollsInFlight : mPollsInFlight;
    if (inFlight.contains(worker)) {
      continue;
    }
    auto plan =
      second ? mCore.PlanSecondPoll(worker, now, leaseExpiring) : mCore.PlanPoll(worker, now);
    if (plan) {
      if (!mLeadership->MayIssueOrders()) {
        plan->mLeaseUntil = milliseconds{ 0 };
      }
      inFlight.insert(worker);
      mRuntime.Spawn([this, worker, plan = *plan, &inFlight] { RunPoll(worker, plan, inFlight); });
    }
  }
}

void work_driver::RunPoll(const std::string& aWorker, const poll_plan& aPlan,
                          std::set<std::string>& aInFlight)
{
  const int term = mTerm;
  const std::int64_t epoch = mCore.Epoch();
  const instant sent = monotonic_clock::now();
  const auto report = mGateway.Poll(aWorker, aPlan, epoch, sent + aPlan.mWait + kPollMargin);
  aInFlight.erase(aWorker);
  mMetrics.Count(kWorkPolls, report ? "answered" : ToString(report.error().mKind));
  if (!IsCurrentTerm(term)) {
    return;
  }
  if (report) {
    mCore.OnReport(aWorker, report.value(), sent, monotonic_clock::now());
  } else if (report.error().mKind == error_kind::kConflict && HandleFenced(epoch)) {
    return;
  } else {
    mCore.OnPollFailed(aWorker, monotonic_clock::now());
  }
  ScheduleRound();
}

} // namespace briarwind
