#pragma once

#include "standins/store/store_state.h"

#include <boost/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

// What a range call asks for beside the keys.
struct range_request
{
  key_range mKeys;
  std::size_t mLimit = 0; // 0: no limit
  bool mNewestFirst = false;
  bool mKeysOnly = false;
};

struct transaction_request
{
  std::vector<store_compare> mCompares;
  std::vector<store_write> mSuccess;
  std::vector<range_request> mFailure;
};

result<key_range> ReadKeys(const boost::json::object& aBody);
result<range_request> ReadRange(const boost::json::object& aBody);
result<store_write> ReadPut(const boost::json::object& aBody);
// Compares on MOD, then puts and deletes, else ranges. Fails with kInvalid on anything else.
result<transaction_request> ReadTransaction(const boost::json::object& aBody);

// `{"revision":"N"}`
boost::json::object Header(store_revision aRevision);
boost::json::object RangeAnswer(const store_state& aStore, const range_request& aRequest);
// One line of a watch.
std::string WatchLine(store_revision aRevision, const std::vector<store_change>& aChanges);

} // namespace briarwind
