#include "briarwind/json_fields.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace briarwind {

namespace json = boost::json;

namespace {

std::int64_t ParseInteger(std::string_view aText, std::int64_t aDefault)
{
  std::int64_t number = 0;
  const char* last = aText.data() + aText.size();
  const auto [end, code] = std::from_chars(aText.data(), last, number);
  return code == std::errc{} && end == last ? number : aDefault;
}

} // namespace

result<json::object> ParseJsonObject(std::string_view aText)
{
  json::parser parser;
  boost::system::error_code failed;
  const std::size_t consumed = parser.write_some(aText, failed);
  if (failed || consumed < aText.find_last_not_of(" \t\r\n") + 1) {
    return MakeError(error_kind::kInvalid, "body",
                     fmt::format("no valid JSON, the mistake is near byte {}", consumed));
  }
  json::value read = parser.release();
  if (!read.is_object()) {
    return MakeError(error_kind::kInvalid, "body", "expected a JSON object");
  }
  return std::move(read.as_object());
}

std::optional<std::int64_t> WholeNumber(const json::value& aValue)
{
  boost::system::error_code failed;
  const auto number = aValue.to_number<std::int64_t>(failed);
  return failed ? std::nullopt : std::optional(number);
}

std::int64_t NumberField(const json::object& aObject, std::string_view aName, std::int64_t aDefault)
{
  const json::value* found = aObject.if_contains(aName);
  if (found == nullptr) {
    return aDefault;
  }
  if (const json::string* text = found->if_string()) {
    return ParseInteger(*text, aDefault);
  }
  return WholeNumber(*found).value_or(aDefault);
}

int IntField(const json::object& aObject, std::string_view aName, int aDefault)
{
  const std::int64_t number = NumberField(aObject, aName, aDefault);
  return std::in_range<int>(number) ? static_cast<int>(number) : aDefault;
}

std::string TextField(const json::object& aObject, std::string_view aName)
{
  const json::value* found = aObject.if_contains(aName);
  return found != nullptr && found->is_string() ? std::string(found->as_string()) : std::string();
}

bool BooleanField(const json::object& aObject, std::string_view aName, bool aDefault)
{
  const json::value* found = aObject.if_contains(aName);
  return found != nullptr && found->is_bool() ? found->as_bool() : aDefault;
}

const json::object& ObjectField(const json::object& aObject, std::string_view aName)
{
  static const json::object kEmpty;
  const json::value* found = aObject.if_contains(aName);
  return found != nullptr && found->is_object() ? found->as_object() : kEmpty;
}

const json::array& ArrayField(const json::object& aObject, std::string_view aName)
{
  static const json::array kEmpty;
  const json::value* found = aObject.if_contains(aName);
  return found != nullptr && found->is_array() ? found->as_array() : kEmpty;
}

} // namespace briarwind
