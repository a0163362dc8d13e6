#include "briarwind/settings_change.h"

#include <boost/json.hpp>

#include <algorithm>
#include <map>

namespace briarwind {

namespace json = boost::json;

namespace {

using leaves = std::map<std::string, std::string>;

void CollectLeaves(const json::value& aValue, const std::string& aPlace, leaves& aFound)
{
  const json::object* object = aValue.if_object();
  if (object == nullptr || object->empty()) {
    aFound[aPlace] = json::serialize(aValue);
    return;
  }
  for (const auto& field : *object) {
    CollectLeaves(field.value(), aPlace + "/" + std::string(field.key()), aFound);
  }
}

leaves LeavesOf(std::string_view aJson)
{
  boost::system::error_code failed;
  const json::value document = json::parse(aJson, failed);
  leaves found;
  if (!failed && !(document.is_object() && document.as_object().empty())) {
    CollectLeaves(document, "", found);
  }
  return found;
}

std::string LeafOrEmpty(const leaves& aLeaves, const std::string& aPlace)
{
  const auto found = aLeaves.find(aPlace);
  return found == aLeaves.end() ? std::string() : found->second;
}

// Sets the field at the path aField and creates missing objects on the path. Returns false when a
// value on the path is no object or a segment of the path is empty.
bool SetField(json::value& aDocument, std::string_view aField, const json::value& aValue)
{
  json::value* at = &aDocument;
  while (!aField.empty()) {
    aField.remove_prefix(1);
    const std::size_t end = std::min(aField.find('/'), aField.size());
    if (at->is_null()) {
      at->emplace_object();
    }
    if (!at->is_object() || end == 0) {
      return false;
    }
    at = &at->as_object()[aField.substr(0, end)];
    aField.remove_prefix(end);
  }
  *at = aValue;
  return true;
}

// Removes a field from its object, so that the field's default applies.
void EraseField(json::value& aDocument, const std::string& aField)
{
  boost::system::error_code ignored;
  const std::size_t slash = aField.rfind('/');
  json::value* parent = aDocument.find_pointer(aField.substr(0, slash), ignored);
  if (parent != nullptr && parent->is_object()) {
    parent->as_object().erase(aField.substr(slash + 1));
  }
}

// The JSON of the subtree after one of its fields was set, or deleted when the request has no
// value.
std::string SettingsWithField(const std::string& aSettings, const change_request& aRequest,
                              findings& aFindings)
{
  const std::string place = ToString(aRequest.mPath);
  boost::system::error_code failed;
  json::value document = json::parse(aSettings, failed);
  if (!aRequest.mValue) {
    EraseField(document, aRequest.mPath.mField);
    return json::serialize(document);
  }
  const json::value value = json::parse(*aRequest.mValue, failed);
  if (failed) {
    aFindings.push_back({ severity::kError, place, *aRequest.mValue, "expected valid JSON" });
    return aSettings;
  }
  if (!SetField(document, aRequest.mPath.mField, value)) {
    aFindings.push_back({ severity::kError, place, *aRequest.mValue, "unknown setting" });
  }
  return json::serialize(document);
}

void CheckResultingView(const settings_book& aBook, const change_request& aRequest,
                        const view_check& aCheck, change_plan& aPlan)
{
  settings_view view = *aBook.View();
  if (aPlan.mRecord.mDeleted) {
    EraseSettings(view, aRequest.mPath);
  } else if (const auto value =
               ParseSettings(aRequest.mPath, aPlan.mRecord.mSettings, aPlan.mFindings)) {
    PutSettings(view, *value);
    aPlan.mRecord.mSettings = ToJson(*value);
  }
  std::ranges::move(CheckReferences(view), std::back_inserter(aPlan.mFindings));
  if (aCheck) {
    std::ranges::move(aCheck(view), std::back_inserter(aPlan.mFindings));
  }
}

void PrependToHistory(settings_record& aRecord, change_record aChange)
{
  aRecord.mHistory.insert(aRecord.mHistory.begin(), std::move(aChange));
  if (aRecord.mHistory.size() > kHistoryLength) {
    aRecord.mHistory.resize(kHistoryLength);
  }
}

} // namespace

std::vector<setting_difference> DifferencesBetween(std::string_view aBefore,
                                                   std::string_view aAfter)
{
  const leaves before = LeavesOf(aBefore);
  const leaves after = LeavesOf(aAfter);
  leaves places = before;
  places.insert(after.begin(), after.end());
  std::vector<setting_difference> differences;
  for (const auto& [place, ignored] : places) {
    setting_difference each{ place, LeafOrEmpty(before, place), LeafOrEmpty(after, place) };
    if (each.mBefore != each.mAfter) {
      differences.push_back(std::move(each));
    }
  }
  return differences;
}

std::string ToText(const std::vector<setting_difference>& aDifferences)
{
  std::string text;
  for (const setting_difference& each : aDifferences) {
    text += text.empty() ? "" : "; ";
    text += each.mPlace + ": " + (each.mBefore.empty() ? "none" : each.mBefore) + " -> " +
            (each.mAfter.empty() ? "none" : each.mAfter);
  }
  return text;
}

change_plan PlanChange(const settings_book& aBook, const change_request& aRequest,
                       const view_check& aCheck)
{
  const settings_book::entry* held = aBook.Find(aRequest.mPath);
  change_plan plan;
  plan.mBase = held != nullptr ? held->mRevision : 0;
  if (held != nullptr) {
    plan.mRecord = held->mRecord;
  }
  const std::string before = plan.mRecord.mDeleted ? "{}" : plan.mRecord.mSettings;
  const bool isField = !aRequest.mPath.mField.empty();
  plan.mRecord.mDeleted = !isField && !aRequest.mValue;
  if (isField) {
    plan.mRecord.mSettings = SettingsWithField(before, aRequest, plan.mFindings);
  } else {
    plan.mRecord.mSettings = aRequest.mValue.value_or("{}");
  }
  CheckResultingView(aBook, aRequest, aCheck, plan);
  const std::string what =
    plan.mRecord.mDeleted ? "deleted" : ToText(DifferencesBetween(before, plan.mRecord.mSettings));
  PrependToHistory(plan.mRecord,
                   { aRequest.mId, aRequest.mAuthor, aRequest.mAt, plan.mBase, what });
  return plan;
}

} // namespace briarwind
