#pragma once

#include "briarwind/config_store.h"
#include "briarwind/work_model.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace briarwind {

/// Maps requests with a host name and a path prefix to a queue.
struct caller_route
{
  std::string mQueue;
  std::string mHost;
  std::string mPrefix;  ///< of the path; ends with a slash
  bool mPublic = false; ///< callers need no API key
  work_queue mPolicy;
};

/// One version of the configuration that operators have written to the store.
struct operator_settings
{
  std::int64_t mVersion = 0; ///< 0: no configuration has been read yet
  std::vector<caller_route> mRoutes;
  std::map<std::string, std::string, std::less<>> mOrganisationOfKey; ///< by API key
  std::map<std::string, int> mGuaranteedAccelerators;                 ///< by organisation
  /// Organisations for which a weight or a limit is set.
  std::map<std::string, organisation_policy> mOrganisations;
  /// By service; true: its workers refuse starts that exceed their capacity.
  std::map<std::string, bool> mServiceRefusesOverload;
  std::size_t mMaxBodyBytes = std::size_t{ 256 } << 10U; ///< of a submission

  /// The route of aHost with the longest prefix that matches aPath; null when no route matches. The
  /// pointer is valid until the routes change.
  const caller_route* Find(std::string_view aHost, std::string_view aPath) const;
  /// The subset that the scheduling core needs, with the failure domains currently withdrawn.
  work_settings ToWorkSettings(const std::vector<std::string>& aWithdrawnDomains) const;
};

/// Decodes the keys that operators write to the store, in the format of the platform.
class operator_settings_codec
{
public:
  virtual ~operator_settings_codec() = default;
  /// Common prefix of all keys that operators write.
  virtual std::string Prefix() const = 0;
  /// The configuration in aValue, or nullopt when that key holds something else. Fails with
  /// kProtocol when the value is malformed.
  virtual io_result<std::optional<operator_settings>> ReadSettings(
    const stored_value& aValue) const = 0;
  /// The failure domain that is withdrawn from scheduling while aKey exists; nullopt for other
  /// keys.
  virtual std::optional<std::string> WithdrawnDomain(std::string_view aKey) const = 0;
};

} // namespace briarwind
