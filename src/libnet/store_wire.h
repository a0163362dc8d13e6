#pragma once

#include "briarwind/config_store.h"

#include <boost/json/object.hpp>

#include <string>
#include <string_view>

namespace briarwind::store_wire {

/// Bodies of the etcd v3 gateway: keys and values in base64, 64-bit numbers as texts, fields that
/// are zero left out.
std::string Base64(std::string_view aBytes);

std::string ListBody(std::string_view aPrefix);
std::string NewestBody(std::string_view aPrefix);
std::string SwapBody(std::string_view aKey, store_revision aExpected, std::string_view aValue,
                     store_lease aLease);
std::string DeleteBody(std::string_view aKey, store_revision aExpected);
std::string GrantBody(seconds aTimeToLive);
std::string LeaseBody(store_lease aLease);
std::string WatchBody(std::string_view aPrefix, store_revision aFrom);

/// Each fails with kProtocol when the text is not of the form that its name says.
result<store_listing> ReadListing(std::string_view aBody);
result<swap_result> ReadSwap(std::string_view aBody);
result<store_lease> ReadGrant(std::string_view aBody);
/// kNotFound when the lease has lapsed.
result<seconds> ReadKeepAlive(std::string_view aBody);

/// One line of a watch.
struct watch_line
{
  bool mCancelled = false;
  store_revision mCompacted = 0; ///< when cancelled: the lowest revision that is still kept
  watch_batch mBatch;
};
result<watch_line> ReadWatchLine(std::string_view aLine);

} // namespace briarwind::store_wire
