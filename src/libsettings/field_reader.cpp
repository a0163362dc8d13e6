#include "field_reader.h"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace briarwind {

namespace json = boost::json;

field_reader::field_reader(const json::value& aObject, std::string aPlace, findings& aFindings)
  : mObject(aObject.if_object())
  , mPlace(std::move(aPlace))
  , mFindings(aFindings)
{
  if (mObject == nullptr) {
    mFindings.push_back(
      { severity::kError, mPlace, json::serialize(aObject), "expected a JSON object" });
  }
}

std::string field_reader::PlaceOf(std::string_view aName) const
{
  return mPlace + "/" + std::string(aName);
}

void field_reader::ReportInvalid(std::string_view aName, const json::value& aValue,
                                 std::string aExpected)
{
  mFindings.push_back(
    { severity::kError, PlaceOf(aName), json::serialize(aValue), std::move(aExpected) });
}

const json::value* field_reader::FindField(std::string_view aName)
{
  mReadNames.emplace(aName);
  return mObject != nullptr ? mObject->if_contains(aName) : nullptr;
}

void field_reader::Read(std::string_view aName, bool& aTarget)
{
  const json::value* found = FindField(aName);
  if (found == nullptr) {
    return;
  }
  if (!found->is_bool()) {
    ReportInvalid(aName, *found, "expected true or false");
    return;
  }
  aTarget = found->as_bool();
}

void field_reader::Read(std::string_view aName, std::string& aTarget)
{
  const json::value* found = FindField(aName);
  if (found == nullptr) {
    return;
  }
  if (!found->is_string()) {
    ReportInvalid(aName, *found, "expected a string");
    return;
  }
  aTarget = found->as_string();
}

void field_reader::Read(std::string_view aName, std::int64_t& aTarget, number_range aRange)
{
  const json::value* found = FindField(aName);
  if (found == nullptr) {
    return;
  }
  if (!found->is_int64() || found->as_int64() < aRange.mMin || found->as_int64() > aRange.mMax) {
    ReportInvalid(aName, *found,
                  fmt::format("expected an integer from {} to {}", aRange.mMin, aRange.mMax));
    return;
  }
  aTarget = found->as_int64();
}

void field_reader::Read(std::string_view aName, int& aTarget, number_range aRange)
{
  std::int64_t wide = aTarget;
  Read(aName, wide, aRange);
  aTarget = static_cast<int>(wide);
}

void field_reader::ReportMissing(std::string_view aName, std::string aExpected)
{
  mFindings.push_back({ severity::kError, PlaceOf(aName), "", std::move(aExpected) });
}

void field_reader::ReportUnreadFields()
{
  if (mObject == nullptr) {
    return;
  }
  for (const auto& field : *mObject) {
    if (!mReadNames.contains(std::string_view(field.key()))) {
      ReportInvalid(field.key(), field.value(), "unknown setting");
    }
  }
}

} // namespace briarwind
