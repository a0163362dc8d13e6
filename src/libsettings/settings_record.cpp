#include "briarwind/settings_record.h"

#include <boost/json.hpp>
#include <fmt/chrono.h>

#include <algorithm>
#include <charconv>

namespace briarwind {

namespace json = boost::json;

namespace {

constexpr std::string_view kErrorPlace = "settings record";

milliseconds SinceEpoch(wall_time aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime.time_since_epoch());
}

json::object EncodeChange(const change_record& aChange)
{
  return {
    { "id", aChange.mId },
    { "author", aChange.mAuthor },
    { "atMs", SinceEpoch(aChange.mAt).count() },
    { "base", std::to_string(aChange.mBase) },
    { "what", aChange.mWhat },
  };
}

result<std::string> StringField(const json::object& aObject, std::string_view aName)
{
  const json::value* found = aObject.if_contains(aName);
  if (found == nullptr || !found->is_string()) {
    return MakeError(error_kind::kProtocol, std::string(kErrorPlace),
                     "expected a string in the field " + std::string(aName));
  }
  return std::string(found->as_string());
}

result<store_revision> ParseRevision(const std::string& aText)
{
  store_revision revision = 0;
  const char* last = aText.data() + aText.size();
  const auto [end, code] = std::from_chars(aText.data(), last, revision);
  if (code != std::errc{} || end != last) {
    return MakeError(error_kind::kProtocol, std::string(kErrorPlace),
                     "expected a revision (a decimal integer) in the field base");
  }
  return revision;
}

result<change_record> DecodeChange(const json::value& aValue)
{
  const json::object* object = aValue.if_object();
  const json::value* atMs = object != nullptr ? object->if_contains("atMs") : nullptr;
  if (atMs == nullptr || !atMs->is_int64()) {
    return MakeError(error_kind::kProtocol, std::string(kErrorPlace),
                     "expected a change to be an object with an integer atMs");
  }
  change_record change;
  BOOST_LEAF_ASSIGN(change.mId, StringField(*object, "id"));
  BOOST_LEAF_ASSIGN(change.mAuthor, StringField(*object, "author"));
  BOOST_LEAF_ASSIGN(change.mWhat, StringField(*object, "what"));
  BOOST_LEAF_AUTO(base, StringField(*object, "base"));
  BOOST_LEAF_ASSIGN(change.mBase, ParseRevision(base));
  change.mAt = wall_time(milliseconds(atMs->as_int64()));
  return change;
}

} // namespace

bool HasChange(const settings_record& aRecord, std::string_view aId)
{
  return std::ranges::find(aRecord.mHistory, aId, &change_record::mId) != aRecord.mHistory.end();
}

std::string Encode(const settings_record& aRecord)
{
  boost::system::error_code ignored;
  json::array history;
  std::ranges::transform(aRecord.mHistory, std::back_inserter(history), EncodeChange);
  const json::object record{
    { "deleted", aRecord.mDeleted },
    { "settings", json::parse(aRecord.mSettings, ignored) },
    { "history", std::move(history) },
  };
  return json::serialize(record);
}

result<settings_record> DecodeSettingsRecord(std::string_view aText)
{
  boost::system::error_code failed;
  const json::value document = json::parse(aText, failed);
  const json::object* object = document.if_object();
  const json::value* settings = object != nullptr ? object->if_contains("settings") : nullptr;
  const json::value* history = object != nullptr ? object->if_contains("history") : nullptr;
  if (failed || settings == nullptr || !settings->is_object() || history == nullptr ||
      !history->is_array()) {
    return MakeError(error_kind::kProtocol, std::string(kErrorPlace),
                     "expected a JSON object with an object settings and an array history");
  }
  settings_record record;
  const json::value* deleted = object->if_contains("deleted");
  record.mDeleted = deleted != nullptr && deleted->is_bool() && deleted->as_bool();
  record.mSettings = json::serialize(*settings);
  for (const json::value& each : history->as_array()) {
    BOOST_LEAF_AUTO(change, DecodeChange(each));
    record.mHistory.push_back(std::move(change));
  }
  return record;
}

std::string ToString(wall_time aTime)
{
  const milliseconds sinceEpoch = SinceEpoch(aTime);
  const auto whole = std::chrono::floor<seconds>(aTime);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(whole)),
                     sinceEpoch.count() % 1000);
}

} // namespace briarwind
