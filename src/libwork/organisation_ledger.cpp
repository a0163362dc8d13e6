#include "organisation_ledger.h"

#include <algorithm>
#include <array>
#include <utility>

namespace briarwind {

namespace {

// Stand for "no limit". Small enough that sums cannot overflow and that a number of tasks fits into
// an int.
constexpr int kUnlimited = 1 << 30;
constexpr std::int64_t kUnlimitedAmount = std::int64_t{ 1 } << 60U;

struct resource
{
  std::string_view mName;
  std::int64_t (*mAmount)(const task_demand&);
};

constexpr std::array kResources{
  resource{ "accelerators",
            [](const task_demand& aDemand) { return std::int64_t{ aDemand.mAccelerators }; } },
  resource{ "cores", [](const task_demand& aDemand) { return aDemand.mMilliCores; } },
  resource{ "memory", [](const task_demand& aDemand) { return aDemand.mMemoryMb; } },
};

int FitCount(std::int64_t aLeft, std::int64_t aNeed)
{
  const std::int64_t fits = aNeed <= 0 ? kUnlimited : std::max<std::int64_t>(aLeft, 0) / aNeed;
  return static_cast<int>(std::min<std::int64_t>(fits, kUnlimited));
}

bool IsExceeded(const task_demand& aLeft)
{
  return std::ranges::any_of(kResources,
                             [&](const resource& aEach) { return aEach.mAmount(aLeft) < 0; });
}

task_demand LeftOf(const task_demand& aLimit, const task_demand& aUsed)
{
  return { aLimit.mAccelerators == 0 ? kUnlimited : aLimit.mAccelerators - aUsed.mAccelerators,
           aLimit.mMilliCores == 0 ? kUnlimitedAmount : aLimit.mMilliCores - aUsed.mMilliCores,
           aLimit.mMemoryMb == 0 ? kUnlimitedAmount : aLimit.mMemoryMb - aUsed.mMemoryMb };
}

} // namespace

int CountWithin(const task_demand& aLeft, const task_demand& aDemand)
{
  if (IsExceeded(aLeft)) {
    return 0;
  }
  int count = kUnlimited;
  for (const resource& each : kResources) {
    count = std::min(count, FitCount(each.mAmount(aLeft), each.mAmount(aDemand)));
  }
  return count;
}

void organisation_ledger::SetPolicies(std::map<std::string, organisation_policy> aPolicies)
{
  mPolicies = std::move(aPolicies);
}

bool organisation_ledger::HasLimit(const std::string& aOrganisation) const
{
  const auto found = mPolicies.find(aOrganisation);
  return found != mPolicies.end() && found->second.HasLimit();
}

double organisation_ledger::Weight(const std::string& aOrganisation) const
{
  const auto found = mPolicies.find(aOrganisation);
  return found == mPolicies.end() ? 1 : found->second.mWeight;
}

void organisation_ledger::Change(const std::string& aOrganisation, task_demand account::* aPart,
                                 const task_demand& aChange)
{
  const auto [place, isNew] = mAccounts.try_emplace(aOrganisation);
  place->second.*aPart += aChange;
  if (place->second == account{}) {
    mAccounts.erase(place);
  }
}

void organisation_ledger::AddRun(const std::string& aOrganisation, const task_demand& aDemand)
{
  Change(aOrganisation, &account::mRuns, aDemand);
}

void organisation_ledger::RemoveRun(const std::string& aOrganisation, const task_demand& aDemand)
{
  Change(aOrganisation, &account::mRuns, task_demand{} - aDemand);
}

void organisation_ledger::AddClaim(const std::string& aOrganisation, const task_demand& aDemand)
{
  Change(aOrganisation, &account::mClaims, aDemand);
}

void organisation_ledger::RemoveClaim(const std::string& aOrganisation, const task_demand& aDemand)
{
  Change(aOrganisation, &account::mClaims, task_demand{} - aDemand);
}

organisation_ledger::account organisation_ledger::AccountOf(const std::string& aOrganisation) const
{
  const auto found = mAccounts.find(aOrganisation);
  return found == mAccounts.end() ? account{} : found->second;
}

task_demand organisation_ledger::InUse(const std::string& aOrganisation) const
{
  const account used = AccountOf(aOrganisation);
  return used.mRuns + used.mClaims;
}

task_demand organisation_ledger::Left(const std::string& aOrganisation) const
{
  const auto found = mPolicies.find(aOrganisation);
  const task_demand limit = found == mPolicies.end() ? task_demand{} : found->second.mMaxInUse;
  return LeftOf(limit, InUse(aOrganisation));
}

int organisation_ledger::Headroom(const std::string& aOrganisation,
                                  const task_demand& aDemand) const
{
  return CountWithin(Left(aOrganisation), aDemand);
}

bool organisation_ledger::IsOverLimit(const std::string& aOrganisation) const
{
  return IsExceeded(Left(aOrganisation));
}

double organisation_ledger::WeightedShare(const std::string& aOrganisation,
                                          const task_demand& aTotal) const
{
  const task_demand used = InUse(aOrganisation);
  double share = 0;
  for (const resource& each : kResources) {
    const auto total = static_cast<double>(std::max<std::int64_t>(each.mAmount(aTotal), 1));
    share = std::max(share, static_cast<double>(each.mAmount(used)) / total);
  }
  return share / Weight(aOrganisation);
}

std::string_view organisation_ledger::ScarcestResource(const std::string& aOrganisation,
                                                       const task_demand& aDemand) const
{
  const task_demand left = Left(aOrganisation);
  return std::ranges::min_element(kResources, {},
                                  [&](const resource& aEach) {
                                    return FitCount(aEach.mAmount(left), aEach.mAmount(aDemand));
                                  })
    ->mName;
}

std::string_view ResourceOverLimit(const work_step& aStep, const organisation_policy& aPolicy)
{
  const int needed = aStep.mGang ? aStep.mCount : 1;
  const task_demand left = LeftOf(aPolicy.mMaxInUse, {});
  const auto over = std::ranges::find_if(kResources, [&](const resource& aEach) {
    return FitCount(aEach.mAmount(left), aEach.mAmount(aStep.mDemand)) < needed;
  });
  return over == kResources.end() ? std::string_view() : over->mName;
}

} // namespace briarwind
