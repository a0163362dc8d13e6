#include "store_wire.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace briarwind::store_wire {

namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;

namespace {

constexpr std::string_view kErrorOrigin = "store answer";

auto ProtocolError(std::string aWhat)
{
  return MakeError(error_kind::kProtocol, std::string(kErrorOrigin), std::move(aWhat));
}

std::string FromBase64(std::string_view aText)
{
  std::string bytes(base64::decoded_size(aText.size()), '\0');
  const auto [written, read] = base64::decode(bytes.data(), aText.data(), aText.size());
  bytes.resize(written);
  return bytes;
}

// The end of the key range of a prefix: the least key above all keys that start with the prefix.
std::string PrefixEnd(std::string_view aPrefix)
{
  std::string end(aPrefix);
  ++end.back();
  return end;
}

json::object PrefixRange(std::string_view aPrefix)
{
  return { { "key", Base64(aPrefix) }, { "range_end", Base64(PrefixEnd(aPrefix)) } };
}

const json::object* FindObject(const json::object& aOuter, std::string_view aName)
{
  const json::value* found = aOuter.if_contains(aName);
  return found != nullptr ? found->if_object() : nullptr;
}

const json::array* FindArray(const json::object& aOuter, std::string_view aName)
{
  const json::value* found = aOuter.if_contains(aName);
  return found != nullptr ? found->if_array() : nullptr;
}

bool BoolField(const json::object& aOuter, std::string_view aName)
{
  const json::value* found = aOuter.if_contains(aName);
  return found != nullptr && found->is_bool() && found->as_bool();
}

std::string StringField(const json::object& aOuter, std::string_view aName)
{
  const json::value* found = aOuter.if_contains(aName);
  return found != nullptr && found->is_string() ? std::string(found->as_string()) : std::string();
}

// Reads a 64-bit number, which etcd encodes as a string. Some other gateways send a JSON number.
std::int64_t IntegerField(const json::object& aOuter, std::string_view aName)
{
  const json::value* found = aOuter.if_contains(aName);
  if (found == nullptr) {
    return 0;
  }
  if (found->is_int64()) {
    return found->as_int64();
  }
  const std::string text = StringField(aOuter, aName);
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

store_revision HeaderRevision(const json::object& aAnswer)
{
  const json::object* header = FindObject(aAnswer, "header");
  return header != nullptr ? IntegerField(*header, "revision") : 0;
}

stored_value ReadValue(const json::object& aFields)
{
  stored_value value;
  value.mKey = FromBase64(StringField(aFields, "key"));
  value.mValue = FromBase64(StringField(aFields, "value"));
  value.mCreated = IntegerField(aFields, "create_revision");
  value.mModified = IntegerField(aFields, "mod_revision");
  value.mLease = IntegerField(aFields, "lease");
  return value;
}

std::vector<stored_value> ReadValues(const json::object& aRange)
{
  std::vector<stored_value> values;
  const json::array* found = FindArray(aRange, "kvs");
  if (found == nullptr) {
    return values;
  }
  for (const json::value& each : *found) {
    if (each.is_object()) {
      values.push_back(ReadValue(each.as_object()));
    }
  }
  return values;
}

result<json::object> ParseAnswer(std::string_view aBody)
{
  boost::system::error_code failed;
  json::value document = json::parse(aBody, failed);
  if (failed || !document.is_object()) {
    return ProtocolError("expected an object");
  }
  return std::move(document.as_object());
}

// A transaction that applies aSuccess if the key still has the expected revision and otherwise
// reads the key.
std::string TransactionBody(std::string_view aKey, store_revision aExpected, json::object aSuccess)
{
  const json::object compare{ { "key", Base64(aKey) },
                              { "target", "MOD" },
                              { "result", "EQUAL" },
                              { "mod_revision", std::to_string(aExpected) } };
  const json::object read{ { "request_range", json::object{ { "key", Base64(aKey) } } } };
  return json::serialize(json::object{ { "compare", json::array{ compare } },
                                       { "success", json::array{ std::move(aSuccess) } },
                                       { "failure", json::array{ read } } });
}

store_change ReadEvent(const json::object& aEvent)
{
  store_change change;
  change.mDeleted = StringField(aEvent, "type") == "DELETE";
  if (const json::object* value = FindObject(aEvent, "kv")) {
    change.mValue = ReadValue(*value);
  }
  return change;
}

} // namespace

std::string Base64(std::string_view aBytes)
{
  std::string text(base64::encoded_size(aBytes.size()), '\0');
  text.resize(base64::encode(text.data(), aBytes.data(), aBytes.size()));
  return text;
}

std::string ListBody(std::string_view aPrefix)
{
  json::object body = PrefixRange(aPrefix);
  body["sort_target"] = "KEY";
  body["sort_order"] = "ASCEND";
  return json::serialize(body);
}

std::string NewestBody(std::string_view aPrefix)
{
  json::object body = PrefixRange(aPrefix);
  body["sort_target"] = "MOD";
  body["sort_order"] = "DESCEND";
  body["limit"] = "1";
  body["keys_only"] = true;
  return json::serialize(body);
}

std::string SwapBody(std::string_view aKey, store_revision aExpected, std::string_view aValue,
                     store_lease aLease)
{
  const json::object put{ { "key", Base64(aKey) },
                          { "value", Base64(aValue) },
                          { "lease", std::to_string(aLease) } };
  return TransactionBody(aKey, aExpected, { { "request_put", put } });
}

std::string DeleteBody(std::string_view aKey, store_revision aExpected)
{
  return TransactionBody(aKey, aExpected,
                         { { "request_delete_range", json::object{ { "key", Base64(aKey) } } } });
}

std::string GrantBody(seconds aTimeToLive)
{
  return json::serialize(json::object{ { "TTL", std::to_string(aTimeToLive.count()) } });
}

std::string LeaseBody(store_lease aLease)
{
  return json::serialize(json::object{ { "ID", std::to_string(aLease) } });
}

std::string WatchBody(std::string_view aPrefix, store_revision aFrom)
{
  json::object create = PrefixRange(aPrefix);
  create["start_revision"] = std::to_string(aFrom);
  create["progress_notify"] = true;
  return json::serialize(json::object{ { "create_request", std::move(create) } });
}

result<store_listing> ReadListing(std::string_view aBody)
{
  BOOST_LEAF_AUTO(answer, ParseAnswer(aBody));
  const store_revision revision = HeaderRevision(answer);
  if (revision == 0) {
    return ProtocolError("a listing has no revision");
  }
  return store_listing{ revision, ReadValues(answer) };
}

result<swap_result> ReadSwap(std::string_view aBody)
{
  BOOST_LEAF_AUTO(answer, ParseAnswer(aBody));
  swap_result read;
  read.mSwapped = BoolField(answer, "succeeded");
  read.mRevision = HeaderRevision(answer);
  const json::array* responses = FindArray(answer, "responses");
  if (read.mRevision == 0 || (!read.mSwapped && responses == nullptr)) {
    return ProtocolError("a transaction has no revision or no responses");
  }
  if (read.mSwapped || responses->empty() || !responses->front().is_object()) {
    return read;
  }
  const json::object* range = FindObject(responses->front().as_object(), "response_range");
  if (range == nullptr) {
    return ProtocolError("a refused transaction has no range");
  }
  std::vector<stored_value> values = ReadValues(*range);
  if (!values.empty()) {
    read.mCurrent = std::move(values.front());
  }
  return read;
}

result<store_lease> ReadGrant(std::string_view aBody)
{
  BOOST_LEAF_AUTO(answer, ParseAnswer(aBody));
  const store_lease lease = IntegerField(answer, "ID");
  if (lease == 0) {
    return ProtocolError("a granted lease has no ID");
  }
  return lease;
}

result<seconds> ReadKeepAlive(std::string_view aBody)
{
  BOOST_LEAF_AUTO(answer, ParseAnswer(aBody));
  const json::object* inner = FindObject(answer, "result");
  if (inner == nullptr) {
    return ProtocolError("a keep-alive has no result");
  }
  const std::int64_t remaining = IntegerField(*inner, "TTL");
  if (remaining <= 0) {
    return MakeError(error_kind::kNotFound, std::string(kErrorOrigin), "the lease has lapsed");
  }
  return seconds(remaining);
}

result<watch_line> ReadWatchLine(std::string_view aLine)
{
  BOOST_LEAF_AUTO(answer, ParseAnswer(aLine));
  const json::object* inner = FindObject(answer, "result");
  if (inner == nullptr) {
    return ProtocolError("a line of a watch has no result");
  }
  watch_line read;
  read.mCancelled = BoolField(*inner, "canceled");
  read.mCompactRevision = IntegerField(*inner, "compact_revision");
  read.mBatch.mRevision = HeaderRevision(*inner);
  if (const json::array* events = FindArray(*inner, "events")) {
    for (const json::value& each : *events) {
      if (each.is_object()) {
        read.mBatch.mChanges.push_back(ReadEvent(each.as_object()));
      }
    }
  }
  return read;
}

} // namespace briarwind::store_wire
