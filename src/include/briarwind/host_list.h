#pragma once

#include "briarwind/endpoint.h"
#include "briarwind/shape.h"

#include <cstdint>
#include <string>
#include <vector>

namespace briarwind {

enum class host_kind : std::uint8_t
{
  kWorker,
  kTarget,
  kEntry,
};

/// One line of the platform's host list.
struct host
{
  std::string mName;
  host_kind mKind = host_kind::kWorker;
  endpoint mAddress;
  std::string mDomain;
  std::string mRack;
  std::string mRegion;
  std::string mService; ///< targets only
  bool mLeaving = false;
  resource_shape mCapacity; ///< workers only
};

/// The platform's host list; it lags behind the truth.
struct host_list
{
  std::int64_t mVersion = 0;
  std::vector<host> mHosts;
};

/// Reads the JSON form of docs/API.md. Fails with kProtocol when it is not of that form.
result<host_list> ParseHostList(std::string_view aJson);

} // namespace briarwind
