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

/// The allowed range of an integer, with both limits included.
struct number_range
{
  std::int64_t mMin = 0;
  std::int64_t mMax = 0;
};

/// Reads the fields of one JSON object and appends an error finding for each invalid one. A missing
/// or invalid field leaves its target unchanged. ReportUnreadFields reports the fields that no call
/// has read.
class field_reader
{
public:
  /// Reports a value that is no object; such a value is then read as an object without fields.
  /// @param aPlace path of the object, for the findings
  field_reader(const boost::json::value& aObject, std::string aPlace, findings& aFindings);

  void Read(std::string_view aName, bool& aTarget);
  void Read(std::string_view aName, std::string& aTarget);
  void Read(std::string_view aName, int& aTarget, number_range aRange);
  void Read(std::string_view aName, std::int64_t& aTarget, number_range aRange);
  /// The value of a field, or nullptr when the field is missing.
  const boost::json::value* FindField(std::string_view aName);
  /// Reports a required field as missing.
  void ReportMissing(std::string_view aName, std::string aExpected);
  /// Reports the fields of the object that no call has read, as unknown settings.
  void ReportUnreadFields();

  /// The path of a field, for the findings.
  std::string PlaceOf(std::string_view aName) const;

private:
  void ReportInvalid(std::string_view aName, const boost::json::value& aValue,
                     std::string aExpected);

  const boost::json::object* mObject;
  std::string mPlace;
  findings& mFindings;
  std::set<std::string, std::less<>> mReadNames;
};

} // namespace briarwind
