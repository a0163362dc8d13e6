#include "briarwind/json_split.h"

#include <algorithm>
#include <cstddef>

namespace briarwind {

namespace {

constexpr std::string_view kSpace = " \t\r\n";

std::string_view Trim(std::string_view aText)
{
  const std::size_t begin = aText.find_first_not_of(kSpace);
  return begin == std::string_view::npos
           ? std::string_view()
           : aText.substr(begin, aText.find_last_not_of(kSpace) + 1 - begin);
}

// Returns the position after the string that begins with a quote at aBegin.
std::optional<std::size_t> SkipString(std::string_view aText, std::size_t aBegin)
{
  for (std::size_t at = aBegin + 1; at < aText.size(); ++at) {
    if (aText[at] == '\\') {
      ++at;
    } else if (aText[at] == '"') {
      return at + 1;
    }
  }
  return std::nullopt;
}

// Splits the text between two brackets at the commas outside of strings and inner brackets. Counts
// brackets instead of recursing, so that the depth of nesting is not limited.
std::optional<std::vector<std::string_view>> SplitBracketed(std::string_view aText, char aOpen,
                                                            char aClose)
{
  const std::string_view text = Trim(aText);
  if (text.size() < 2 || text.front() != aOpen || text.back() != aClose) {
    return std::nullopt;
  }
  const std::string_view inner = text.substr(1, text.size() - 2);
  std::vector<std::string_view> parts;
  std::size_t begin = 0;
  std::size_t depth = 0;
  std::size_t at = 0;
  while (at < inner.size()) {
    const char each = inner[at];
    if (each == '"') {
      const auto end = SkipString(inner, at);
      if (!end) {
        return std::nullopt;
      }
      at = *end;
      continue;
    }
    if (each == '[' || each == '{') {
      ++depth;
    } else if (each == ']' || each == '}') {
      if (depth == 0) {
        return std::nullopt;
      }
      --depth;
    } else if (each == ',' && depth == 0) {
      parts.push_back(Trim(inner.substr(begin, at - begin)));
      begin = at + 1;
    }
    ++at;
  }
  if (depth != 0) {
    return std::nullopt;
  }
  const std::string_view last = Trim(inner.substr(begin));
  if (!parts.empty() || !last.empty()) {
    parts.push_back(last);
  }
  return parts;
}

std::optional<json_field_text> SplitField(std::string_view aText)
{
  const auto end = aText.starts_with('"') ? SkipString(aText, 0) : std::nullopt;
  if (!end) {
    return std::nullopt;
  }
  const std::string_view rest = Trim(aText.substr(*end));
  if (!rest.starts_with(':')) {
    return std::nullopt;
  }
  return json_field_text{ aText.substr(1, *end - 2), Trim(rest.substr(1)) };
}

} // namespace

std::optional<std::vector<std::string_view>> SplitJsonArray(std::string_view aText)
{
  return SplitBracketed(aText, '[', ']');
}

std::optional<std::vector<json_field_text>> SplitJsonObject(std::string_view aText)
{
  const auto parts = SplitBracketed(aText, '{', '}');
  if (!parts) {
    return std::nullopt;
  }
  std::vector<json_field_text> fields;
  for (const std::string_view part : *parts) {
    const auto field = SplitField(part);
    if (!field) {
      return std::nullopt;
    }
    fields.push_back(*field);
  }
  return fields;
}

} // namespace briarwind
