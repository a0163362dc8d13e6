#include "standins/store/store_json.h"

#include "briarwind/base64.h"
#include "briarwind/json_fields.h"

#include <algorithm>

namespace briarwind {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxValueBytes = std::size_t{ 1 } << 20U;

// The gateway writes 64-bit numbers as strings of digits.
std::string DecimalText(std::int64_t aNumber)
{
  return std::to_string(aNumber);
}

json::object ToJson(const stored_value& aValue, bool aKeysOnly)
{
  json::object fields{ { "key", EncodeBase64(aValue.mKey) },
                       { "mod_revision", DecimalText(aValue.mModified) } };
  if (aValue.mCreated != 0) {
    fields["create_revision"] = DecimalText(aValue.mCreated);
  }
  if (!aKeysOnly) {
    fields["value"] = EncodeBase64(aValue.mValue);
  }
  if (aValue.mLease != 0) {
    fields["lease"] = DecimalText(aValue.mLease);
  }
  return fields;
}

json::object ToJson(const store_change& aChange)
{
  json::object event{ { "kv", ToJson(aChange.mValue, aChange.mDeleted) } };
  if (aChange.mDeleted) {
    event["type"] = "DELETE";
  }
  return event;
}

result<store_compare> ParseCompare(const json::object& aBody)
{
  if (TextField(aBody, "target") != "MOD" || TextField(aBody, "result") != "EQUAL") {
    return MakeError(error_kind::kInvalid, "compare", "only MOD and EQUAL are known");
  }
  BOOST_LEAF_AUTO(key, DecodeBase64(TextField(aBody, "key")));
  return store_compare{ std::move(key), NumberField(aBody, "mod_revision") };
}

result<store_write> ParseWrite(const json::object& aBody)
{
  if (aBody.contains("request_put")) {
    return ParsePut(ObjectField(aBody, "request_put"));
  }
  if (!aBody.contains("request_delete_range")) {
    return MakeError(error_kind::kInvalid, "success", "expected puts and deletes");
  }
  BOOST_LEAF_AUTO(keys, ParseKeyRange(ObjectField(aBody, "request_delete_range")));
  return store_write{ true, std::move(keys), "", 0 };
}

result<range_request> ParseNestedRange(const json::object& aBody)
{
  return ParseRange(ObjectField(aBody, "request_range"));
}

template<class Value>
result<std::vector<Value>> ParseArray(const json::array& aArray,
                                      result<Value> (*aParse)(const json::object&))
{
  std::vector<Value> all;
  for (const json::value& each : aArray) {
    if (!each.is_object()) {
      return MakeError(error_kind::kInvalid, "transaction", "expected arrays of objects");
    }
    BOOST_LEAF_AUTO(one, aParse(each.as_object()));
    all.push_back(std::move(one));
  }
  return all;
}

} // namespace

result<key_range> ParseKeyRange(const json::object& aBody)
{
  BOOST_LEAF_AUTO(from, DecodeBase64(TextField(aBody, "key")));
  BOOST_LEAF_AUTO(end, DecodeBase64(TextField(aBody, "range_end")));
  if (from.empty()) {
    return MakeError(error_kind::kInvalid, "key", "expected a key in base64");
  }
  return key_range{ std::move(from), std::move(end) };
}

result<range_request> ParseRange(const json::object& aBody)
{
  range_request request;
  BOOST_LEAF_ASSIGN(request.mKeys, ParseKeyRange(aBody));
  request.mLimit = static_cast<std::size_t>(NumberField(aBody, "limit"));
  request.mNewestFirst =
    TextField(aBody, "sort_target") == "MOD" && TextField(aBody, "sort_order") == "DESCEND";
  request.mKeysOnly = BooleanField(aBody, "keys_only");
  return request;
}

result<store_write> ParsePut(const json::object& aBody)
{
  store_write write;
  BOOST_LEAF_ASSIGN(write.mKeys, ParseKeyRange(aBody));
  BOOST_LEAF_ASSIGN(write.mValue, DecodeBase64(TextField(aBody, "value")));
  if (write.mValue.size() > kMaxValueBytes) {
    return MakeError(error_kind::kTooLarge, "value", "request is too large");
  }
  write.mLease = NumberField(aBody, "lease");
  return write;
}

result<transaction_request> ParseTransaction(const json::object& aBody)
{
  transaction_request request;
  BOOST_LEAF_ASSIGN(request.mCompares, ParseArray(ArrayField(aBody, "compare"), ParseCompare));
  BOOST_LEAF_ASSIGN(request.mSuccess, ParseArray(ArrayField(aBody, "success"), ParseWrite));
  BOOST_LEAF_ASSIGN(request.mFailure, ParseArray(ArrayField(aBody, "failure"), ParseNestedRange));
  return request;
}

json::object ResponseHeader(store_revision aRevision)
{
  return { { "revision", DecimalText(aRevision) } };
}

json::object RangeResponse(const store_state& aStore, const range_request& aRequest)
{
  std::vector<stored_value> values = aStore.Range(aRequest.mKeys);
  const std::size_t count = values.size();
  if (aRequest.mNewestFirst) {
    std::ranges::sort(values, std::greater<>(), &stored_value::mModified);
  }
  if (aRequest.mLimit > 0 && values.size() > aRequest.mLimit) {
    values.resize(aRequest.mLimit);
  }
  json::array kvs;
  std::ranges::transform(values, std::back_inserter(kvs), [&](const stored_value& aValue) {
    return ToJson(aValue, aRequest.mKeysOnly);
  });
  return { { "header", ResponseHeader(aStore.Revision()) },
           { "kvs", std::move(kvs) },
           { "more", count > values.size() },
           { "count", DecimalText(static_cast<std::int64_t>(count)) } };
}

std::string WatchResponseLine(store_revision aRevision, const std::vector<store_change>& aChanges)
{
  json::array events;
  std::ranges::transform(aChanges, std::back_inserter(events),
                         [](const store_change& aChange) { return ToJson(aChange); });
  json::object resultField{ { "header", ResponseHeader(aRevision) } };
  if (!events.empty()) {
    resultField["events"] = std::move(events);
  }
  return json::serialize(json::object{ { "result", std::move(resultField) } }) + "\n";
}

} // namespace briarwind
