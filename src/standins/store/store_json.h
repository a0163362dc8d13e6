#pragma once

#include "standins/store/store_state.h"

#include <boost/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

// A range call: the keys and the options for its response.
struct range_request
{
  key_range mKeys;
  std::size_t mLimit = 0;    // 0: no limit
  bool mNewestFirst = false; // sorted by descending revision of the last write
  bool mKeysOnly = false;
};

// A transaction: mSuccess is applied if all compares match, mFailure is read otherwise.
struct transaction_request
{
  std::vector<store_compare> mCompares;
  std::vector<store_write> mSuccess;
  std::vector<range_request> mFailure;
};

// These functions parse the JSON bodies of the etcd v3 gateway. They fail with kInvalid on a
// missing key and with kProtocol on invalid base64.
result<key_range> ParseKeyRange(const boost::json::object& aBody);
result<range_request> ParseRange(const boost::json::object& aBody);
// Fails with kTooLarge if the value is larger than 1 MiB.
result<store_write> ParsePut(const boost::json::object& aBody);
// Supports compares for an equal MOD revision, puts and deletes on success, and ranges on failure.
// Fails with kInvalid on any other compare or operation.
result<transaction_request> ParseTransaction(const boost::json::object& aBody);

// The header of every response: `{"revision":"N"}`.
boost::json::object ResponseHeader(store_revision aRevision);
boost::json::object RangeResponse(const store_state& aStore, const range_request& aRequest);
// One line of a watch's response stream, with its line end. Without changes it reports only the
// revision.
std::string WatchResponseLine(store_revision aRevision, const std::vector<store_change>& aChanges);

} // namespace briarwind
