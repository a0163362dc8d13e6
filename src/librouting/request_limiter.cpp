#include "briarwind/request_limiter.h"

#include <algorithm>

namespace briarwind {

request_limiter::verdict request_limiter::Check(const request_limits& aLimits, std::size_t aRouters,
                                                instant aNow)
{
  const auto routers = static_cast<int>(std::max<std::size_t>(1, aRouters));
  if (aLimits.mRequestsInFlight > 0 &&
      mInFlight >= std::max(1, aLimits.mRequestsInFlight / routers)) {
    return verdict::kInFlightExceeded;
  }
  if (aLimits.mRequestsPerSecond <= 0) {
    mLastRefill.reset();
    return verdict::kAdmitted;
  }
  const double rate = static_cast<double>(aLimits.mRequestsPerSecond) / routers;
  const double burst = std::max(1.0, rate);
  if (mLastRefill) {
    const std::chrono::duration<double> sinceRefill = aNow - *mLastRefill;
    mTokens = std::min(burst, mTokens + rate * sinceRefill.count());
  } else {
    mTokens = burst;
  }
  mLastRefill = aNow;
  return mTokens >= 1 ? verdict::kAdmitted : verdict::kRateExceeded;
}

void request_limiter::Acquire()
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
  request_limiter& organisationLimiter = mOrganisations[aOrganisation];
  const verdict organisationVerdict = organisationLimiter.Check(limits, aRouters, aNow);
  if (organisationVerdict != verdict::kAdmitted) {
    return organisationVerdict == verdict::kRateExceeded ? reason::kOrganisationRate
                                                         : reason::kOrganisationInFlight;
  }
  const auto team = aSettings.mTeams.find(aTeam);
  if (team != aSettings.mTeams.end()) {
    request_limiter& teamLimiter = mTeams[aTeam];
    const verdict teamVerdict = teamLimiter.Check(team->second.mRequests, aRouters, aNow);
    if (teamVerdict != verdict::kAdmitted) {
      return teamVerdict == verdict::kRateExceeded ? reason::kTeamRate : reason::kTeamInFlight;
    }
    teamLimiter.Acquire();
  }
  organisationLimiter.Acquire();
  return std::nullopt;
}

void limiter_table::Release(const std::string& aOrganisation, const std::string& aTeam)
{
  mOrganisations[aOrganisation].Release();
  if (const auto team = mTeams.find(aTeam); team != mTeams.end()) {
    team->second.Release();
  }
}

retry_budget::retry_budget(double aRetriesPerSuccess, double aMaxRetries)
  : mRetriesPerSuccess(aRetriesPerSuccess)
  , mMaxRetries(aMaxRetries)
  , mTokens(aMaxRetries / 2)
{
}

void retry_budget::OnSuccess()
{
  mTokens = std::min(mMaxRetries, mTokens + mRetriesPerSuccess);
}

bool retry_budget::TryAcquire()
{
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

} // namespace briarwind
