#include "bench/freshness_simulation.h"

#include "briarwind/freshness.h"

#include <array>
#include <string>
#include <vector>

namespace briarwind::bench {

namespace {

constexpr milliseconds kStep{ 10 };
constexpr milliseconds kReadInterval{ 700 };
constexpr milliseconds kAskInterval{ 400 };
constexpr milliseconds kStartInterval{ 100 };
constexpr milliseconds kLeaseTime{ 10'000 };
constexpr store_revision kBefore = 10;
constexpr store_revision kWithdrawn = 11;

// One scheduler with every rule's state.
struct fake_member
{
  freshness mFreshness;
  store_revision mHeld = kBefore;
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
  bool IsEvery(milliseconds aInterval) const
  {
    return (mNow - instant{}) % aInterval == duration(0);
  }
  bool StoreAnswers(const fake_member& aMember) const
  {
    return aMember.mReachesStore && mNow - instant{} >= mScenario.mStoreDown;
  }
  void CutAndWithdraw();
  void Read();
  void Ask();
  void Accept();
  void Start();
  bool MayStart(const fake_member& aMember) const;

  start_rule mRule;
  freshness_scenario mScenario;
  std::vector<fake_member> mMembers;
  instant mNow;
  store_revision mStored = kBefore;
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
    member made;
    made.mId = std::to_string(i);
    record.mMembers.push_back(made);
  }
  for (const member& each : record.mMembers) {
    mMembers.push_back({ freshness(each.mId, kFreshnessBound), kBefore, mNow, true, true });
    mMembers.back().mFreshness.OnHeld(kBefore);
    mMembers.back().mFreshness.OnRecord(record);
    mMembers.back().mFreshness.OnStoreRead(mNow);
  }
}

void simulation::CutAndWithdraw()
{
  if (mNow - instant{} != mScenario.mLength / 2) {
    return;
  }
  for (int i = 0; i < mScenario.mCutFromStore; ++i) {
    mMembers.at(static_cast<std::size_t>(i)).mReachesStore = false;
    mMembers.at(static_cast<std::size_t>(i)).mReachesPeers = !mScenario.mCutFromPeers;
  }
  if (mScenario.mWithdraws) {
    mStored = kWithdrawn;
  }
}

void simulation::Read()
{
  for (fake_member& each : mMembers) {
    if (StoreAnswers(each) && (each.mHeld < mStored || IsEvery(kReadInterval))) {
      each.mHeld = mStored;
      each.mLastRead = mNow;
      each.mFreshness.OnHeld(mStored);
      each.mFreshness.OnStoreRead(mNow);
    }
  }
}

void simulation::Ask()
{
  if (!IsEvery(kAskInterval)) {
    return;
  }
  for (fake_member& asker : mMembers) {
    for (const fake_member& asked : mMembers) {
      if (&asker != &asked && asker.mReachesPeers && asked.mReachesPeers) {
        const freshness_report report = asked.mFreshness.Report(mNow);
        asker.mHeld = std::max(asker.mHeld, report.mHeld);
        asker.mFreshness.OnHeld(asker.mHeld);
        asker.mFreshness.OnReport(report, mNow);
      }
    }
  }
}

void simulation::Accept()
{
  std::size_t holders = 0;
  for (const fake_member& each : mMembers) {
    holders += each.mHeld >= kWithdrawn ? 1 : 0;
  }
  if (!mAccepted && holders >= MajorityOf(mMembers.size())) {
    mAccepted = true;
    mAcceptedAt = mNow;
  }
}

bool simulation::MayStart(const fake_member& aMember) const
{
  switch (mRule) {
    case start_rule::kStoreOnly:
      return mNow - aMember.mLastRead <= kFreshnessBound;
    case start_rule::kAlways:
      return true;
    case start_rule::kLease:
      return mNow - aMember.mLastRead <= kLeaseTime;
    case start_rule::kFreshness:
      return aMember.mFreshness.Check(mNow).IsFresh();
  }
  return false;
}

void simulation::Start()
{
  if (!IsEvery(kStartInterval)) {
    return;
  }
  for (const fake_member& each : mMembers) {
    if (!MayStart(each)) {
      ++mFigures.mStartsLost;
      continue;
    }
    ++mFigures.mStarts;
    if (mAccepted && each.mHeld < kWithdrawn) {
      mFigures.mLastLateStart = std::chrono::duration_cast<milliseconds>(mNow - mAcceptedAt);
    }
  }
}

freshness_figures simulation::Run()
{
  while (mNow - instant{} < mScenario.mLength) {
    CutAndWithdraw();
    Read();
    Ask();
    Accept();
    Start();
    mNow += kStep;
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
