#include "queue_order.h"

#include "work_table.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <tuple>

namespace briarwind {

namespace {

// Acceptances kept of each organisation. At a hundred jobs a second, ten times what the whole fleet
// is designed for in a burst, they cover the jobs that may still wait for their first decision.
constexpr std::size_t kMaxRemembered = 1'000;

class priority_order : public unit_order
{
public:
  explicit priority_order(std::vector<ready_unit>& aUnits)
    : mUnits(aUnits)
  {
  }

  ready_unit* Next() override { return mNext == mUnits.size() ? nullptr : &mUnits[mNext++]; }

private:
  std::vector<ready_unit>& mUnits;
  std::size_t mNext = 0;
};

// Dominant-resource fairness: inside a group of equal rank, the organisation with the smallest
// share in relation to its weight is next, with its most urgent unit. Jobs beyond the rate of their
// organisation, and those that are late, form groups behind the others of their rank. See Ghodsi et
// al., "Dominant Resource Fairness", NSDI 2011.
class fair_share_order : public unit_order
{
public:
  fair_share_order(std::vector<ready_unit>& aUnits, const organisation_ledger& aLedger,
                   const task_demand& aTotal)
    : mLedger(aLedger)
    , mTotal(aTotal)
  {
    for (ready_unit& each : aUnits) {
      mGroups[{ each.mRank, each.mBeyondRate, each.mIsLate }][each.mJob->mSpec.mOrganisation]
        .push_back(&each);
    }
  }

  ready_unit* Next() override
  {
    if (mGroups.empty()) {
      return nullptr;
    }
    auto& organisations = mGroups.begin()->second;
    const auto next = std::ranges::min_element(organisations, {}, [this](const auto& aEach) {
      return std::tuple(mLedger.WeightedShare(aEach.first, mTotal),
                        aEach.second.front()->mObjective);
    });
    ready_unit* unit = next->second.front();
    next->second.pop_front();
    if (next->second.empty()) {
      organisations.erase(next);
    }
    if (organisations.empty()) {
      mGroups.erase(mGroups.begin());
    }
    return unit;
  }

private:
  const organisation_ledger& mLedger;
  task_demand mTotal;
  std::map<std::tuple<int, bool, bool>, std::map<std::string, std::deque<ready_unit*>>> mGroups;
};

} // namespace

std::unique_ptr<unit_order> MakeUnitOrder(std::vector<ready_unit>& aUnits,
                                          const organisation_ledger& aLedger,
                                          const task_demand& aTotal)
{
  if (aLedger.HasPolicies()) {
    return std::make_unique<fair_share_order>(aUnits, aLedger, aTotal);
  }
  return std::make_unique<priority_order>(aUnits);
}

void acceptance_rate::Record(const std::string& aOrganisation, wall_time aAccepted,
                             const std::string& aJob)
{
  history& jobs = mHistories[aOrganisation];
  jobs.mIsWithin.emplace(std::pair(aAccepted, aJob), true);
  jobs.mPerSecond = 0;
  if (jobs.mIsWithin.size() > kMaxRemembered) {
    jobs.mIsWithin.erase(jobs.mIsWithin.begin());
  }
}

bool acceptance_rate::IsWithin(const std::string& aOrganisation, wall_time aAccepted,
                               const std::string& aJob, double aPerSecond)
{
  const auto found = mHistories.find(aOrganisation);
  if (found == mHistories.end()) {
    return true;
  }
  if (found->second.mPerSecond != aPerSecond) {
    FillBucket(found->second, aPerSecond);
  }
  const auto job = found->second.mIsWithin.find(std::pair(aAccepted, aJob));
  return job == found->second.mIsWithin.end() || job->second;
}

// The bucket holds one second's tokens, and at least the one that a job takes. Jobs may be recorded
// in any order after a change of leader, so all are gone through again.
void acceptance_rate::FillBucket(history& aHistory, double aPerSecond)
{
  const double capacity = std::max(aPerSecond, 1.0);
  double tokens = capacity;
  wall_time last =
    aHistory.mIsWithin.empty() ? wall_time() : aHistory.mIsWithin.begin()->first.first;
  for (auto& [job, isWithin] : aHistory.mIsWithin) {
    const std::chrono::duration<double> passed = job.first - last;
    tokens = std::min(capacity, tokens + aPerSecond * passed.count());
    last = job.first;
    isWithin = tokens >= 1;
    tokens -= isWithin ? 1 : 0;
  }
  aHistory.mPerSecond = aPerSecond;
}

} // namespace briarwind
