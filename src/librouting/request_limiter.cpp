#include "briarwind/request_limiter.h"

#include <algorithm>

namespace briarwind {

request_limiter::verdict request_limiter::Check(const request_limits& aLimits, std::size_t aRouters,
                                                instant aNow)
{
  const auto routers = static_cast<int>(std::max<std::size_t>(1, aRouters));
  if (aLimits.mRequestsInFlight > 0 &&
      mInFlight >= std::max(1, aLimits.mRequestsInFlight / routers)) {
    return verdict::kInFlight;
  }
  if (aLimits.mRequestsPerSecond <= 0) {
    mRefilled.reset();
    return verdict::kAdmitted;
  }
  const double rate = static_cast<double>(aLimits.mRequestsPerSecond) / routers;
  const double burst = std::max(1.0, rate);
  if (mRefilled) {
    const std::chrono::duration<double> passed = aNow - *mRefilled;
    mTokens = std::min(burst, mTokens + rate * passed.count());
  } else {
    mTokens = burst;
  }
  mRefilled = aNow;
  return mTokens >= 1 ? verdict::kAdmitted : verdict::kRate;
}

void request_limiter::Take()
{
  ++mInFlight;
  mTokens = std::max(0.0, mTokens - 1);
}

void request_limiter::Release()
{
  mInFlight = std::max(0, mInFlight - 1);
}

std::optional<reason> limiter_table::Admit(const settings_view& aSettings,
                                           const std::string& aOrganisation,
                                           const std::string& aTeam, std::size_t aRouters,
                                           instant aNow)
{
  using verdict = request_limiter::verdict;
  const auto organisation = aSettings.mOrganisations.find(aOrganisation);
  request_limits limits;
  if (organisation != aSettings.mOrganisations.end()) {
    limits = organisation->second.mRequests;
  }
  request_limiter& first = mOrganisations[aOrganisation];
  const verdict whole = first.Check(limits, aRouters, aNow);
  if (whole != verdict::kAdmitted) {
    return whole == verdict::kRate ? reason::kOrganisationRate : reason::kOrganisationInFlight;
  }
  const auto team = aSettings.mTeams.find(aTeam);
  if (team != aSettings.mTeams.end()) {
    request_limiter& second = mTeams[aTeam];
    const verdict part = second.Check(team->second.mRequests, aRouters, aNow);
    if (part != verdict::kAdmitted) {
      return part == verdict::kRate ? reason::kTeamRate : reason::kTeamInFlight;
    }
    second.Take();
  }
  first.Take();
  return std::nullopt;
}

void limiter_table::Release(const std::string& aOrganisation, const std::string& aTeam)
{
  mOrganisations[aOrganisation].Release();
  if (const auto team = mTeams.find(aTeam); team != mTeams.end()) {
    team->second.Release();
  }
}

retry_budget::retry_budget(double aShare, double aMost)
  : mShare(aShare)
  , mMost(aMost)
  , mTokens(aMost / 2)
{
}

void retry_budget::OnSuccess()
{
  mTokens = std::min(mMost, mTokens + mShare);
}

bool retry_budget::Take()
{
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

} // namespace briarwind
