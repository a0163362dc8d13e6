#include "work_driver.h"

#include "control_events.h"
#include "work_note_events.h"

#include <algorithm>
#include <ranges>

namespace briarwind {

namespace {

constexpr milliseconds kTick{ 100 };
// A worker that is well answers within a few milliseconds, on links of 3 ms one way at most; a
// start that stays unanswered holds up its gang, whose other members wait at most a few seconds.
constexpr milliseconds kOrderDeadline{ 350 };
constexpr milliseconds kPollSlack{ 600 };
// An answer takes time for each worker named, behind the calls that came before.
constexpr milliseconds kAdviceDeadline{ 2'000 };
constexpr milliseconds kForgetEvery{ 5'000 };

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

} // namespace work_keys

work_driver::work_driver(fiber_runtime& aRuntime, record_store& aStore, const outside& aOutside,
                         metrics& aMetrics, const work_options& aOptions)
  : mRuntime(aRuntime)
  , mStore(aStore)
  , mGateway(*aOutside.mWorkers)
  , mRegistry(*aOutside.mRegistry, aMetrics)
  , mAdvisor(aOutside.mAdvisor)
  , mMetrics(aMetrics)
  , mRegistryInterval(aOptions.mRegistryInterval)
  , mCore(aOptions)
{
}

void work_driver::RunTerm(const leadership& aLead, std::function<void()> aOnLeadLost)
{
  const int term = ++mTerm;
  mLead = &aLead;
  mOnLeadLost = std::move(aOnLeadLost);
  mCore.BeginTerm(aLead.Epoch(), monotonic_clock::now());
  store_revision listed = 0;
  while (IsTerm(term) && !TakeOver(term, listed)) {
    SleepFor(kWriteRetry);
  }
  if (!IsTerm(term)) {
    return;
  }
  mActing = true;
  const work_counts counts = mCore.Counts();
  LogEvent(kTakenOver, { Field("epoch", mCore.Epoch()), Field("jobs", counts.mJobs),
                         Field("runs", counts.mLiveRuns), Field("workers", counts.mWorkers),
                         Field("revision", listed) });
  mRuntime.Spawn([this, term] { PollWorkers(term); });
  mRuntime.Spawn([this, term] { TickLoop(term); });
  Pump();
  store_follower follower(
    mStore, mMetrics, std::string(work_keys::kAccepted),
    { [this](const store_listing& aListing) { Accepted(aListing); },
      [this](const std::vector<store_change>& aChanges) { AcceptedChanged(aChanges); },
      [this, term] { return IsTerm(term); } });
  follower.Run(listed);
}

void work_driver::StepDown()
{
  mLead = nullptr;
  mActing = false;
  mCore.EndTerm();
}

void work_driver::LoseLead(std::string_view aReason)
{
  LogEvent(kLeadRefused, { Field("epoch", mCore.Epoch()), Field("reason", aReason) });
  if (const auto onLost = mOnLeadLost) {
    onLost();
  }
}

// Orders of before the lead was claimed again are refused as well; only the present epoch tells.
bool work_driver::FencedBy(std::int64_t aEpoch)
{
  if (aEpoch != mCore.Epoch()) {
    return false;
  }
  LoseLead("a worker obeys a newer leader");
  return true;
}

void work_driver::GoOnUnder(std::int64_t aEpoch)
{
  mCore.RaiseEpoch(aEpoch);
  Pump();
}

void work_driver::SetSettings(const work_settings& aSettings)
{
  mSettings = aSettings;
  if (mActing) {
    mCore.SetSettings(mSettings, monotonic_clock::now());
    Pump();
  }
}

// The epoch is in force already, so no record of an earlier leader can change any more. Progress is
// read before the accepted jobs: a job that comes in between has none.
bool work_driver::TakeOver(int aTerm, store_revision& aListed)
{
  const std::int64_t epoch = mCore.Epoch();
  const auto progress = mStore.List(work_keys::kProgress, monotonic_clock::now() + kStoreDeadline);
  const auto accepted =
    progress ? mStore.List(work_keys::kAccepted, monotonic_clock::now() + kStoreDeadline)
             : progress;
  const auto workers = mRegistry.Read(monotonic_clock::now() + kStoreDeadline);
  if (!accepted || !workers) {
    LogEvent(kTakeOverFailed,
             { Field("epoch", epoch), Field("what", accepted ? "registry" : "records") });
    return false;
  }
  // Claimed again meanwhile: what was read may be from before the new epoch.
  if (!IsTerm(aTerm) || mCore.Epoch() != epoch) {
    return false;
  }
  const instant now = monotonic_clock::now();
  mCore.BeginTerm(epoch, now);
  mCore.SetSettings(mSettings, now);
  std::map<std::string_view, const stored_value*> records;
  for (const stored_value& each : progress.value().mValues) {
    records.emplace(std::string_view(each.mKey).substr(work_keys::kProgress.size()), &each);
  }
  for (const stored_value& each : accepted.value().mValues) {
    if (each.mKey.ends_with(work_keys::kCancelSuffix)) {
      continue;
    }
    const auto job = Settle([&] { return ParseWorkJob(each.mValue); });
    if (!job) {
      LogEvent(kWorkUnreadable, { Field("key", each.mKey), Field("revision", each.mModified) });
      continue;
    }
    stored_job stored{ job.value(), false, {}, 0 };
    if (const auto record = records.find(job.value().mId); record != records.end()) {
      stored.mProgress = record->second->mValue;
      stored.mProgressRevision = record->second->mModified;
    }
    mCore.AddJob(stored, now, WallNow());
  }
  mCore.SetWorkers(workers.value(), now);
  Accepted(accepted.value());
  aListed = accepted.value().mRevision;
  return true;
}

void work_driver::Accepted(const store_listing& aListing)
{
  std::ranges::for_each(aListing.mValues,
                        [this](const stored_value& aValue) { AddAccepted(aValue); });
  Pump();
}

void work_driver::AcceptedChanged(const std::vector<store_change>& aChanges)
{
  for (const store_change& each : aChanges) {
    if (!each.mDeleted) {
      AddAccepted(each.mValue);
    }
  }
  Pump();
}

void work_driver::NotifyStored(const stored_value& aValue)
{
  if (mActing && aValue.mKey.starts_with(work_keys::kAccepted)) {
    AddAccepted(aValue);
    Pump();
  }
}

void work_driver::AddAccepted(const stored_value& aValue)
{
  const instant now = monotonic_clock::now();
  std::string_view name = std::string_view(aValue.mKey).substr(work_keys::kAccepted.size());
  if (name.ends_with(work_keys::kCancelSuffix)) {
    name.remove_suffix(work_keys::kCancelSuffix.size());
    mCore.CancelJob(std::string(name), now);
    return;
  }
  if (mCore.State(std::string(name))) {
    return;
  }
  const auto job = Settle([&] { return ParseWorkJob(aValue.mValue); });
  if (!job) {
    LogEvent(kWorkUnreadable, { Field("key", aValue.mKey), Field("revision", aValue.mModified) });
    return;
  }
  mCore.AddJob({ job.value(), false, {}, 0 }, now, WallNow());
}

void work_driver::PollWorkers(int aTerm)
{
  while (IsTerm(aTerm)) {
    SleepFor(mRegistryInterval);
    const auto workers = mRegistry.Read(monotonic_clock::now() + kStoreDeadline);
    if (IsTerm(aTerm) && workers) {
      mCore.SetWorkers(workers.value(), monotonic_clock::now());
      Pump();
    }
  }
}

void work_driver::TickLoop(int aTerm)
{
  instant forgetAt = monotonic_clock::now() + kForgetEvery;
  while (IsTerm(aTerm)) {
    SleepFor(kTick);
    PumpNow();
    if (IsTerm(aTerm) && monotonic_clock::now() >= forgetAt) {
      forgetAt = monotonic_clock::now() + kForgetEvery;
      ForgetOld();
    }
  }
}

// Several events often come at once; they are decided on together.
void work_driver::Pump()
{
  if (!mActing || std::exchange(mPumpPending, true)) {
    return;
  }
  mRuntime.Spawn([this] {
    mPumpPending = false;
    PumpNow();
  });
}

void work_driver::PumpNow()
{
  if (!mActing) {
    return;
  }
  if (!mPaused && mLead->MayOrder()) {
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
  if (const auto* note = std::get_if<work_note>(&aAction)) {
    LogNote(*note);
    return;
  }
  if (auto* question = std::get_if<ask_advice>(&aAction)) {
    mQuestions.push_back(std::move(*question));
    AskNext();
    return;
  }
  ++mOrders;
  mRuntime.Spawn([this, action = std::move(aAction)] {
    if (const auto* start = std::get_if<start_run>(&action)) {
      PerformStart(*start);
    } else if (const auto* stop = std::get_if<stop_run>(&action)) {
      PerformStop(*stop);
    }
    --mOrders;
    Pump();
  });
}

void work_driver::PerformStart(const start_run& aOrder)
{
  const int term = mTerm;
  const std::int64_t epoch = mCore.Epoch();
  const instant sent = monotonic_clock::now();
  start_outcome outcome = start_outcome::kHeldBack;
  // Checked last: whatever came before may have taken long, or the host was suspended in it.
  if (mActing && !mPaused && mLead->MayOrder()) {
    const milliseconds until = mCore.GrantLease(aOrder.mWorker, sent);
    outcome =
      mGateway.Start(mCore.Address(aOrder.mWorker), aOrder, epoch, until, sent + kOrderDeadline);
  }
  mMetrics.Count(kWorkOrders, ToString(outcome));
  if (!IsTerm(term)) {
    return;
  }
  mCore.OnStarted(aOrder, outcome, sent, monotonic_clock::now());
  if (outcome == start_outcome::kFenced) {
    FencedBy(epoch);
  }
}

// The advisor takes one call of each host at a time, so questions wait here, where those that
// nobody needs any more cost nothing.
void work_driver::AskNext()
{
  if (mQuestions.empty() || std::exchange(mAsking, true)) {
    return;
  }
  mRuntime.Spawn([this] {
    while (!mQuestions.empty()) {
      const ask_advice question = std::move(mQuestions.front());
      mQuestions.pop_front();
      const int term = mTerm;
      std::optional<placement_advice> advice;
      if (mAdvisor != nullptr && mActing) {
        const auto answer = mAdvisor->Ask(question, monotonic_clock::now() + kAdviceDeadline);
        mMetrics.Count(kAdviceCalls, answer ? "answered" : ToString(answer.error().mKind));
        advice = answer ? std::optional(answer.value()) : std::nullopt;
      }
      if (IsTerm(term)) {
        mCore.OnAdvice(question, advice, monotonic_clock::now());
        Pump();
      }
    }
    mAsking = false;
  });
}

void work_driver::PerformStop(const stop_run& aOrder)
{
  const int term = mTerm;
  const std::int64_t epoch = mCore.Epoch();
  const instant sent = monotonic_clock::now();
  const stop_outcome outcome =
    mGateway.Stop(mCore.Address(aOrder.mWorker), aOrder, epoch, sent + kOrderDeadline);
  mMetrics.Count(kWorkStops, outcome == stop_outcome::kStopping ? "stopping" : "failed");
  if (!IsTerm(term)) {
    return;
  }
  mCore.OnStopped(aOrder, outcome, sent, monotonic_clock::now());
  if (outcome == stop_outcome::kFenced) {
    FencedBy(epoch);
  }
}

void work_driver::LogNote(const work_note& aNote)
{
  mMetrics.Count(kWorkNotes, ToString(aNote.mKind));
  LogEvent(EventOf(aNote.mKind),
           { Field("job", aNote.mJob), Field("task", aNote.mTask), Field("worker", aNote.mWorker),
             Field("reason", aNote.mReason), Field("age_ms", aNote.mAge.count()),
             Field("epoch", mCore.Epoch()), Field("settings", mSettings.mVersion) });
}

void work_driver::StartPolls()
{
  const instant now = monotonic_clock::now();
  const bool ending = mLead->IsAboutToEnd();
  for (const std::string& worker : mCore.Workers()) {
    const bool second = mPolling.contains(worker);
    std::set<std::string>& underWay = second ? mSecondPolling : mPolling;
    if (underWay.contains(worker)) {
      continue;
    }
    auto plan = second ? mCore.PlanSecondPoll(worker, now, ending) : mCore.PlanPoll(worker, now);
    if (plan) {
      if (!mLead->MayOrder()) {
        plan->mLeaseUntil = milliseconds{ 0 };
      }
      underWay.insert(worker);
      mRuntime.Spawn([this, worker, plan = *plan, &underWay] { RunPoll(worker, plan, underWay); });
    }
  }
}

void work_driver::RunPoll(const std::string& aWorker, const poll_plan& aPlan,
                          std::set<std::string>& aUnderWay)
{
  const int term = mTerm;
  const std::int64_t epoch = mCore.Epoch();
  const instant sent = monotonic_clock::now();
  const auto report = mGateway.Poll(aWorker, aPlan, epoch, sent + aPlan.mWait + kPollSlack);
  aUnderWay.erase(aWorker);
  mMetrics.Count(kWorkPolls, report ? "answered" : ToString(report.error().mKind));
  if (!IsTerm(term)) {
    return;
  }
  if (report) {
    mCore.OnReport(aWorker, report.value(), sent, monotonic_clock::now());
  } else if (report.error().mKind == error_kind::kConflict && FencedBy(epoch)) {
    return;
  } else {
    mCore.OnPollFailed(aWorker, monotonic_clock::now());
  }
  Pump();
}

} // namespace briarwind
