#pragma once

#include "briarwind/config_store.h"
#include "briarwind/work_model.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace briarwind {

/// A queue as callers reach it.
struct caller_route
{
  std::string mQueue;
  std::string mHost;
  std::string mPrefix;  ///< ends with a slash
  bool mPublic = false; ///< callers need no key
  work_queue mPolicy;
};

/// What operators have put in force: one version of the configuration, and the domains withdrawn.
struct operator_settings
{
  std::int64_t mVersion = 0; ///< 0: none yet
  std::vector<caller_route> mRoutes;
  std::map<std::string, std::string, std::less<>> mOrganisationOfKey;
  std::map<std::string, int> mGuaranteedAccelerators; ///< by organisation
  std::map<std::string, bool> mServiceRefusesOverload;
  std::size_t mMaxBodyBytes = std::size_t{ 256 } << 10U;

  /// The route with the longest prefix of aPath under that host; nothing when there is none.
  const caller_route* Find(std::string_view aHost, std::string_view aPath) const;
  /// As the core takes them.
  work_settings ForWork(const std::vector<std::string>& aWithdrawnDomains) const;
};

/// Reads the operators' keys in the platform's form.
class operator_settings_codec
{
public:
  virtual ~operator_settings_codec() = default;
  /// All keys that operators write stand under it.
  virtual std::string Prefix() const = 0;
  /// Nothing when the key holds no configuration; fails with kProtocol when it cannot be read.
  virtual io_result<std::optional<operator_settings>> ReadSettings(
    const stored_value& aValue) const = 0;
  /// The domain that a key withdraws while it exists; nothing for other keys.
  virtual std::optional<std::string> WithdrawnDomain(std::string_view aKey) const = 0;
};

} // namespace briarwind
