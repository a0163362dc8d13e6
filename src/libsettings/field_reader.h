#pragma once

#include "briarwind/finding.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace briarwind {

/// Limits of a whole number, both allowed.
struct number_range
{
  std::int64_t mLeast = 0;
  std::int64_t mMost = 0;
};

/// Reads the fields of one JSON object and collects what is wrong with them. Fields that are not
/// there leave their target as it is; fields that were never asked for are findings of Finish.
class field_reader
{
public:
  field_reader(const boost::json::value& aObject, std::string aPlace, findings& aFindings);

  void Read(std::string_view aName, bool& aTarget);
  void Read(std::string_view aName, std::string& aTarget);
  void Read(std::string_view aName, int& aTarget, number_range aRange);
  void Read(std::string_view aName, std::int64_t& aTarget, number_range aRange);
  /// An inner value, or nothing.
  const boost::json::value* Inner(std::string_view aName);
  /// Reports a field that has to be there.
  void Missing(std::string_view aName, std::string aExpected);
  /// Reports the fields that were never asked for.
  void Finish();

  std::string PlaceOf(std::string_view aName) const;

private:
  void Report(std::string_view aName, const boost::json::value& aValue, std::string aExpected);

  const boost::json::object* mObject;
  std::string mPlace;
  findings& mFindings;
  std::set<std::string, std::less<>> mAsked;
};

} // namespace briarwind
