#include "briarwind/job_core.h"

#include "briarwind/testing.h"
#include "libjobs/testing/fake_platform.h"

#include <ranges>

using namespace briarwind;
using fakes::fake_platform;

namespace {

constexpr resource_shape kWorkerShape{ 8, 128, 262144 };
constexpr resource_shape kMemberShape{ 8, 64, 65536 };

std::vector<worker_info> MakeWorkers(int aCount, int aDomains)
{
  std::vector<worker_info> workers;
  for (int i = 0; i < aCount; ++i) {
    workers.push_back({ "w" + std::to_string(i), "d" + std::to_string(i % aDomains), "r0", "a",
                        kWorkerShape, false });
  }
  return workers;
}

settings_view MakeSettings(int aGuaranteed)
{
  settings_view settings;
  settings.mRevision = 1;
  organisation_settings& owner = settings.mOrganisations["owner"];
  owner.mName = "owner";
  if (aGuaranteed > 0) {
    owner.mGuarantees.push_back({ "g", aGuaranteed, 1, kMemberShape, adjacency::kNone });
  }
  settings.mOrganisations["other"].mName = "other";
  settings.mTeams["team"] = { "team", "other", 16, {} };
  return settings;
}

job_spec MakeJob(const std::string& aId, int aMembers)
{
  job_spec spec;
  spec.mId = aId;
  spec.mOrganisation = "other";
  spec.mMembers = aMembers;
  spec.mShape = kMemberShape;
  spec.mExpected = seconds(10);
  spec.mRepeatable = true;
  spec.mCheckpoints = true;
  return spec;
}

/// A simulated platform whose core leads the queue, with a log of its actions.
struct leader_fixture
{
  explicit leader_fixture(int aWorkers, int aGuaranteed = 0, int aDomains = 1)
    : mSettings(MakeSettings(aGuaranteed))
    , mWorkers(MakeWorkers(aWorkers, aDomains))
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
  std::vector<Action> ActionsOf() const
  {
    std::vector<Action> found;
    for (const action& each : mActions) {
      if (const auto* typed = std::get_if<Action>(&each)) {
        found.push_back(*typed);
      }
    }
    return found;
  }
  submission_outcome LastAnswer() const { return ActionsOf<answer_submission>().back().mOutcome; }

  settings_view mSettings;
  std::vector<worker_info> mWorkers;
  fake_platform mPlatform;
  std::vector<action> mActions;
  std::uint64_t mRequests = 0;
};

std::size_t IndexOfFirst(const std::vector<action>& aActions, const auto& aMatches)
{
  return static_cast<std::size_t>(std::ranges::find_if(aActions, aMatches) - aActions.begin());
}

} // namespace

// A gang that starts before its attempt is recorded, or that runs in part, would be lost or started
// twice by the next leader.
BW_STORY("a gang is recorded, started and stopped as a whole")
{
  leader_fixture system(2);
  system.Submit(MakeJob("j", 2));
  BW_SECTION("a submission is accepted only after its record is stored")
  {
    BW_CHECK(system.ActionsOf<answer_submission>().empty());
    system.RunFor(milliseconds(10));
    BW_CHECK(system.LastAnswer() == submission_outcome::kAccepted);
    BW_CHECK(system.mPlatform.Store().contains("j"));
  }
  BW_SECTION("all members are reserved and the attempt is recorded before any member starts")
  {
    system.RunFor(seconds(1));
    const std::size_t record = IndexOfFirst(system.mActions, [](const action& aAction) {
      const auto* write = std::get_if<record_job>(&aAction);
      return write != nullptr && write->mRecord.mState == job_state::kAttempted;
    });
    const std::size_t start = IndexOfFirst(system.mActions, [](const action& aAction) {
      return std::holds_alternative<start_lease>(aAction);
    });
    BW_EQUAL(std::size_t{ 2 }, system.ActionsOf<reserve_lease>().size());
    BW_CHECK(record < start);
    BW_CHECK(start < system.mActions.size());
    BW_CHECK(system.PhaseOf("j") == job_phase::kRunning);
    BW_SECTION("the job finishes when all members have finished")
    {
      system.RunFor(seconds(11));
      BW_CHECK(system.StateOf("j") == job_state::kFinished);
      BW_CHECK(system.mPlatform.Store()["j"].mRecord.mState == job_state::kFinished);
      BW_CHECK(system.mPlatform.Workers()["w0"].mLeases.empty());
    }
    BW_SECTION("the loss of one worker stops the whole gang, which then runs again")
    {
      system.mPlatform.Workers()["w1"].mAlive = false;
      system.mPlatform.Send(worker_lost{ "w1" });
      system.RunFor(seconds(1));
      BW_CHECK(system.mPlatform.HeldLeases(system.mPlatform.Workers()["w0"]).empty());
      system.mPlatform.Workers()["w1"].mAlive = true;
      system.mPlatform.Send(worker_recovered{ "w1" });
      system.RunFor(seconds(40));
      BW_CHECK(system.StateOf("j") == job_state::kFinished);
    }
    BW_SECTION("a cancellation, also a repeated one, leaves no lease behind")
    {
      system.mPlatform.Send(job_cancelled{ "j" });
      system.mPlatform.Send(job_cancelled{ "j" });
      system.RunFor(seconds(1));
      BW_CHECK(system.StateOf("j") == job_state::kCancelled);
      BW_CHECK(system.mPlatform.Store()["j"].mRecord.mState == job_state::kCancelled);
      BW_CHECK(system.mPlatform.Workers()["w0"].mLeases.empty());
    }
  }
  BW_SECTION(
    "a resubmission gets the same answer, and another specification with that id a conflict")
  {
    system.RunFor(milliseconds(10));
    system.Submit(MakeJob("j", 2));
    BW_CHECK(system.LastAnswer() == submission_outcome::kAccepted);
    system.Submit(MakeJob("j", 1));
    BW_CHECK(system.LastAnswer() == submission_outcome::kConflict);
  }
  BW_SECTION("a job that would not fit on the empty cluster is refused as impossible")
  {
    system.Submit(MakeJob("k", 3));
    BW_CHECK(system.LastAnswer() == submission_outcome::kImpossible);
    job_spec wide = MakeJob("m", 2);
    wide.mAdjacency = adjacency::kWorker;
    system.Submit(wide);
    BW_CHECK(system.LastAnswer() == submission_outcome::kImpossible);
  }
  BW_SECTION("an invalid job is refused with all findings")
  {
    job_spec wrong = MakeJob("k", 0);
    wrong.mOrganisation = "nobody";
    system.Submit(wrong);
    BW_CHECK(system.LastAnswer() == submission_outcome::kInvalid);
    BW_EQUAL(std::size_t{ 2 }, system.ActionsOf<answer_submission>().back().mFindings.size());
  }
}

// A guarantee is worthless if its capacity cannot be reclaimed from other jobs, also while the
// store is unreachable.
BW_STORY("a claim gets its guaranteed capacity on a full cluster")
{
  leader_fixture system(2, 1, 2);
  system.Submit(MakeJob("borrower", 2));
  system.RunFor(seconds(2));
  BW_CHECK(system.PhaseOf("borrower") == job_phase::kRunning);
  job_spec claim = MakeJob("claim", 1);
  claim.mOrganisation = "owner";
  claim.mGuaranteed = true;
  BW_SECTION("the claim evicts a job with a checkpoint, and its explanation names the evicted job")
  {
    system.Submit(claim);
    system.RunFor(seconds(2));
    BW_CHECK(system.PhaseOf("claim") == job_phase::kRunning);
    const job_explanation why = *system.mPlatform.Core().Explain("claim");
    BW_EQUAL(std::vector<std::string>{ "borrower" }, why.mEvicted);
    BW_EQUAL(std::string("owner/g/0"), why.mCell);
    BW_CHECK(system.ActionsOf<stop_lease>().front().mCheckpointBound > milliseconds(0));
    BW_SECTION("the evicted job resumes from its checkpoint")
    {
      BW_CHECK(system.mPlatform.Core().Find("borrower")->mRecord.mProgress >= seconds(1));
      system.RunFor(seconds(30));
      BW_CHECK(system.StateOf("borrower") == job_state::kFinished);
    }
  }
  BW_SECTION("the claim is accepted in memory while the store is unreachable, and stored later")
  {
    system.mPlatform.SetStoreUp(false);
    system.Submit(MakeJob("plain", 1));
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

// Without a recorded attempt, or after the loss of its worker, a second start would repeat work
// that must not be repeated.
BW_STORY("a job that is not repeatable is started at most once")
{
  leader_fixture system(2, 0, 2);
  job_spec once = MakeJob("once", 1);
  once.mRepeatable = false;
  BW_SECTION("the job waits while the store is unreachable, with the matching wait reason")
  {
    system.mPlatform.Faults().mLoseCall = 0;
    system.Submit(once);
    system.RunFor(milliseconds(1));
    system.mPlatform.SetStoreUp(false);
    system.RunFor(seconds(5));
    BW_CHECK(system.ActionsOf<start_lease>().empty());
    BW_CHECK(system.WaitOf("once") == wait_reason::kStoreAway);
    system.mPlatform.SetStoreUp(true);
    system.RunFor(seconds(20));
    BW_CHECK(system.StateOf("once") == job_state::kFinished);
  }
  BW_SECTION("the job becomes unknown after the loss of its worker and is never started again")
  {
    system.Submit(once);
    system.RunFor(seconds(2));
    const std::string worker = system.mPlatform.Core().Explain("once")->mPlacements[0].mWorker;
    system.mPlatform.Workers()[worker].mReachable = false;
    system.mPlatform.Send(worker_lost{ worker });
    system.RunFor(seconds(40));
    BW_CHECK(system.StateOf("once") == job_state::kUnknown);
    BW_EQUAL(std::size_t{ 1 }, system.ActionsOf<start_lease>().size());
  }
}

// Jobs left in a withdrawn domain would be killed by the maintenance, and an event that arrives out
// of order could put the domain back into service.
BW_STORY("a withdrawn failure domain is emptied and takes no jobs")
{
  leader_fixture system(2, 0, 2);
  system.Submit(MakeJob("j", 1));
  system.RunFor(seconds(2));
  const std::string worker = system.mPlatform.Core().Explain("j")->mPlacements[0].mWorker;
  const std::string domain = system.mPlatform.Workers()[worker].mInfo.mDomain;
  system.mSettings.mRevision = 2;
  system.mSettings.mDomains[domain] = { domain, true, "maintenance" };
  system.mPlatform.Send(settings_changed{ system.mSettings });
  BW_SECTION("a job in the domain is checkpointed and moved")
  {
    system.RunFor(seconds(2));
    BW_CHECK(system.mPlatform.Core().Explain("j")->mPlacements[0].mWorker != worker);
    BW_CHECK(system.mPlatform.Core().Find("j")->mRecord.mProgress >= seconds(1));
  }
  BW_SECTION("a gang that fits only with the domain waits without blocking other jobs")
  {
    system.Submit(MakeJob("wide", 2));
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
  BW_SECTION("an older revision of the settings does not end the withdrawal")
  {
    settings_view old = system.mSettings;
    old.mRevision = 1;
    old.mDomains.clear();
    system.mPlatform.Send(settings_changed{ old });
    BW_EQUAL(1, system.mPlatform.Core().Status().mWorkersOut);
  }
}

// Users cannot act on a waiting job whose wait reason is missing or wrong.
BW_STORY("the wait reason says why a job is not placed")
{
  leader_fixture system(3);
  BW_SECTION("a job waits for the quota of its team")
  {
    job_spec spec = MakeJob("a", 2);
    spec.mTeam = "team";
    system.Submit(spec);
    spec.mId = "b";
    spec.mMembers = 1;
    system.Submit(spec);
    system.RunFor(seconds(3));
    BW_CHECK(system.WaitOf("b") == wait_reason::kQuota);
  }
  BW_SECTION("a job waits for a confirmed view of the settings")
  {
    system.mPlatform.Send(freshness_changed{ false, "no peer confirms" });
    system.Submit(MakeJob("a", 1));
    system.RunFor(seconds(3));
    BW_CHECK(system.ActionsOf<reserve_lease>().empty());
    BW_CHECK(system.WaitOf("a") == wait_reason::kNotFresh);
    BW_EQUAL(std::string("no peer confirms"), system.mPlatform.Core().Explain("a")->mDetail);
  }
  BW_SECTION("a job waits for capacity unless it is urgent")
  {
    system.Submit(MakeJob("full", 3));
    system.RunFor(seconds(3));
    system.Submit(MakeJob("late", 1));
    system.RunFor(seconds(1));
    BW_CHECK(system.WaitOf("late") == wait_reason::kNoCapacity);
    job_spec urgent = MakeJob("urgent", 1);
    urgent.mUrgent = true;
    system.Submit(urgent);
    system.RunFor(seconds(1));
    BW_CHECK(system.PhaseOf("urgent") == job_phase::kRunning);
  }
}

// A broken worker is always free, so it would attract and fail job after job.
BW_STORY("a worker on which every task fails is quarantined until a probe succeeds")
{
  leader_fixture system(12);
  system.mPlatform.Workers()["w0"].mFailsAll = true;
  for (int i = 0; i < 40; ++i) {
    system.Submit(MakeJob("j" + std::to_string(i), 1));
  }
  system.RunFor(seconds(120));
  BW_SECTION("the worker is quarantined and every job finishes")
  {
    const auto notes = system.ActionsOf<decision_note>();
    BW_CHECK(std::ranges::any_of(notes, [](const decision_note& aNote) {
      return aNote.mKind == decision_kind::kWorkerQuarantined && aNote.mWorker == "w0";
    }));
    for (int i = 0; i < 40; ++i) {
      BW_CHECK(system.StateOf("j" + std::to_string(i)) == job_state::kFinished);
    }
  }
  BW_SECTION("the worker leaves quarantine after it is repaired")
  {
    system.mPlatform.Workers()["w0"].mFailsAll = false;
    system.RunFor(seconds(120));
    system.Submit(MakeJob("probe", 1));
    system.RunFor(seconds(20));
    BW_CHECK(system.StateOf("probe") == job_state::kFinished);
    BW_EQUAL(0, system.mPlatform.Core().Status().mQuarantined);
  }
}

// A job that always fails would otherwise be retried forever and put its workers into quarantine.
BW_STORY("a job that fails on several healthy workers is failed, and no worker is quarantined")
{
  leader_fixture system(6);
  system.mPlatform.SetRuns(
    [](const std::string& aJob) { return fakes::true_run{ seconds(1), aJob == "bad" }; });
  system.Submit(MakeJob("bad", 1));
  system.RunFor(seconds(60));
  BW_CHECK(system.StateOf("bad") == job_state::kFailed);
  BW_EQUAL(0, system.mPlatform.Core().Status().mQuarantined);
}

// A new leader has only the stored records and the leases that the workers list. It must not start
// a running job again, and must not leave a lease without a job.
BW_STORY("a new leader takes over running jobs")
{
  leader_fixture system(2);
  system.Submit(MakeJob("j", 2));
  system.RunFor(seconds(2));
  BW_SECTION("a running gang keeps running and is not started again")
  {
    system.mPlatform.Restart(2, system.mSettings, system.mWorkers);
    BW_CHECK(system.PhaseOf("j") == job_phase::kRunning);
    system.RunFor(seconds(15));
    BW_CHECK(system.StateOf("j") == job_state::kFinished);
    BW_EQUAL(std::size_t{ 2 }, system.ActionsOf<start_lease>().size());
  }
  BW_SECTION("a gang that has lost a member is stopped and runs again")
  {
    system.mPlatform.Workers()["w1"].mLeases.clear();
    system.mPlatform.Restart(2, system.mSettings, system.mWorkers);
    system.RunFor(milliseconds(50));
    BW_CHECK(system.mPlatform.HeldLeases(system.mPlatform.Workers()["w0"]).empty());
    system.RunFor(seconds(30));
    BW_CHECK(system.StateOf("j") == job_state::kFinished);
  }
  BW_SECTION("a lease without a record is stopped")
  {
    system.mPlatform.Store().clear();
    system.mPlatform.Restart(2, system.mSettings, system.mWorkers);
    system.RunFor(milliseconds(50));
    BW_CHECK(system.mPlatform.HeldLeases(system.mPlatform.Workers()["w0"]).empty());
    BW_CHECK(!system.mPlatform.Core().Find("j"));
  }
}

// Guards against a second run of a job whose end the leader no longer has in memory: the stored
// record of its end must not be taken for an unconfirmed write of the new submission.
BW_STORY("a job is submitted again after its end was dropped from memory")
{
  leader_fixture system(2, 1);
  job_spec spec = MakeJob("j", 1);
  bool storeIsUp = true;
  BW_SECTION("the job may be repeated") {}
  BW_SECTION("the job may not be repeated")
  {
    spec.mRepeatable = false;
    BW_SECTION("and is submitted while the store is unreachable")
    {
      spec.mOrganisation = "owner";
      spec.mGuaranteed = true;
      storeIsUp = false;
    }
  }
  system.Submit(spec);
  system.RunFor(seconds(12));
  BW_CHECK(system.StateOf("j") == job_state::kFinished);
  system.RunFor(job_options{}.mEndedJobRetention);
  BW_CHECK(!system.mPlatform.Core().Find("j"));
  const std::size_t starts = system.ActionsOf<start_lease>().size();
  system.mPlatform.SetStoreUp(storeIsUp);
  system.Submit(spec);
  system.RunFor(seconds(2));
  system.mPlatform.SetStoreUp(true);
  system.RunFor(seconds(12));

  BW_CHECK(system.LastAnswer() ==
           (storeIsUp ? submission_outcome::kAccepted : submission_outcome::kInMemory));
  BW_EQUAL(starts, system.ActionsOf<start_lease>().size());
  BW_CHECK(system.StateOf("j") == job_state::kFinished);
  BW_CHECK(system.mPlatform.Store()["j"].mRecord.mState == job_state::kFinished);
  system.RunFor(job_options{}.mEndedJobRetention);
  BW_CHECK(!system.mPlatform.Core().Find("j"));
}

// The previous leader may still write a record after the new one has read the store. The write
// conflict shows only when the new leader writes the job itself.
BW_STORY("a new leader adopts a record that its predecessor wrote after the takeover")
{
  leader_fixture system(2);
  job_spec spec = MakeJob("j", 2);
  // The domain is withdrawn, so the new leader finds the job queued and does not write its record
  // before the predecessor does.
  system.mSettings.mDomains["d0"] = { "d0", true, "" };
  system.mPlatform.Send(settings_changed{ system.mSettings });
  job_state expected = job_state::kFinished;
  bool cancels = false;
  BW_SECTION("a repeatable job is attempted again") {}
  BW_SECTION("a job that is not repeatable becomes unknown, because the attempt may have started")
  {
    spec.mRepeatable = false;
    expected = job_state::kUnknown;
  }
  BW_SECTION("a cancellation after the takeover is kept")
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

// Drives the core event by event up to the first start of a non-repeatable job with one member.
struct single_start_fixture
{
  single_start_fixture()
  {
    Send(workers_changed{ MakeWorkers(1, 1) });
    Send(settings_changed{ MakeSettings(0) });
    Send(freshness_changed{ true, {} });
    Send(epoch_gained{ 1 });
    Send(restored{ {}, { { "w0", {} } } });
    job_spec spec = MakeJob("j", 1);
    spec.mRepeatable = false;
    Send(job_submitted{ 1, spec });
  }

  // Answers record writes and reservations at once, with success.
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

// A refusal proves only that the refused call did nothing. An earlier call without an answer may
// have started the task, so a new attempt could run the job twice.
BW_STORY("a refused start allows a new attempt only if no earlier start may have taken effect")
{
  single_start_fixture job;
  job.Send(tick{});
  BW_EQUAL(1, job.mStarts);
  BW_SECTION("the job is queued again after its first start is refused")
  {
    job.Send(start_finished{ job.mMember, call_outcome::kRefused });
    BW_CHECK(job.State() == job_state::kQueued);
  }
  BW_SECTION("the job becomes unknown when a start is refused after an unanswered one")
  {
    job.Send(start_finished{ job.mMember, call_outcome::kUnknown });
    BW_EQUAL(2, job.mStarts);
    job.Send(start_finished{ job.mMember, call_outcome::kRefused });
    BW_CHECK(job.State() == job_state::kUnknown);
  }
}
