#include "briarwind/job_core.h"

#include "briarwind/testing.h"
#include "libjobs/testing/fake_platform.h"

#include <ranges>

using namespace briarwind;
using fakes::fake_platform;

namespace {

constexpr resource_shape kWorkerShape{ 8, 128, 262144 };
constexpr resource_shape kWhole{ 8, 64, 65536 };

std::vector<worker_info> Workers(int aCount, int aDomains)
{
  std::vector<worker_info> workers;
  for (int i = 0; i < aCount; ++i) {
    workers.push_back({ "w" + std::to_string(i), "d" + std::to_string(i % aDomains), "r0", "a",
                        kWorkerShape, false });
  }
  return workers;
}

settings_view Settings(int aGuaranteed)
{
  settings_view settings;
  settings.mRevision = 1;
  organisation_settings& owner = settings.mOrganisations["owner"];
  owner.mName = "owner";
  if (aGuaranteed > 0) {
    owner.mGuarantees.push_back({ "g", aGuaranteed, 1, kWhole, adjacency::kNone });
  }
  settings.mOrganisations["other"].mName = "other";
  settings.mTeams["team"] = { "team", "other", 16, {} };
  return settings;
}

job_spec Job(const std::string& aId, int aMembers)
{
  job_spec spec;
  spec.mId = aId;
  spec.mOrganisation = "other";
  spec.mMembers = aMembers;
  spec.mShape = kWhole;
  spec.mExpected = seconds(10);
  spec.mRepeatable = true;
  spec.mCheckpoints = true;
  return spec;
}

/// A platform whose core acts for the queue, and what it did.
struct acting_platform
{
  explicit acting_platform(int aWorkers, int aGuaranteed = 0, int aDomains = 1)
    : mSettings(Settings(aGuaranteed))
    , mWorkers(Workers(aWorkers, aDomains))
    , mPlatform({}, 1)
  {
    mPlatform.SetRuns([](const std::string&) { return fakes::true_run{ seconds(10), false }; });
    mPlatform.SetObserver([this](const action& aAction) { mActions.push_back(aAction); });
    mPlatform.SetWorkers(mWorkers);
    mPlatform.Send(settings_changed{ mSettings });
    mPlatform.Send(freshness_changed{ true, {} });
    mPlatform.Send(epoch_gained{ 1 });
    mPlatform.Send(restored{ {}, mPlatform.Listings() });
  }

  void Submit(const job_spec& aSpec) { mPlatform.Send(job_submitted{ ++mRequests, aSpec }); }
  void RunFor(duration aTime) { mPlatform.RunFor(aTime); }
  job_phase PhaseOf(const std::string& aJob) { return mPlatform.Core().Find(aJob)->mPhase; }
  job_state StateOf(const std::string& aJob) { return mPlatform.Core().Find(aJob)->mRecord.mState; }
  wait_reason WaitOf(const std::string& aJob) { return mPlatform.Core().Explain(aJob)->mWait; }

  template<class Action>
  std::vector<Action> All() const
  {
    std::vector<Action> found;
    for (const action& each : mActions) {
      if (const auto* typed = std::get_if<Action>(&each)) {
        found.push_back(*typed);
      }
    }
    return found;
  }
  submission_outcome LastAnswer() const { return All<answer_submission>().back().mOutcome; }

  settings_view mSettings;
  std::vector<worker_info> mWorkers;
  fake_platform mPlatform;
  std::vector<action> mActions;
  std::uint64_t mRequests = 0;
};

std::size_t FirstOf(const std::vector<action>& aActions, const auto& aMatches)
{
  return static_cast<std::size_t>(std::ranges::find_if(aActions, aMatches) - aActions.begin());
}

} // namespace

BW_STORY("a gang job")
{
  acting_platform system(2);
  system.Submit(Job("j", 2));
  BW_SECTION("is accepted only once its record is stored")
  {
    BW_CHECK(system.All<answer_submission>().empty());
    system.RunFor(milliseconds(10));
    BW_CHECK(system.LastAnswer() == submission_outcome::kAccepted);
    BW_CHECK(system.mPlatform.Store().contains("j"));
  }
  BW_SECTION("reserves all members, records the attempt, then starts all")
  {
    system.RunFor(seconds(1));
    const std::size_t record = FirstOf(system.mActions, [](const action& aAction) {
      const auto* write = std::get_if<record_job>(&aAction);
      return write != nullptr && write->mRecord.mState == job_state::kAttempted;
    });
    const std::size_t start = FirstOf(system.mActions, [](const action& aAction) {
      return std::holds_alternative<start_lease>(aAction);
    });
    BW_EQUAL(std::size_t{ 2 }, system.All<reserve_lease>().size());
    BW_CHECK(record < start);
    BW_CHECK(start < system.mActions.size());
    BW_CHECK(system.PhaseOf("j") == job_phase::kRunning);
    BW_SECTION("and ends when all members have")
    {
      system.RunFor(seconds(11));
      BW_CHECK(system.StateOf("j") == job_state::kFinished);
      BW_CHECK(system.mPlatform.Store()["j"].mRecord.mState == job_state::kFinished);
      BW_CHECK(system.mPlatform.Workers()["w0"].mLeases.empty());
    }
    BW_SECTION("and stops whole when one worker is lost, then runs again")
    {
      system.mPlatform.Workers()["w1"].mAlive = false;
      system.mPlatform.Send(worker_lost{ "w1" });
      system.RunFor(seconds(1));
      BW_CHECK(system.mPlatform.Holding(system.mPlatform.Workers()["w0"]).empty());
      system.mPlatform.Workers()["w1"].mAlive = true;
      system.mPlatform.Send(worker_found{ "w1" });
      system.RunFor(seconds(40));
      BW_CHECK(system.StateOf("j") == job_state::kFinished);
    }
    BW_SECTION("and leaves nothing behind when it is cancelled, also twice")
    {
      system.mPlatform.Send(job_cancelled{ "j" });
      system.mPlatform.Send(job_cancelled{ "j" });
      system.RunFor(seconds(1));
      BW_CHECK(system.StateOf("j") == job_state::kCancelled);
      BW_CHECK(system.mPlatform.Store()["j"].mRecord.mState == job_state::kCancelled);
      BW_CHECK(system.mPlatform.Workers()["w0"].mLeases.empty());
    }
  }
  BW_SECTION("sent again gets the same answer, and another job under its id a conflict")
  {
    system.RunFor(milliseconds(10));
    system.Submit(Job("j", 2));
    BW_CHECK(system.LastAnswer() == submission_outcome::kAccepted);
    system.Submit(Job("j", 1));
    BW_CHECK(system.LastAnswer() == submission_outcome::kConflict);
  }
  BW_SECTION("that no empty cluster could hold is refused with the reason")
  {
    system.Submit(Job("k", 3));
    BW_CHECK(system.LastAnswer() == submission_outcome::kImpossible);
    job_spec wide = Job("m", 2);
    wide.mAdjacency = adjacency::kWorker;
    system.Submit(wide);
    BW_CHECK(system.LastAnswer() == submission_outcome::kImpossible);
  }
  BW_SECTION("that is wrong is refused with all findings")
  {
    job_spec wrong = Job("k", 0);
    wrong.mOrganisation = "nobody";
    system.Submit(wrong);
    BW_CHECK(system.LastAnswer() == submission_outcome::kInvalid);
    BW_EQUAL(std::size_t{ 2 }, system.All<answer_submission>().back().mFindings.size());
  }
}

BW_STORY("a claim inside a guarantee on a full cluster")
{
  acting_platform system(2, 1, 2);
  system.Submit(Job("borrower", 2));
  system.RunFor(seconds(2));
  BW_CHECK(system.PhaseOf("borrower") == job_phase::kRunning);
  job_spec claim = Job("claim", 1);
  claim.mOrganisation = "owner";
  claim.mGuaranteed = true;
  BW_SECTION("evicts by checkpoint and runs; explain names what was evicted")
  {
    system.Submit(claim);
    system.RunFor(seconds(2));
    BW_CHECK(system.PhaseOf("claim") == job_phase::kRunning);
    const job_explanation why = *system.mPlatform.Core().Explain("claim");
    BW_EQUAL(std::vector<std::string>{ "borrower" }, why.mEvicted);
    BW_EQUAL(std::string("owner/g/0"), why.mCell);
    BW_CHECK(system.All<stop_lease>().front().mCheckpointBound > milliseconds(0));
    BW_SECTION("and the evicted job goes on from where it was saved")
    {
      BW_CHECK(system.mPlatform.Core().Find("borrower")->mRecord.mProgress >= seconds(1));
      system.RunFor(seconds(30));
      BW_CHECK(system.StateOf("borrower") == job_state::kFinished);
    }
  }
  BW_SECTION("is accepted in memory while the store is away, and stored later")
  {
    system.mPlatform.SetStoreUp(false);
    system.Submit(Job("plain", 1));
    BW_CHECK(system.LastAnswer() == submission_outcome::kNotRun);
    system.Submit(claim);
    BW_CHECK(system.LastAnswer() == submission_outcome::kInMemory);
    system.RunFor(seconds(2));
    BW_CHECK(system.PhaseOf("claim") == job_phase::kRunning);
    BW_CHECK(!system.mPlatform.Store().contains("claim"));
    system.mPlatform.SetStoreUp(true);
    system.RunFor(seconds(2));
    BW_CHECK(system.mPlatform.Store().contains("claim"));
  }
}

BW_STORY("a job that is not repeatable")
{
  acting_platform system(2, 0, 2);
  job_spec once = Job("once", 1);
  once.mRepeatable = false;
  BW_SECTION("waits while the store is away, and says so")
  {
    system.mPlatform.Faults().mLoseCall = 0;
    system.Submit(once);
    system.RunFor(milliseconds(1));
    system.mPlatform.SetStoreUp(false);
    system.RunFor(seconds(5));
    BW_CHECK(system.All<start_lease>().empty());
    BW_CHECK(system.WaitOf("once") == wait_reason::kStoreAway);
    system.mPlatform.SetStoreUp(true);
    system.RunFor(seconds(20));
    BW_CHECK(system.StateOf("once") == job_state::kFinished);
  }
  BW_SECTION("whose worker is lost is reported unknown and never run again")
  {
    system.Submit(once);
    system.RunFor(seconds(2));
    const std::string worker = system.mPlatform.Core().Explain("once")->mPlacements[0].mWorker;
    system.mPlatform.Workers()[worker].mReachable = false;
    system.mPlatform.Send(worker_lost{ worker });
    system.RunFor(seconds(40));
    BW_CHECK(system.StateOf("once") == job_state::kUnknown);
    BW_EQUAL(std::size_t{ 1 }, system.All<start_lease>().size());
  }
}

BW_STORY("a failure domain that is withdrawn")
{
  acting_platform system(2, 0, 2);
  system.Submit(Job("j", 1));
  system.RunFor(seconds(2));
  const std::string worker = system.mPlatform.Core().Explain("j")->mPlacements[0].mWorker;
  const std::string domain = system.mPlatform.Workers()[worker].mInfo.mDomain;
  system.mSettings.mRevision = 2;
  system.mSettings.mDomains[domain] = { domain, true, "maintenance" };
  system.mPlatform.Send(settings_changed{ system.mSettings });
  BW_SECTION("has its work saved and moved")
  {
    system.RunFor(seconds(2));
    BW_CHECK(system.mPlatform.Core().Explain("j")->mPlacements[0].mWorker != worker);
    BW_CHECK(system.mPlatform.Core().Find("j")->mRecord.mProgress >= seconds(1));
  }
  BW_SECTION("makes a gang wait that fits only with it, without blocking others")
  {
    system.Submit(Job("wide", 2));
    system.RunFor(seconds(5));
    BW_CHECK(system.WaitOf("wide") == wait_reason::kDomainOut);
    system.RunFor(seconds(20));
    BW_CHECK(system.StateOf("j") == job_state::kFinished);
    system.mSettings.mRevision = 3;
    system.mSettings.mDomains[domain].mWithdrawn = false;
    system.mPlatform.Send(settings_changed{ system.mSettings });
    system.RunFor(seconds(20));
    BW_CHECK(system.StateOf("wide") == job_state::kFinished);
  }
  BW_SECTION("does not come back by older settings")
  {
    settings_view old = system.mSettings;
    old.mRevision = 1;
    old.mDomains.clear();
    system.mPlatform.Send(settings_changed{ old });
    BW_EQUAL(1, system.mPlatform.Core().Status().mWorkersOut);
  }
}

BW_STORY("what a job waits for")
{
  acting_platform system(3);
  BW_SECTION("is its team's quota")
  {
    job_spec spec = Job("a", 2);
    spec.mTeam = "team";
    system.Submit(spec);
    spec.mId = "b";
    spec.mMembers = 1;
    system.Submit(spec);
    system.RunFor(seconds(3));
    BW_CHECK(system.WaitOf("b") == wait_reason::kQuota);
  }
  BW_SECTION("is a confirmed view of the settings")
  {
    system.mPlatform.Send(freshness_changed{ false, "no peer confirms" });
    system.Submit(Job("a", 1));
    system.RunFor(seconds(3));
    BW_CHECK(system.All<reserve_lease>().empty());
    BW_CHECK(system.WaitOf("a") == wait_reason::kNotFresh);
    BW_EQUAL(std::string("no peer confirms"), system.mPlatform.Core().Explain("a")->mDetail);
  }
  BW_SECTION("is capacity, unless it is urgent")
  {
    system.Submit(Job("full", 3));
    system.RunFor(seconds(3));
    system.Submit(Job("late", 1));
    system.RunFor(seconds(1));
    BW_CHECK(system.WaitOf("late") == wait_reason::kNoCapacity);
    job_spec urgent = Job("urgent", 1);
    urgent.mUrgent = true;
    system.Submit(urgent);
    system.RunFor(seconds(1));
    BW_CHECK(system.PhaseOf("urgent") == job_phase::kRunning);
  }
}

BW_STORY("a worker that fails everything it starts")
{
  acting_platform system(12);
  system.mPlatform.Workers()["w0"].mFailsAll = true;
  for (int i = 0; i < 40; ++i) {
    system.Submit(Job("j" + std::to_string(i), 1));
  }
  system.RunFor(seconds(120));
  BW_SECTION("is quarantined, and no job suffers for good")
  {
    const auto notes = system.All<decision_note>();
    BW_CHECK(std::ranges::any_of(notes, [](const decision_note& aNote) {
      return aNote.mKind == decision_kind::kWorkerQuarantined && aNote.mWorker == "w0";
    }));
    for (int i = 0; i < 40; ++i) {
      BW_CHECK(system.StateOf("j" + std::to_string(i)) == job_state::kFinished);
    }
  }
  BW_SECTION("gets one task to show that it is well again")
  {
    system.mPlatform.Workers()["w0"].mFailsAll = false;
    system.RunFor(seconds(120));
    system.Submit(Job("probe", 1));
    system.RunFor(seconds(20));
    BW_CHECK(system.StateOf("probe") == job_state::kFinished);
    BW_EQUAL(0, system.mPlatform.Core().Status().mQuarantined);
  }
}

BW_STORY("a job that fails on several healthy workers is failed itself")
{
  acting_platform system(6);
  system.mPlatform.SetRuns(
    [](const std::string& aJob) { return fakes::true_run{ seconds(1), aJob == "bad" }; });
  system.Submit(Job("bad", 1));
  system.RunFor(seconds(60));
  BW_CHECK(system.StateOf("bad") == job_state::kFailed);
  BW_EQUAL(0, system.mPlatform.Core().Status().mQuarantined);
}

BW_STORY("a successor takes over")
{
  acting_platform system(2);
  system.Submit(Job("j", 2));
  system.RunFor(seconds(2));
  BW_SECTION("what runs goes on")
  {
    system.mPlatform.Restart(2, system.mSettings, system.mWorkers);
    BW_CHECK(system.PhaseOf("j") == job_phase::kRunning);
    system.RunFor(seconds(15));
    BW_CHECK(system.StateOf("j") == job_state::kFinished);
    BW_EQUAL(std::size_t{ 2 }, system.All<start_lease>().size());
  }
  BW_SECTION("a gang with one member gone is stopped and run again")
  {
    system.mPlatform.Workers()["w1"].mLeases.clear();
    system.mPlatform.Restart(2, system.mSettings, system.mWorkers);
    system.RunFor(milliseconds(50));
    BW_CHECK(system.mPlatform.Holding(system.mPlatform.Workers()["w0"]).empty());
    system.RunFor(seconds(30));
    BW_CHECK(system.StateOf("j") == job_state::kFinished);
  }
  BW_SECTION("a lease without a record is stopped")
  {
    system.mPlatform.Store().clear();
    system.mPlatform.Restart(2, system.mSettings, system.mWorkers);
    system.RunFor(milliseconds(50));
    BW_CHECK(system.mPlatform.Holding(system.mPlatform.Workers()["w0"]).empty());
    BW_CHECK(!system.mPlatform.Core().Find("j"));
  }
}

BW_STORY("a predecessor writes a record after its successor has read it")
{
  acting_platform system(2);
  job_spec spec = Job("j", 2);
  // Its domain is out, so the successor finds it queued and does not write before the other does.
  system.mSettings.mDomains["d0"] = { "d0", true, "" };
  system.mPlatform.Send(settings_changed{ system.mSettings });
  job_state expected = job_state::kFinished;
  bool cancels = false;
  BW_SECTION("with an attempt that can no longer start: the job is attempted again") {}
  BW_SECTION("with an attempt that may have started: what must not be repeated is unknown")
  {
    spec.mRepeatable = false;
    expected = job_state::kUnknown;
  }
  BW_SECTION("and a cancellation that comes then stands")
  {
    cancels = true;
    expected = job_state::kCancelled;
  }
  system.Submit(spec);
  system.RunFor(seconds(1));
  system.mPlatform.Restart(2, system.mSettings, system.mWorkers);
  restored_record& stored = system.mPlatform.Store()["j"];
  stored.mRecord.mState = job_state::kAttempted;
  stored.mRecord.mAttempt = 1;
  stored.mRecord.mEpoch = 1;
  stored.mRecord.mChange = "1-late";
  stored.mRecord.mPlacements = { { 0, "w0", "late-0" }, { 1, "w1", "late-1" } };
  ++stored.mRevision;
  if (cancels) {
    system.mPlatform.Send(job_cancelled{ "j" });
    system.RunFor(seconds(1));
  }
  system.mSettings.mDomains["d0"].mWithdrawn = false;
  system.mPlatform.Send(settings_changed{ system.mSettings });
  system.RunFor(seconds(40));
  BW_CHECK(system.mPlatform.Core().Find("j").has_value());
  BW_CHECK(system.StateOf("j") == expected);
  BW_CHECK(system.mPlatform.Store()["j"].mRecord.mState == expected);
}

namespace {

// A job of one member that must not be repeated, up to its first start, driven event by event.
struct lone_start
{
  lone_start()
  {
    Send(workers_changed{ Workers(1, 1) });
    Send(settings_changed{ Settings(0) });
    Send(freshness_changed{ true, {} });
    Send(epoch_gained{ 1 });
    Send(restored{ {}, { { "w0", {} } } });
    job_spec spec = Job("j", 1);
    spec.mRepeatable = false;
    Send(job_submitted{ 1, spec });
  }

  // Records are stored and reservations granted at once.
  void Send(const event& aEvent)
  {
    mNow += milliseconds(1);
    for (const action& each : mCore.Handle(aEvent, mNow)) {
      if (const auto* record = std::get_if<record_job>(&each)) {
        Send(record_finished{ "j", record->mRecord.mChange, record_outcome::kOk, ++mRevision, {} });
      } else if (const auto* reserve = std::get_if<reserve_lease>(&each)) {
        Send(reserve_finished{ reserve->mMember, call_outcome::kOk, "lease", {} });
      } else if (const auto* start = std::get_if<start_lease>(&each)) {
        ++mStarts;
        mMember = start->mMember;
      }
    }
  }

  job_state State() const { return mCore.Find("j")->mRecord.mState; }

  job_core mCore;
  instant mNow{};
  store_revision mRevision = 0;
  int mStarts = 0;
  member_id mMember;
};

} // namespace

BW_STORY("a start that is refused")
{
  lone_start job;
  job.Send(tick{});
  BW_EQUAL(1, job.mStarts);
  BW_SECTION("at the first time did not happen: the job waits for its next attempt")
  {
    job.Send(start_finished{ job.mMember, call_outcome::kRefused });
    BW_CHECK(job.State() == job_state::kQueued);
  }
  BW_SECTION("after one without an answer tells nothing of that one: the fate is unknown")
  {
    job.Send(start_finished{ job.mMember, call_outcome::kUnknown });
    BW_EQUAL(2, job.mStarts);
    job.Send(start_finished{ job.mMember, call_outcome::kRefused });
    BW_CHECK(job.State() == job_state::kUnknown);
  }
}
