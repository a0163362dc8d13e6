#pragma once

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

/// Splits JSON texts into the texts of their elements, without parsing the elements. One element
/// that a parser refuses then does not make the others unreadable.

namespace briarwind {

/// Name, without quotes and with escape sequences as written, and text of the value.
using json_field_text = std::pair<std::string_view, std::string_view>;

/// Returns the texts of an array's elements, or nullopt when the text is no array: its brackets or
/// quotes do not match. The elements themselves are not checked.
std::optional<std::vector<std::string_view>> SplitJsonArray(std::string_view aText);

/// Returns the names and texts of an object's fields, or nullopt when the text is no object.
std::optional<std::vector<json_field_text>> SplitJsonObject(std::string_view aText);

} // namespace briarwind
