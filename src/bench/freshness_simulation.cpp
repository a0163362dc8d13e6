#include "bench/freshness_simulation.h"

#include "briarwind/freshness.h"

#include <array>
#include <string>
#include <vector>

namespace briarwind::bench {

namespace {

constexpr milliseconds kTimeStep{ 10 };
constexpr milliseconds kStoreReadInterval{ 700 };
constexpr milliseconds kPeerQueryInterval{ 400 };
constexpr milliseconds kStartInterval{ 100 };
constexpr milliseconds kLeaseTimeToLive{ 10'000 };
constexpr store_revision kInitialRevision = 10;
constexpr store_revision kWithdrawalRevision = 11;

// A scheduler with the state that each of the rules needs.
struct simulated_member
{
  freshness mFreshness;
  store_revision mHeldRevision = kInitialRevision;
  instant mLastRead;
  bool mReachesStore = true;
  bool mReachesPeers = true;
};

class simulation
{
public:
  simulation(start_rule aRule, const freshness_scenario& aScenario);
  freshness_figures Run();

private:
  bool IsDue(milliseconds aInterval) const { return (mNow - instant{}) % aInterval == duration(0); }
  bool CanReadStore(const simulated_member& aMember) const
  {
    return aMember.mReachesStore && mNow - instant{} >= mScenario.mStoreOutage;
  }
  // Applies the cuts and the withdrawal halfway through the run.
  void ApplyFaultsAndWithdrawal();
  // Members that reach the store read a newer revision at once, and the same revision again at
  // each read interval.
  void ReadStore();
  // Exchanges freshness reports between each pair of members that reach each other.
  void QueryPeers();
  // Counts the withdrawal as accepted once a majority of the members holds it.
  void UpdateAcceptance();
  // Each member attempts one start at each start interval.
  void AttemptStarts();
  bool MayStart(const simulated_member& aMember) const;

  start_rule mRule;
  freshness_scenario mScenario;
  std::vector<simulated_member> mMembers;
  instant mNow;
  store_revision mStoredRevision = kInitialRevision;
  bool mAccepted = false;
  instant mAcceptedAt;
  freshness_figures mFigures;
};

simulation::simulation(start_rule aRule, const freshness_scenario& aScenario)
  : mRule(aRule)
  , mScenario(aScenario)
{
  member_record record;
  record.mRevision = 1;
  for (int i = 0; i < aScenario.mMembers; ++i) {
    member entry;
    entry.mId = std::to_string(i);
    record.mMembers.push_back(entry);
  }
  for (const member& each : record.mMembers) {
    mMembers.push_back(
      { freshness(each.mId, kFreshnessBound), kInitialRevision, mNow, true, true });
    mMembers.back().mFreshness.OnSettingsApplied(kInitialRevision);
    mMembers.back().mFreshness.OnMemberRecord(record);
    mMembers.back().mFreshness.OnStoreRead(mNow);
  }
}

void simulation::ApplyFaultsAndWithdrawal()
{
  if (mNow - instant{} != mScenario.mLength / 2) {
    return;
  }
  for (int i = 0; i < mScenario.mMembersCutFromStore; ++i) {
    mMembers.at(static_cast<std::size_t>(i)).mReachesStore = false;
    mMembers.at(static_cast<std::size_t>(i)).mReachesPeers = !mScenario.mAlsoCutFromPeers;
  }
  if (mScenario.mWithdraws) {
    mStoredRevision = kWithdrawalRevision;
  }
}

void simulation::ReadStore()
{
  for (simulated_member& each : mMembers) {
    if (CanReadStore(each) && (each.mHeldRevision < mStoredRevision || IsDue(kStoreReadInterval))) {
      each.mHeldRevision = mStoredRevision;
      each.mLastRead = mNow;
      each.mFreshness.OnSettingsApplied(mStoredRevision);
      each.mFreshness.OnStoreRead(mNow);
    }
  }
}

void simulation::QueryPeers()
{
  if (!IsDue(kPeerQueryInterval)) {
    return;
  }
  for (simulated_member& requester : mMembers) {
    for (const simulated_member& responder : mMembers) {
      if (&requester != &responder && requester.mReachesPeers && responder.mReachesPeers) {
        const freshness_report report = responder.mFreshness.Report(mNow);
        requester.mHeldRevision = std::max(requester.mHeldRevision, report.mHeldRevision);
        requester.mFreshness.OnSettingsApplied(requester.mHeldRevision);
        requester.mFreshness.OnReport(report, mNow);
      }
    }
  }
}

void simulation::UpdateAcceptance()
{
  std::size_t upToDateMembers = 0;
  for (const simulated_member& each : mMembers) {
    upToDateMembers += each.mHeldRevision >= kWithdrawalRevision ? 1 : 0;
  }
  if (!mAccepted && upToDateMembers >= MajorityOf(mMembers.size())) {
    mAccepted = true;
    mAcceptedAt = mNow;
  }
}

bool simulation::MayStart(const simulated_member& aMember) const
{
  switch (mRule) {
    case start_rule::kStoreOnly:
      return mNow - aMember.mLastRead <= kFreshnessBound;
    case start_rule::kAlways:
      return true;
    case start_rule::kLease:
      return mNow - aMember.mLastRead <= kLeaseTimeToLive;
    case start_rule::kFreshness:
      return aMember.mFreshness.Check(mNow).IsFresh();
  }
  return false;
}

void simulation::AttemptStarts()
{
  if (!IsDue(kStartInterval)) {
    return;
  }
  for (const simulated_member& each : mMembers) {
    if (!MayStart(each)) {
      ++mFigures.mStartsBlocked;
      continue;
    }
    ++mFigures.mStarts;
    if (mAccepted && each.mHeldRevision < kWithdrawalRevision) {
      mFigures.mLastLateStart = std::chrono::duration_cast<milliseconds>(mNow - mAcceptedAt);
    }
  }
}

freshness_figures simulation::Run()
{
  while (mNow - instant{} < mScenario.mLength) {
    ApplyFaultsAndWithdrawal();
    ReadStore();
    QueryPeers();
    UpdateAcceptance();
    AttemptStarts();
    mNow += kTimeStep;
  }
  return mFigures;
}

} // namespace

std::string_view ToString(start_rule aRule)
{
  static constexpr std::array<std::string_view, 4> kNames{ "store-only", "always", "lease",
                                                           "freshness" };
  return kNames.at(static_cast<std::size_t>(aRule));
}

freshness_figures RunFreshness(start_rule aRule, const freshness_scenario& aScenario)
{
  return simulation(aRule, aScenario).Run();
}

} // namespace briarwind::bench
