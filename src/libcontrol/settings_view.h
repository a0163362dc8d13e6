#pragma once

#include "store_follower.h"

#include "briarwind/operator_settings.h"

#include <set>

namespace briarwind {

/// Follows the operators' configuration in the store and keeps the version that is in force on this
/// host. Only a higher version replaces it.
class settings_view
{
public:
  settings_view(fiber_runtime& aRuntime, record_store& aStore, metrics& aMetrics,
                const operator_settings_codec& aCodec);

  void Start();
  /// Sets the function to call after each change; an empty function removes it.
  void OnChange(std::function<void()> aObserver) { mObserver = std::move(aObserver); }

  /// All keys that operators write, for hosts that the store turns away.
  const store_view& StoredKeys() const { return mStoredKeys; }

  /// The configuration in force; its mVersion is 0 until one has been read.
  const operator_settings& Settings() const { return mSettings; }
  /// The configuration and the withdrawn domains, in the form that the scheduling core takes.
  work_settings ToWorkSettings() const;

private:
  void OnListed(const store_listing& aListing);
  void OnChangesReceived(const std::vector<store_change>& aChanges);
  bool Apply(const stored_value& aValue, std::string_view aVia);
  void RecordIgnored(const stored_value& aValue, std::string_view aReason);
  void LogWithdrawnDomains();

  fiber_runtime& mRuntime;
  metrics& mMetrics;
  const operator_settings_codec& mCodec;
  store_view mStoredKeys;
  store_follower mFollower;
  std::function<void()> mObserver;
  operator_settings mSettings;
  store_revision mSettingsRevision = 0;
  store_revision mIgnoredRevision = 0; ///< of the newest value that was not taken
  std::set<std::string> mWithdrawn;
};

} // namespace briarwind
