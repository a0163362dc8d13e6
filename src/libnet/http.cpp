#include "briarwind/http.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <ranges>
#include <utility>

namespace briarwind {

namespace json = boost::json;

namespace {

auto HasName(std::string_view aName)
{
  return
    [aName](const http_header& aField) { return boost::algorithm::iequals(aField.mName, aName); };
}

// Decodes `%41` to `A` and `+` to a space. A malformed escape sequence is copied unchanged.
std::string PercentDecode(std::string_view aText)
{
  constexpr int kHexBase = 16;
  std::string decoded;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    unsigned char byte = 0;
    const bool isEscape = aText[at] == '%' && at + 2 < aText.size();
    const char* hexDigits = aText.data() + at + 1;
    if (isEscape &&
        std::from_chars(hexDigits, hexDigits + 2, byte, kHexBase).ptr == hexDigits + 2) {
      decoded.push_back(static_cast<char>(byte));
      at += 2;
    } else {
      decoded.push_back(aText[at] == '+' ? ' ' : aText[at]);
    }
  }
  return decoded;
}

} // namespace

std::optional<std::string_view> http_headers::Find(std::string_view aName) const
{
  const auto found = std::ranges::find_if(mFields, HasName(aName));
  if (found == mFields.end()) {
    return std::nullopt;
  }
  return found->mValue;
}

void http_headers::Set(std::string_view aName, std::string_view aValue)
{
  Erase(aName);
  Add(aName, aValue);
}

void http_headers::Add(std::string_view aName, std::string_view aValue)
{
  mFields.push_back({ std::string(aName), std::string(aValue) });
}

void http_headers::Erase(std::string_view aName)
{
  std::erase_if(mFields, HasName(aName));
}

http_response JsonResponse(unsigned aStatus, std::string aBody)
{
  http_response response;
  response.mStatus = aStatus;
  response.mHeaders.Add("Content-Type", "application/json");
  response.mBody = std::move(aBody);
  return response;
}

http_response ErrorResponse(unsigned aStatus, const error& aError)
{
  const json::object detail{ { "kind", ToString(aError.mKind) },
                             { "where", aError.mWhere },
                             { "what", aError.mWhat } };
  return JsonResponse(aStatus, json::serialize(json::object{ { "error", detail } }));
}

std::string_view TargetPath(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::optional<std::string> QueryParameter(std::string_view aTarget, std::string_view aName)
{
  const std::size_t queryStart = aTarget.find('?');
  if (queryStart == std::string_view::npos) {
    return std::nullopt;
  }
  for (const auto part : aTarget.substr(queryStart + 1) | std::views::split('&')) {
    const std::string_view pair(part.begin(), part.end());
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == aName) {
      return PercentDecode(pair.substr(std::min(equals + 1, pair.size())));
    }
  }
  return std::nullopt;
}

} // namespace briarwind
