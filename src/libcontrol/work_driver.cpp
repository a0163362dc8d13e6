#include "work_driver.h"

#include "control_events.h"
#include "work_event_log.h"

#include <algorithm>
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
