#include "store_relay_wire.h"

#include "briarwind/base64.h"
#include "briarwind/fiber_runtime.h"
#include "briarwind/json_fields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <ranges>

namespace briarwind::store_relay {

namespace json = boost::json;

namespace {

constexpr std::array kErrorKinds{
  error_kind::kInvalid,     error_kind::kNotFound, error_kind::kConflict,
  error_kind::kUnavailable, error_kind::kTimeout,  error_kind::kUnknownOutcome,
  error_kind::kTooLarge,    error_kind::kProtocol,
};

// Of a view that a caller watches. Callers watch it only while the store turns them away.
constexpr milliseconds kViewPollInterval{ 25 };
constexpr milliseconds kMaxViewWait{ 30'000 };

// Values are Base64-encoded, because JSON strings cannot hold arbitrary bytes.
json::object ValueObject(const stored_value& aValue)
{
  return { { "key", aValue.mKey },
           { "value", EncodeBase64(aValue.mValue) },
           { "modified", aValue.mModified },
           { "created", aValue.mCreated },
           { "lease", aValue.mLease } };
}

stored_value ParseValue(const json::value& aValue)
{
  stored_value parsed;
  if (!aValue.is_object()) {
    return parsed;
  }
  const json::object& object = aValue.get_object();
  parsed.mKey = TextField(object, "key");
  const auto value = ToIoResult([&] { return DecodeBase64(TextField(object, "value")); });
  parsed.mValue = value ? value.value() : std::string();
  parsed.mModified = NumberField(object, "modified");
  parsed.mCreated = NumberField(object, "created");
  parsed.mLease = NumberField(object, "lease");
  return parsed;
}

json::array ValueArray(const std::vector<stored_value>& aValues)
{
  json::array array;
  std::ranges::transform(aValues, std::back_inserter(array), ValueObject);
  return array;
}

std::vector<stored_value> ParseValues(const json::object& aObject, std::string_view aName)
{
  std::vector<stored_value> values;
  std::ranges::transform(ArrayField(aObject, aName), std::back_inserter(values), ParseValue);
  return values;
}

instant DeadlineOf(const json::object& aObject)
{
  return monotonic_clock::now() + milliseconds(NumberField(aObject, "time_ms"));
}

http_response Failure(const error& aError)
{
  return JsonResponse(503, json::serialize(json::object{ { "kind", ToString(aError.mKind) },
                                                         { "what", aError.mWhat } }));
}

http_response Success(const json::object& aObject)
{
  return JsonResponse(200, json::serialize(aObject));
}

http_response ServeGet(record_store& aStore, const json::object& aCall)
{
  const auto got = aStore.Get(TextField(aCall, "key"), DeadlineOf(aCall));
  if (!got) {
    return Failure(got.error());
  }
  json::object answer;
  if (got.value()) {
    answer["value"] = ValueObject(*got.value());
  }
  return Success(answer);
}

http_response ListAnswer(const store_listing& aListing)
{
  return Success(
    { { "revision", aListing.mRevision }, { "values", ValueArray(aListing.mValues) } });
}

http_response ServeList(record_store& aStore, const json::object& aCall)
{
  const auto listing = aStore.List(TextField(aCall, "prefix"), DeadlineOf(aCall));
  return listing ? ListAnswer(listing.value()) : Failure(listing.error());
}

http_response WatchAnswer(const watch_result& aSeen)
{
  json::array changes;
  for (const store_change& each : aSeen.mChanges) {
    json::object change = ValueObject(each.mValue);
    change["deleted"] = each.mDeleted;
    changes.emplace_back(std::move(change));
  }
  return Success({ { "compacted", aSeen.mCompacted },
                   { "revision", aSeen.mRevision },
                   { "changes", std::move(changes) } });
}

http_response ServeWatch(record_store& aStore, const json::object& aCall)
{
  const auto seen = aStore.Watch(TextField(aCall, "prefix"), NumberField(aCall, "after"),
                                 milliseconds(NumberField(aCall, "wait_ms")));
  return seen ? WatchAnswer(seen.value()) : Failure(seen.error());
}

// A caller of the former version does not send `at_least`: it expects the store's own answer.
bool MayServeView(const store_view& aView, const json::object& aCall)
{
  return aCall.contains("at_least") && TextField(aCall, "prefix") == aView.Prefix() &&
         aView.IsCurrent() && aView.Revision() >= NumberField(aCall, "at_least");
}

// A view that is lost during the wait shows no changes; the caller's next watch goes to the store.
http_response WatchView(const store_view& aView, const json::object& aCall)
{
  const store_revision after = NumberField(aCall, "after");
  const milliseconds wait(NumberField(aCall, "wait_ms"));
  const instant end = monotonic_clock::now() + std::min(wait, kMaxViewWait);
  watch_result seen = aView.ChangesAfter(after);
  while (!seen.mCompacted && seen.mChanges.empty() && aView.IsCurrent() &&
         monotonic_clock::now() < end) {
    SleepFor(kViewPollInterval);
    seen = aView.ChangesAfter(after);
  }
  return WatchAnswer(seen);
}

store_transaction ParseTransaction(const json::object& aCall)
{
  store_transaction transaction;
  for (const stored_value& each : ParseValues(aCall, "conditions")) {
    transaction.mConditions.push_back({ each.mKey, each.mModified });
  }
  for (stored_value& each : ParseValues(aCall, "writes")) {
    transaction.mWrites.push_back({ each.mKey, std::move(each.mValue), each.mLease });
  }
  for (const stored_value& each : ParseValues(aCall, "deletes")) {
    transaction.mDeletes.push_back(each.mKey);
  }
  return transaction;
}

http_response ServeCommit(record_store& aStore, const json::object& aCall)
{
  const auto done = aStore.Commit(ParseTransaction(aCall), DeadlineOf(aCall));
  return done ? Success({ { "committed", done.value().mCommitted },
                          { "revision", done.value().mRevision },
                          { "current", ValueArray(done.value().mCurrent) } })
              : Failure(done.error());
}

http_response ServeGrant(record_store& aStore, const json::object& aCall)
{
  const auto lease =
    aStore.Grant(milliseconds(NumberField(aCall, "time_to_live_ms")), DeadlineOf(aCall));
  return lease ? Success({ { "lease", lease.value().mLease },
                           { "time_to_live_ms", lease.value().mTimeToLive.count() } })
               : Failure(lease.error());
}

http_response ServeRenew(record_store& aStore, const json::object& aCall)
{
  const store_lease lease = NumberField(aCall, "lease");
  const auto renewed = aStore.Renew(lease, DeadlineOf(aCall));
  return renewed ? Success({ { "lease", lease }, { "time_to_live_ms", renewed.value().count() } })
                 : Failure(renewed.error());
}

http_response ServeEnd(record_store& aStore, const json::object& aCall)
{
  const auto ended = aStore.Revoke(NumberField(aCall, "lease"), DeadlineOf(aCall));
  return ended ? Success({}) : Failure(ended.error());
}

struct call_handler
{
  std::string_view mName;
  http_response (*mServe)(record_store&, const json::object&);
};

constexpr std::array kHandlers{
  call_handler{ "get", ServeGet },     call_handler{ "list", ServeList },
  call_handler{ "watch", ServeWatch }, call_handler{ "commit", ServeCommit },
  call_handler{ "grant", ServeGrant }, call_handler{ "renew", ServeRenew },
  call_handler{ "end", ServeEnd },
};

relay_call MakeCall(std::string_view aName, const json::object& aBody)
{
  return { std::string(aName), json::serialize(aBody) };
}

// The JSON object of the answer, or the error that the peer reported.
io_result<json::object> ParseAnswer(const http_response& aAnswer)
{
  auto object = ToIoResult([&] { return ParseJsonObject(aAnswer.mBody); });
  if (!object) {
    return IoError(error_kind::kUnknownOutcome, "peer", "the answer is not a JSON object");
  }
  if (aAnswer.mStatus == 200) {
    return std::move(object).value();
  }
  const std::string name = TextField(object.value(), "kind");
  const auto kind =
    std::ranges::find(kErrorKinds, name, [](error_kind aKind) { return ToString(aKind); });
  return IoError(kind == kErrorKinds.end() ? error_kind::kUnknownOutcome : *kind, "peer",
                 TextField(object.value(), "what"));
}

} // namespace

http_response Serve(record_store& aStore, std::string_view aName, std::string_view aBody,
                    const store_view* aView)
{
  const auto served = std::ranges::find(kHandlers, aName, &call_handler::mName);
  const auto body = ToIoResult([&] { return ParseJsonObject(aBody); });
  if (served == kHandlers.end() || !body) {
    return Failure({ error_kind::kInvalid, "peer", "no such call" });
  }
  if (aView != nullptr && MayServeView(*aView, body.value())) {
    if (served->mServe == ServeList) {
      return ListAnswer(aView->List());
    }
    if (served->mServe == ServeWatch) {
      return WatchView(*aView, body.value());
    }
  }
  return served->mServe(aStore, body.value());
}

relay_call MakeGetCall(std::string_view aKey, milliseconds aTimeout)
{
  return MakeCall("get", { { "key", aKey }, { "time_ms", aTimeout.count() } });
}

relay_call MakeListCall(std::string_view aPrefix, store_revision aAtLeast, milliseconds aTimeout)
{
  return MakeCall(
    "list", { { "prefix", aPrefix }, { "at_least", aAtLeast }, { "time_ms", aTimeout.count() } });
}

relay_call MakeWatchCall(std::string_view aPrefix, store_revision aAfter, milliseconds aWait)
{
  return MakeCall("watch", { { "prefix", aPrefix },
                             { "at_least", 0 },
                             { "after", aAfter },
                             { "wait_ms", aWait.count() } });
}

relay_call MakeCommitCall(const store_transaction& aTransaction, milliseconds aTimeout)
{
  json::array conditions;
  for (const store_condition& each : aTransaction.mConditions) {
    conditions.emplace_back(json::object{ { "key", each.mKey }, { "modified", each.mRevision } });
  }
  json::array writes;
  for (const store_write& each : aTransaction.mWrites) {
    writes.emplace_back(json::object{
      { "key", each.mKey }, { "value", EncodeBase64(each.mValue) }, { "lease", each.mLease } });
  }
  json::array deletes;
  for (const std::string& each : aTransaction.mDeletes) {
    deletes.emplace_back(json::object{ { "key", each } });
  }
  return MakeCall("commit", { { "conditions", std::move(conditions) },
                              { "writes", std::move(writes) },
                              { "deletes", std::move(deletes) },
                              { "time_ms", aTimeout.count() } });
}

relay_call MakeGrantCall(milliseconds aTimeToLive, milliseconds aTimeout)
{
  return MakeCall("grant",
                  { { "time_to_live_ms", aTimeToLive.count() }, { "time_ms", aTimeout.count() } });
}

relay_call MakeLeaseCall(std::string_view aName, store_lease aLease, milliseconds aTimeout)
{
  return MakeCall(aName, { { "lease", aLease }, { "time_ms", aTimeout.count() } });
}

io_result<std::optional<stored_value>> ParseGetAnswer(const http_response& aAnswer)
{
  const auto object = ParseAnswer(aAnswer);
  if (!object) {
    return boost::outcome_v2::failure(object.error());
  }
  const json::value* value = object.value().if_contains("value");
  return value == nullptr ? std::optional<stored_value>() : std::optional(ParseValue(*value));
}

io_result<store_listing> ParseListAnswer(const http_response& aAnswer)
{
  const auto object = ParseAnswer(aAnswer);
  if (!object) {
    return boost::outcome_v2::failure(object.error());
  }
  return store_listing{ NumberField(object.value(), "revision"),
                        ParseValues(object.value(), "values") };
}

io_result<watch_result> ParseWatchAnswer(const http_response& aAnswer)
{
  const auto object = ParseAnswer(aAnswer);
  if (!object) {
    return boost::outcome_v2::failure(object.error());
  }
  watch_result answer;
  answer.mCompacted = BooleanField(object.value(), "compacted");
  answer.mRevision = NumberField(object.value(), "revision");
  for (const json::value& each : ArrayField(object.value(), "changes")) {
    const bool deleted = each.is_object() && BooleanField(each.get_object(), "deleted");
    answer.mChanges.push_back({ deleted, ParseValue(each) });
  }
  return answer;
}

io_result<transaction_result> ParseCommitAnswer(const http_response& aAnswer)
{
  const auto object = ParseAnswer(aAnswer);
  if (!object) {
    return boost::outcome_v2::failure(object.error());
  }
  return transaction_result{ BooleanField(object.value(), "committed"),
                             NumberField(object.value(), "revision"),
                             ParseValues(object.value(), "current") };
}

io_result<granted_lease> ParseGrantAnswer(const http_response& aAnswer)
{
  const auto object = ParseAnswer(aAnswer);
  if (!object) {
    return boost::outcome_v2::failure(object.error());
  }
  return granted_lease{ NumberField(object.value(), "lease"),
                        milliseconds(NumberField(object.value(), "time_to_live_ms")) };
}

} // namespace briarwind::store_relay
