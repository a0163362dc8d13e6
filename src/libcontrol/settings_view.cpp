#include "settings_view.h"

#include "control_events.h"

#include <fmt/ranges.h>

namespace briarwind {

settings_view::settings_view(fiber_runtime& aRuntime, record_store& aStore, metrics& aMetrics,
                             const operator_settings_codec& aCodec)
  : mRuntime(aRuntime)
  , mMetrics(aMetrics)
  , mCodec(aCodec)
  , mStoredKeys(aCodec.Prefix())
  , mFollower(aStore, aMetrics, aCodec.Prefix(),
              { [this](const store_listing& aListing) { OnListed(aListing); },
                [this](const std::vector<store_change>& aChanges) { OnChangesReceived(aChanges); },
                [] { return true; }, &mStoredKeys })
{
}

void settings_view::Start()
{
  mRuntime.Spawn([this] { mFollower.Run(); });
}

work_settings settings_view::ToWorkSettings() const
{
  return mSettings.ToWorkSettings({ mWithdrawn.begin(), mWithdrawn.end() });
}

void settings_view::OnListed(const store_listing& aListing)
{
  std::set<std::string> withdrawn;
  bool changed = false;
  for (const stored_value& each : aListing.mValues) {
    if (const auto domain = mCodec.WithdrawnDomain(each.mKey)) {
      withdrawn.insert(*domain);
    } else {
      changed = Apply(each, "list") || changed;
    }
  }
  if (withdrawn != mWithdrawn) {
    mWithdrawn = std::move(withdrawn);
    LogWithdrawnDomains();
    changed = true;
  }
  if (changed && mObserver) {
    mObserver();
  }
}

void settings_view::OnChangesReceived(const std::vector<store_change>& aChanges)
{
  bool changed = false;
  for (const store_change& each : aChanges) {
    if (const auto domain = mCodec.WithdrawnDomain(each.mValue.mKey)) {
      const bool domainChanged =
        each.mDeleted ? mWithdrawn.erase(*domain) > 0 : mWithdrawn.insert(*domain).second;
      if (domainChanged) {
        LogWithdrawnDomains();
      }
      changed = changed || domainChanged;
    } else if (!each.mDeleted) {
      changed = Apply(each.mValue, "watch") || changed;
    }
  }
  if (changed && mObserver) {
    mObserver();
  }
}

bool settings_view::Apply(const stored_value& aValue, std::string_view aVia)
{
  if (aValue.mModified <= std::max(mSettingsRevision, mIgnoredRevision)) {
    return false;
  }
  auto read = mCodec.ReadSettings(aValue);
  if (!read) {
    RecordIgnored(aValue, "unreadable");
    LogEvent(kSettingsUnreadable, { Field("key", aValue.mKey), Field("revision", aValue.mModified),
                                    Field("what", std::string_view(read.error().mWhat)) });
    return false;
  }
  if (!read.value()) {
    return false;
  }
  if (read.value()->mVersion <= mSettings.mVersion) {
    RecordIgnored(aValue, "older");
    LogEvent(kSettingsOlder,
             { Field("key", aValue.mKey), Field("revision", aValue.mModified),
               Field("version", read.value()->mVersion), Field("in_force", mSettings.mVersion) });
    return false;
  }
  mSettings = std::move(*read.value());
  mSettingsRevision = aValue.mModified;
  mMetrics.Set(kSettingsVersion, static_cast<double>(mSettings.mVersion));
  LogEvent(kSettingsInForce,
           { Field("version", mSettings.mVersion), Field("revision", mSettingsRevision),
             Field("routes", mSettings.mRoutes.size()),
             Field("keys", mSettings.mOrganisationOfKey.size()), Field("via", aVia),
             Field("unseen_ms", mFollower.TimeSincePreviousAnswer().count()) });
  return true;
}

void settings_view::RecordIgnored(const stored_value& aValue, std::string_view aReason)
{
  mIgnoredRevision = aValue.mModified;
  mMetrics.Count(kSettingsIgnored, aReason);
}

void settings_view::LogWithdrawnDomains()
{
  LogEvent(kDomainsChanged, { Field("withdrawn", fmt::format("{}", fmt::join(mWithdrawn, ","))) });
}

} // namespace briarwind
