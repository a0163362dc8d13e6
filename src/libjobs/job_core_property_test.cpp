#include "briarwind/guarantee_cells.h"
#include "briarwind/job_core.h"

#include "briarwind/testing.h"
#include "libjobs/testing/fake_platform.h"
#include "libjobs/testing/invariant_checker.h"

#include <rapidcheck.h>

#include <cstdio>
#include <cstdlib>

using namespace briarwind;
using namespace briarwind::fakes;

namespace {

enum class step_kind : std::uint8_t
{
  kSubmit,
  kCancel,
  kWithdraw,
  kLoseWorker,
  kLeave,
  kStore,
  kFresh,
  kRestart,
  kGuarantee,
  kFailAll,
  kRun,
};

struct step
{
  step_kind mKind = step_kind::kRun;
  int mChoice = 0;
};

std::ostream& operator<<(std::ostream& aOut, const step& aStep)
{
  return aOut << "{" << static_cast<int>(aStep.mKind) << "," << aStep.mChoice << "}";
}

/// Kinds of events that a scenario may contain besides repeatable jobs.
struct scenario_options
{
  bool mNonRepeatable = false; ///< some jobs are not repeatable
  bool mFailures = false;      ///< tasks and workers fail
  bool mLostCalls = false;     ///< calls are refused, and calls and answers are lost
  bool mRestarts = false;      ///< a new core takes over
  bool mGuarantees = false;    ///< guarantees change
};

// Minutes within which all jobs must end once there are no more faults.
constexpr int kMaxSettlingMinutes = 60;
constexpr int kAcceleratorsPerWorker = 4;

class scenario
{
public:
  scenario(const scenario_options& aOptions, std::uint64_t aSeed, int aDomains, int aPerDomain)
    : mOptions(aOptions)
    , mPlatform({}, aSeed)
    , mChecker(mPlatform, mSettings)
  {
    for (int i = 0; i < aDomains * aPerDomain; ++i) {
      const int domain = i % aDomains;
      mWorkers.push_back({ "w" + std::to_string(i),
                           "d" + std::to_string(domain),
                           "r" + std::to_string(i / aDomains / 2),
                           "a",
                           { kAcceleratorsPerWorker, 32, 65536 },
                           false });
    }
    mSettings.mRevision = 1;
    for (const char* name : { "owner", "second", "other" }) {
      mSettings.mOrganisations[name].mName = name;
    }
    mSettings.mTeams["team"] = { "team", "other", 6, {} };
    AddGuarantees(mPlatform.Random()());
    mChecker.CheckGuarantees(!aOptions.mFailures);
    if (aOptions.mLostCalls) {
      mPlatform.Faults() = { 0.03, 0.02, 0.02, milliseconds(1), milliseconds(300) };
    }
    mPlatform.SetRuns([this](const std::string& aJob) { return mRuns[aJob]; });
    mPlatform.SetObserver([this](const action& aAction) { Observe(aAction); });
    mPlatform.SetAfterEvent([this] { mChecker.CheckInvariants(); });
    mPlatform.SetWorkers(mWorkers);
    mPlatform.Send(settings_changed{ mSettings });
    mPlatform.Send(freshness_changed{ true, {} });
    mPlatform.Send(epoch_gained{ 1 });
    mPlatform.Send(restored{ {}, mPlatform.Listings() });
  }

  void Execute(const step& aStep)
  {
    static constexpr std::pair<step_kind, void (scenario::*)(int)> kSteps[] = {
      { step_kind::kSubmit, &scenario::Submit },
      { step_kind::kCancel, &scenario::Cancel },
      { step_kind::kWithdraw, &scenario::Withdraw },
      { step_kind::kLoseWorker, &scenario::LoseWorker },
      { step_kind::kLeave, &scenario::Leave },
      { step_kind::kStore, &scenario::Store },
      { step_kind::kFresh, &scenario::Fresh },
      { step_kind::kRestart, &scenario::Restart },
      { step_kind::kGuarantee, &scenario::Guarantee },
      { step_kind::kFailAll, &scenario::FailAll },
      { step_kind::kRun, &scenario::Run },
    };
    for (const auto& [kind, execute] : kSteps) {
      if (kind == aStep.mKind) {
        (this->*execute)(aStep.mChoice);
      }
    }
  }

  /// Ends all faults, runs until all jobs have ended and checks the final state.
  void RunToEnd()
  {
    mPlatform.Faults() = {};
    for (worker_info& each : mWorkers) {
      each.mLeaving = false;
      mPlatform.Workers()[each.mName].mFailsAll = false;
    }
    SetLost({});
    mPlatform.SetWorkers(mWorkers);
    for (auto& [name, domain] : mSettings.mDomains) {
      domain.mWithdrawn = false;
    }
    SendSettings();
    mPlatform.SetStoreUp(true);
    SetFresh(true);
    for (int i = 0; i < kMaxSettlingMinutes && !AllEnded(); ++i) {
      mPlatform.RunFor(minutes(1));
    }
    CheckEnds();
  }

  const std::vector<std::string>& Violations() const { return mChecker.Violations(); }
  std::uint64_t Events() const { return mPlatform.EventsHandled(); }
  std::uint64_t GuaranteesChecked() const { return mChecker.GuaranteesChecked(); }

private:
  void Submit(int aChoice)
  {
    static constexpr adjacency kAdjacencies[] = { adjacency::kNone, adjacency::kNone,
                                                  adjacency::kDomain, adjacency::kRack,
                                                  adjacency::kWorker };
    static constexpr const char* kOrganisations[] = { "owner", "second", "other" };
    const auto pick = [&](int aMost) {
      const int picked = aChoice % aMost;
      aChoice /= aMost;
      return picked;
    };
    job_spec spec;
    spec.mId = "j" + std::to_string(mRuns.size());
    spec.mOrganisation = kOrganisations[pick(3)];
    spec.mTeam = spec.mOrganisation == "other" ? "team" : "";
    spec.mMembers = 1 + pick(4);
    spec.mShape = { pick(5), 4, 1024 };
    spec.mAdjacency = kAdjacencies[pick(5)];
    spec.mGuaranteed = spec.mOrganisation != "other" && pick(2) == 0;
    spec.mUrgent = pick(6) == 0;
    spec.mRepeatable = !mOptions.mNonRepeatable || spec.mGuaranteed || pick(3) > 0;
    spec.mCheckpoints = pick(3) > 0;
    spec.mExpected = seconds(1 + pick(30));
    mRuns[spec.mId] = { seconds(1 + pick(40)), mOptions.mFailures && pick(10) == 0 };
    mChecker.AddSpec(spec);
    mPlatform.Send(job_submitted{ ++mRequests, spec });
    mRequestOf[mRequests] = spec;
  }

  void Cancel(int aChoice)
  {
    if (!mRuns.empty()) {
      const std::string job = "j" + std::to_string(aChoice % static_cast<int>(mRuns.size()));
      if (mPlatform.Core().Find(job)) {
        mCancelled.insert(job);
      }
      mPlatform.Send(job_cancelled{ job });
    }
  }

  // Withdrawals and worker faults affect only the first domain. Guarantees are checked against the
  // outage of one domain, so they can be met at any time.
  void Withdraw(int /*aChoice*/)
  {
    domain_settings& domain = mSettings.mDomains["d0"];
    domain.mName = "d0";
    domain.mWithdrawn = !domain.mWithdrawn;
    SendSettings();
  }

  std::vector<std::string> FaultyDomainWorkers() const
  {
    std::vector<std::string> names;
    for (const worker_info& each : mWorkers) {
      if (each.mDomain == "d0") {
        names.push_back(each.mName);
      }
    }
    return names;
  }

  void LoseWorker(int aChoice)
  {
    const std::vector<std::string> candidates = FaultyDomainWorkers();
    const std::string& name = candidates[static_cast<std::size_t>(aChoice) % candidates.size()];
    std::set<std::string> lost = mChecker.LostWorkers();
    if (lost.erase(name) == 0) {
      lost.insert(name);
    }
    SetLost(lost);
  }

  void SetLost(const std::set<std::string>& aLost)
  {
    for (const worker_info& each : mWorkers) {
      const bool now = aLost.contains(each.mName);
      const bool before = mChecker.LostWorkers().contains(each.mName);
      mPlatform.Workers()[each.mName].mReachable = !now;
      if (now && !before) {
        mChecker.LostWorkers().insert(each.mName);
        mPlatform.Send(worker_lost{ each.mName });
      } else if (!now && before) {
        mPlatform.Send(worker_recovered{ each.mName });
        mChecker.LostWorkers().erase(each.mName);
      }
    }
  }

  void Leave(int aChoice)
  {
    const std::vector<std::string> candidates = FaultyDomainWorkers();
    const std::string& name = candidates[static_cast<std::size_t>(aChoice) % candidates.size()];
    const auto found = std::ranges::find(mWorkers, name, &worker_info::mName);
    found->mLeaving = !found->mLeaving;
    mPlatform.SetWorkers(mWorkers);
  }

  void Store(int aChoice) { mPlatform.SetStoreUp(aChoice % 2 == 0); }
  void Fresh(int aChoice) { SetFresh(aChoice % 2 == 0); }

  void SetFresh(bool aFresh)
  {
    mChecker.SetFresh(aFresh);
    mPlatform.Send(freshness_changed{ aFresh, aFresh ? "" : "not confirmed" });
  }

  void Restart(int /*aChoice*/)
  {
    if (!mOptions.mRestarts) {
      return;
    }
    // A cancellation survives a restart only once it is stored.
    std::erase_if(mCancelled, [&](const std::string& aJob) {
      const std::optional<job_view> job = mPlatform.Core().Find(aJob);
      return !job || !job->mStored || !IsFinal(job->mRecord.mState);
    });
    mChecker.SetFresh(true);
    mPlatform.Restart(++mEpoch, mSettings, mWorkers);
    for (const std::string& each : mChecker.LostWorkers()) {
      mPlatform.Send(worker_lost{ each });
    }
  }

  void Guarantee(int aChoice)
  {
    if (mOptions.mGuarantees) {
      AddGuarantees(static_cast<std::uint64_t>(aChoice));
      SendSettings();
    }
  }

  void FailAll(int aChoice)
  {
    if (mOptions.mFailures) {
      const std::vector<std::string> candidates = FaultyDomainWorkers();
      fake_worker& worker =
        mPlatform.Workers()[candidates[static_cast<std::size_t>(aChoice) % candidates.size()]];
      worker.mFailsAll = !worker.mFailsAll;
    }
  }

  void Run(int aChoice) { mPlatform.RunFor(milliseconds(50 + aChoice % 6000)); }

  void SendSettings()
  {
    ++mSettings.mRevision;
    mPlatform.Send(settings_changed{ mSettings });
  }

  /// Draws random guarantees and keeps each one that can be met together with the earlier ones.
  void AddGuarantees(std::uint64_t aSeed)
  {
    static constexpr adjacency kAdjacencies[] = { adjacency::kNone, adjacency::kDomain,
                                                  adjacency::kRack, adjacency::kWorker };
    std::mt19937_64 random(aSeed);
    for (const char* name : { "owner", "second" }) {
      std::vector<guarantee>& promised = mSettings.mOrganisations[name].mGuarantees;
      promised.clear();
      for (int i = 0; i < 3; ++i) {
        guarantee drawn;
        drawn.mName = "g" + std::to_string(i);
        drawn.mCount = 1 + static_cast<int>(random() % 2);
        drawn.mMembers = 1 + static_cast<int>(random() % 3);
        drawn.mShape = { 1 + static_cast<int>(random() % kAcceleratorsPerWorker), 4, 1024 };
        drawn.mAdjacency = kAdjacencies[random() % 4];
        promised.push_back(drawn);
        if (HasErrors(briarwind::CheckGuarantees(mSettings, mWorkers))) {
          promised.pop_back();
        }
      }
    }
  }

  /// Whether the job may still wait at the end. Non-repeatable jobs avoid all room that guarantee
  /// cells may need, which can be the whole of a small cluster.
  bool MayStillWait(const job_view& aJob)
  {
    const wait_reason why = mPlatform.Core().Explain(aJob.mRecord.mSpec.mId)->mWait;
    return !aJob.mRecord.mSpec.mRepeatable &&
           (why == wait_reason::kNoCapacity || why == wait_reason::kNoAdjacency);
  }

  bool AllEnded()
  {
    return std::ranges::all_of(mPlatform.Core().Jobs(), [&](const job_view& aJob) {
      return aJob.mPhase == job_phase::kEnded || MayStillWait(aJob);
    });
  }

  void Observe(const action& aAction)
  {
    mChecker.OnAction(aAction);
    if (const auto* answer = std::get_if<answer_submission>(&aAction)) {
      if (answer->mOutcome == submission_outcome::kAccepted) {
        mAccepted.insert(answer->mJob);
      }
    }
  }

  void CheckEnds()
  {
    for (const std::string& each : mAccepted) {
      if (!mPlatform.Store().contains(each)) {
        mChecker.Report("accepted job " + each + " is not in the store");
      }
    }
    for (const job_view& each : mPlatform.Core().Jobs()) {
      const job_spec& spec = each.mRecord.mSpec;
      const wait_reason why = mPlatform.Core().Explain(spec.mId)->mWait;
      if (each.mPhase != job_phase::kEnded && !MayStillWait(each)) {
        mChecker.Report(fmt::format("job {} has not ended: phase {}, wait reason {}", spec.mId,
                                    ToString(each.mPhase), ToString(why)));
      }
      if (mCancelled.contains(spec.mId) && !IsFinal(each.mRecord.mState)) {
        mChecker.Report("job " + spec.mId + " was cancelled but is not in a final state");
      }
    }
    for (auto& [name, worker] : mPlatform.Workers()) {
      for (const fake_lease& lease : mPlatform.HeldLeases(worker)) {
        const std::optional<job_view> job = mPlatform.Core().Find(lease.mMember.mJob);
        if (!job || job->mPhase == job_phase::kEnded) {
          mChecker.Report("job " + lease.mMember.mJob + " has ended but still holds a lease");
        }
      }
    }
  }

  scenario_options mOptions;
  settings_view mSettings;
  std::vector<worker_info> mWorkers;
  fake_platform mPlatform;
  invariant_checker mChecker;
  std::map<std::string, true_run> mRuns;
  std::map<std::uint64_t, job_spec> mRequestOf;
  std::set<std::string> mAccepted;
  std::set<std::string> mCancelled;
  std::uint64_t mRequests = 0;
  epoch_number mEpoch = 1;
};

/// Totals over all cases of a property.
struct totals
{
  std::uint64_t mEvents = 0;
  std::uint64_t mGuaranteesChecked = 0;
};

bool CheckProperty(const std::string& aName, const scenario_options& aOptions)
{
  const auto kinds = rc::gen::weightedElement<step_kind>({ { 10, step_kind::kSubmit },
                                                           { 2, step_kind::kCancel },
                                                           { 2, step_kind::kWithdraw },
                                                           { 2, step_kind::kLoseWorker },
                                                           { 1, step_kind::kLeave },
                                                           { 1, step_kind::kStore },
                                                           { 1, step_kind::kFresh },
                                                           { 1, step_kind::kRestart },
                                                           { 1, step_kind::kGuarantee },
                                                           { 1, step_kind::kFailAll },
                                                           { 10, step_kind::kRun } });
  const auto steps = rc::gen::container<std::vector<step>>(rc::gen::build<step>(
    rc::gen::set(&step::mKind, kinds), rc::gen::set(&step::mChoice, rc::gen::inRange(0, 1 << 30))));
  totals total;
  const bool passed = rc::check(aName, [&] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const int domains = *rc::gen::inRange(2, 5);
    const int perDomain = *rc::gen::inRange(1, 5);
    const std::vector<step> taken = *rc::gen::scale(3.0, steps);
    scenario run(aOptions, seed, domains, perDomain);
    for (const step& each : taken) {
      run.Execute(each);
      if (!run.Violations().empty()) {
        RC_FAIL(run.Violations().front());
      }
    }
    run.RunToEnd();
    total.mEvents += run.Events();
    total.mGuaranteesChecked += run.GuaranteesChecked();
    if (!run.Violations().empty()) {
      RC_FAIL(run.Violations().front());
    }
  });
  std::fprintf(stderr, "%s: %llu events, guarantees checked %llu times\n", aName.c_str(),
               static_cast<unsigned long long>(total.mEvents),
               static_cast<unsigned long long>(total.mGuaranteesChecked));
  return passed;
}

} // namespace

// Random events against simulated workers. Guards against double starts, gangs that run in part,
// overcommitted workers, unmet guarantees, lost jobs and leaked leases that appear only under
// certain sequences of faults.
BW_STORY("the core keeps its invariants under random events and faults")
{
  BW_SECTION("the invariants hold for repeatable jobs while guarantees change")
  {
    scenario_options options;
    options.mGuarantees = true;
    BW_CHECK(CheckProperty("repeatable work", options));
  }
  BW_SECTION("the invariants hold for jobs that are not repeatable")
  {
    scenario_options options;
    options.mNonRepeatable = true;
    BW_CHECK(CheckProperty("work that may run only once", options));
  }
  BW_SECTION("the invariants hold when calls and answers are lost and new leaders take over")
  {
    scenario_options options;
    options.mNonRepeatable = true;
    options.mLostCalls = true;
    options.mRestarts = true;
    BW_CHECK(CheckProperty("lost answers and takeovers", options));
  }
  BW_SECTION("the invariants hold when workers and jobs fail")
  {
    scenario_options options;
    options.mFailures = true;
    options.mLostCalls = true;
    options.mRestarts = true;
    options.mGuarantees = true;
    BW_CHECK(CheckProperty("failing workers and jobs", options));
  }
}
