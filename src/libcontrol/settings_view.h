#pragma once

#include "store_follower.h"

#include "briarwind/operator_settings.h"

#include <set>

namespace briarwind {

/// The operators' configuration as this host has it in force. Only a higher version replaces it.
class settings_view
{
public:
  settings_view(fiber_runtime& aRuntime, record_store& aStore, metrics& aMetrics,
                const operator_settings_codec& aCodec);

  void Start();
  void OnChange(std::function<void()> aObserver) { mObserver = std::move(aObserver); }

  /// mVersion 0: none has been read yet.
  const operator_settings& Settings() const { return mSettings; }
  work_settings ForWork() const;

private:
  void Listed(const store_listing& aListing);
  void Changed(const std::vector<store_change>& aChanges);
  bool Apply(const stored_value& aValue);
  void NoteDomains();

  fiber_runtime& mRuntime;
  const operator_settings_codec& mCodec;
  store_follower mFollower;
  std::function<void()> mObserver;
  operator_settings mSettings;
  store_revision mSettingsRevision = 0;
  std::set<std::string> mWithdrawn;
};

} // namespace briarwind
