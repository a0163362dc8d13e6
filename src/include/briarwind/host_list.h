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
};

/// Parses the JSON form described in docs/API.md. Fails with kProtocol when the text is not of that
/// form, and with kInvalid when a host's address is not `ip:port`. Absent or mistyped fields other
/// than a host's name and address get the defaults of their type.
result<host_list> ParseHostList(std::string_view aJson);

} // namespace briarwind
