#pragma once

#include "briarwind/error.h"

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarwind {

/// Parses a text as one JSON object. Fails with kInvalid when it is not; for a syntax error the
/// message gives the byte offset at which parsing stopped.
result<boost::json::object> ParseJsonObject(std::string_view aText);

/// Returns the value as a 64-bit integer, or nullopt when it is a fraction, out of range or not a
/// number.
std::optional<std::int64_t> WholeNumber(const boost::json::value& aValue);

/// Returns an integer field, also when it is written as a string of digits. Returns the default
/// when the field is absent or holds anything else.
std::int64_t NumberField(const boost::json::object& aObject, std::string_view aName,
                         std::int64_t aDefault = 0);

/// Like NumberField, but returns the default also for numbers that do not fit into an int.
int IntField(const boost::json::object& aObject, std::string_view aName, int aDefault = 0);

/// Returns a string field, or an empty string when the field is absent or not a string.
std::string TextField(const boost::json::object& aObject, std::string_view aName);

/// Returns a Boolean field, or the default when the field is absent or not a Boolean.
bool BooleanField(const boost::json::object& aObject, std::string_view aName,
                  bool aDefault = false);

/// Returns an object field, or an empty object when the field is absent or not an object.
const boost::json::object& ObjectField(const boost::json::object& aObject, std::string_view aName);

/// Returns an array field, or an empty array when the field is absent or not an array.
const boost::json::array& ArrayField(const boost::json::object& aObject, std::string_view aName);

} // namespace briarwind
