#pragma once

#include "briarwind/config_store.h"

#include <boost/json/object.hpp>

#include <string>
#include <string_view>

namespace briarwind::store_wire {

/// Request and response bodies of the etcd v3 JSON gateway. Keys and values are base64, 64-bit
/// numbers are strings, and responses omit fields that are zero.

std::string Base64(std::string_view aBytes);

/// Request bodies. A prefix must not be empty.
std::string ListBody(std::string_view aPrefix);
/// Requests the key under the prefix that was modified last, without its value.
std::string NewestBody(std::string_view aPrefix);
std::string SwapBody(std::string_view aKey, store_revision aExpected, std::string_view aValue,
                     store_lease aLease);
std::string DeleteBody(std::string_view aKey, store_revision aExpected);
std::string GrantBody(seconds aTimeToLive);
std::string LeaseBody(store_lease aLease);
std::string WatchBody(std::string_view aPrefix, store_revision aFrom);

/// Decoders of response bodies. Each fails with kProtocol when the text does not have the form of
/// the response in the decoder's name.
result<store_listing> ReadListing(std::string_view aBody);
result<swap_result> ReadSwap(std::string_view aBody);
result<store_lease> ReadGrant(std::string_view aBody);
/// The remaining time to live of a lease. Fails with kNotFound when the lease has expired.
result<seconds> ReadKeepAlive(std::string_view aBody);

/// One line of the response stream of a watch.
struct watch_line
{
  bool mCancelled = false;
  store_revision mCompactRevision =
    0; ///< when cancelled by compaction: the lowest revision still held
  watch_batch mBatch;
};
result<watch_line> ReadWatchLine(std::string_view aLine);

} // namespace briarwind::store_wire
