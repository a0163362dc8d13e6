#pragma once

#include "briarwind/error.h"

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarwind {

/// Reads a text as one JSON object; fails with kInvalid and the offset of the first mistake.
result<boost::json::object> ParseJsonObject(std::string_view aText);

/// The value as a whole number; nothing for a fraction, a number out of range or another type.
std::optional<std::int64_t> WholeNumber(const boost::json::value& aValue);
/// A field's whole number, also when it is written as a string of digits; the default when the
/// field is absent or of another type.
std::int64_t NumberField(const boost::json::object& aObject, std::string_view aName,
                         std::int64_t aDefault = 0);
/// The same for numbers that fit into an int; the default for all others.
int CountField(const boost::json::object& aObject, std::string_view aName, int aDefault = 0);
std::string TextField(const boost::json::object& aObject, std::string_view aName);
bool SwitchField(const boost::json::object& aObject, std::string_view aName, bool aDefault = false);
/// The inner object of that name; an empty one when there is none.
const boost::json::object& ObjectField(const boost::json::object& aObject, std::string_view aName);
/// The array of that name; an empty one when there is none.
const boost::json::array& ArrayField(const boost::json::object& aObject, std::string_view aName);

} // namespace briarwind
