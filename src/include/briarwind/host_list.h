#pragma once

#include "briarwind/endpoint.h"
#include "briarwind/shape.h"

#include <cstdint>
#include <string>
#include <vector>

namespace briarwind {

/// Role of a host in the cluster.
enum class host_kind : std::uint8_t
{
  kWorker,
  kTarget,
  kEntry,
};

/// One host as the platform's host list describes it.
struct host
{
  std::string mName;
  host_kind mKind = host_kind::kWorker;
  endpoint mAddress;
  std::string mDomain;
  std::string mRack;
  std::string mRegion;
  std::string mService;     ///< set for targets only
  bool mLeaving = false;    ///< the platform is about to remove the host
  resource_shape mCapacity; ///< set for workers only
};

/// The platform's host list. It may be stale: it lags behind the actual state of the hosts.
struct host_list
{
  std::int64_t mVersion = 0;
  std::vector<host> mHosts;
  /// Entries that describe no host, by name, or by the beginning of their text.
  std::vector<std::string> mUnreadable;
};

/// Parses the JSON form described in docs/API.md. Fails with kProtocol when the text is no object
/// with a list of hosts. An entry describes no host when it cannot be parsed, has no name, no known
/// kind or no address with a port, or has a capacity that is no number or out of range. Other
/// fields that are absent or mistyped get the defaults of their type.
result<host_list> ParseHostList(std::string_view aJson);

} // namespace briarwind
