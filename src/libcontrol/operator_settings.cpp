#include "briarwind/operator_settings.h"

namespace briarwind {

const caller_route* operator_settings::Find(std::string_view aHost, std::string_view aPath) const
{
  const caller_route* best = nullptr;
  for (const caller_route& each : mRoutes) {
    const bool longer = best == nullptr || each.mPrefix.size() > best->mPrefix.size();
    if (longer && each.mHost == aHost && aPath.starts_with(each.mPrefix)) {
      best = &each;
    }
  }
  return best;
}

work_settings operator_settings::ToWorkSettings(
  const std::vector<std::string>& aWithdrawnDomains) const
{
  work_settings settings;
  settings.mVersion = mVersion;
  for (const caller_route& each : mRoutes) {
    settings.mQueues.emplace(each.mQueue, each.mPolicy);
  }
  settings.mGuaranteedAccelerators = mGuaranteedAccelerators;
  settings.mOrganisations = mOrganisations;
  settings.mServiceRefusesOverload = mServiceRefusesOverload;
  settings.mWithdrawnDomains = aWithdrawnDomains;
  return settings;
}

} // namespace briarwind
