#include "briarwind/job.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace briarwind {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxNameLength = 200;
constexpr int kMaxMembers = 1024;
constexpr std::int64_t kMaxRunTimeMs = 90LL * 24 * 3600 * 1000;
constexpr std::int64_t kMaxMemoryMb = 64LL * 1024 * 1024;
constexpr int kMaxPerMember = 100000;

constexpr std::array kStates{ job_state::kQueued, job_state::kAttempted, job_state::kFinished,
                              job_state::kFailed, job_state::kCancelled, job_state::kUnknown };
constexpr std::array kAdjacencies{ adjacency::kNone, adjacency::kDomain, adjacency::kRack,
                                   adjacency::kWorker };

/// Reads the fields of one object and collects what is wrong with them.
class field_reader
{
public:
  field_reader(const json::object& aFields, findings& aFindings)
    : mFields(aFields)
    , mFindings(aFindings)
  {
  }

  std::string ReadName(std::string_view aField, bool aRequired)
  {
    const json::value* found = mFields.if_contains(aField);
    if (found == nullptr && !aRequired) {
      return {};
    }
    const bool good = found != nullptr && found->is_string() &&
                      found->as_string().size() <= kMaxNameLength &&
                      (!aRequired || !found->as_string().empty());
    if (!good) {
      Report(aField, found, "a text of at most 200 characters");
      return {};
    }
    return std::string(found->as_string());
  }

  std::string ReadText(std::string_view aField)
  {
    const json::value* found = mFields.if_contains(aField);
    if (found == nullptr) {
      return {};
    }
    if (!found->is_string()) {
      Report(aField, found, "a text");
      return {};
    }
    return std::string(found->as_string());
  }

  std::int64_t ReadNumber(std::string_view aField, std::int64_t aMin, std::int64_t aMax,
                          std::int64_t aDefault)
  {
    const json::value* found = mFields.if_contains(aField);
    if (found == nullptr) {
      return aDefault;
    }
    if (!found->is_int64() || found->as_int64() < aMin || found->as_int64() > aMax) {
      Report(aField, found,
             "a whole number from " + std::to_string(aMin) + " to " + std::to_string(aMax));
      return aDefault;
    }
    return found->as_int64();
  }

  bool ReadFlag(std::string_view aField)
  {
    const json::value* found = mFields.if_contains(aField);
    if (found == nullptr) {
      return false;
    }
    if (!found->is_bool()) {
      Report(aField, found, "true or false");
      return false;
    }
    return found->as_bool();
  }

  template<class Enum, std::size_t Size>
  Enum ReadChoice(std::string_view aField, const std::array<Enum, Size>& aChoices)
  {
    const json::value* found = mFields.if_contains(aField);
    if (found == nullptr) {
      return aChoices.front();
    }
    const auto matches = [&](Enum aEach) {
      return found->is_string() && found->as_string() == ToString(aEach);
    };
    const auto choice = std::ranges::find_if(aChoices, matches);
    if (choice == aChoices.end()) {
      Report(aField, found, "one of " + JoinNames(aChoices));
      return aChoices.front();
    }
    return *choice;
  }

  const json::object& ReadObject(std::string_view aField)
  {
    static const json::object kEmpty;
    const json::value* found = mFields.if_contains(aField);
    if (found == nullptr || !found->is_object()) {
      Report(aField, found, "an object");
      return kEmpty;
    }
    return found->get_object();
  }

  void Report(std::string_view aField, const json::value* aValue, std::string aExpected)
  {
    mFindings.push_back({ severity::kError, std::string(aField),
                          aValue != nullptr ? json::serialize(*aValue) : std::string(),
                          std::move(aExpected) });
  }

private:
  template<class Enum, std::size_t Size>
  static std::string JoinNames(const std::array<Enum, Size>& aChoices)
  {
    std::string names;
    for (const Enum each : aChoices) {
      names += (names.empty() ? "" : ", ") + std::string(ToString(each));
    }
    return names;
  }

  const json::object& mFields;
  findings& mFindings;
};

json::object ShapeToJson(const resource_shape& aShape)
{
  return { { "accelerators", aShape.mAccelerators },
           { "cores", aShape.mCores },
           { "memoryMb", aShape.mMemoryMb } };
}

resource_shape ReadShape(const json::object& aFields, findings& aFindings)
{
  field_reader reader(aFields, aFindings);
  resource_shape shape;
  shape.mAccelerators = static_cast<int>(reader.ReadNumber("accelerators", 0, kMaxPerMember, 0));
  shape.mCores = static_cast<int>(reader.ReadNumber("cores", 0, kMaxPerMember, 0));
  shape.mMemoryMb = reader.ReadNumber("memoryMb", 0, kMaxMemoryMb, 0);
  if (shape == resource_shape{}) {
    reader.Report("shape", nullptr, "at least one resource above 0");
  }
  return shape;
}

json::object SpecToJson(const job_spec& aSpec)
{
  return { { "id", aSpec.mId },
           { "organisation", aSpec.mOrganisation },
           { "team", aSpec.mTeam },
           { "members", aSpec.mMembers },
           { "shape", ShapeToJson(aSpec.mShape) },
           { "adjacency", ToString(aSpec.mAdjacency) },
           { "expectedMs", aSpec.mExpected.count() },
           { "urgent", aSpec.mUrgent },
           { "guaranteed", aSpec.mGuaranteed },
           { "repeatable", aSpec.mRepeatable },
           { "checkpoints", aSpec.mCheckpoints },
           { "command", aSpec.mCommand } };
}

job_spec ReadSpec(const json::object& aFields, findings& aFindings)
{
  field_reader reader(aFields, aFindings);
  job_spec spec;
  spec.mId = reader.ReadName("id", true);
  spec.mOrganisation = reader.ReadName("organisation", true);
  spec.mTeam = reader.ReadName("team", false);
  spec.mMembers = static_cast<int>(reader.ReadNumber("members", 1, kMaxMembers, 1));
  spec.mShape = ReadShape(reader.ReadObject("shape"), aFindings);
  spec.mAdjacency = reader.ReadChoice("adjacency", kAdjacencies);
  spec.mExpected = milliseconds(reader.ReadNumber("expectedMs", 0, kMaxRunTimeMs, 0));
  spec.mUrgent = reader.ReadFlag("urgent");
  spec.mGuaranteed = reader.ReadFlag("guaranteed");
  spec.mRepeatable = reader.ReadFlag("repeatable");
  spec.mCheckpoints = reader.ReadFlag("checkpoints");
  spec.mCommand = reader.ReadText("command");
  return spec;
}

json::array PlacementsToJson(const std::vector<member_placement>& aPlacements)
{
  json::array all;
  for (const member_placement& each : aPlacements) {
    all.push_back(json::object{
      { "member", each.mMember }, { "worker", each.mWorker }, { "lease", each.mLease } });
  }
  return all;
}

std::vector<member_placement> ReadPlacements(const json::object& aFields, findings& aFindings)
{
  std::vector<member_placement> placements;
  const json::value* found = aFields.if_contains("placements");
  if (found == nullptr || !found->is_array()) {
    field_reader(aFields, aFindings).Report("placements", found, "an array");
    return placements;
  }
  for (const json::value& each : found->get_array()) {
    static const json::object kEmpty;
    field_reader reader(each.is_object() ? each.get_object() : kEmpty, aFindings);
    placements.push_back({ static_cast<int>(reader.ReadNumber("member", 0, kMaxMembers, 0)),
                           reader.ReadName("worker", true), reader.ReadName("lease", true) });
  }
  return placements;
}

constexpr std::int64_t kAnyNumber = std::numeric_limits<std::int64_t>::max();

} // namespace

std::string FormatJobSpec(const job_spec& aSpec)
{
  return json::serialize(SpecToJson(aSpec));
}

job_spec ParseJobSpec(std::string_view aJson, findings& aFindings)
{
  boost::system::error_code failed;
  const json::value document = json::parse(aJson, failed);
  if (failed || !document.is_object()) {
    aFindings.push_back({ severity::kError, "body", "", "a JSON object" });
    return {};
  }
  return ReadSpec(document.get_object(), aFindings);
}

std::string FormatJobRecord(const job_record& aRecord)
{
  return json::serialize(json::object{ { "spec", SpecToJson(aRecord.mSpec) },
                                       { "state", ToString(aRecord.mState) },
                                       { "attempt", aRecord.mAttempt },
                                       { "failures", aRecord.mFailures },
                                       { "epoch", aRecord.mEpoch },
                                       { "progressMs", aRecord.mProgress.count() },
                                       { "placements", PlacementsToJson(aRecord.mPlacements) },
                                       { "reason", aRecord.mReason },
                                       { "change", aRecord.mChange } });
}

result<job_record> ParseJobRecord(std::string_view aJson)
{
  boost::system::error_code failed;
  const json::value document = json::parse(aJson, failed);
  if (failed || !document.is_object()) {
    return MakeError(error_kind::kProtocol, "job record", "expected a JSON object");
  }
  findings wrong;
  field_reader reader(document.get_object(), wrong);
  job_record record;
  record.mSpec = ReadSpec(reader.ReadObject("spec"), wrong);
  record.mState = reader.ReadChoice("state", kStates);
  record.mAttempt =
    static_cast<int>(reader.ReadNumber("attempt", 0, std::numeric_limits<int>::max(), 0));
  record.mFailures =
    static_cast<int>(reader.ReadNumber("failures", 0, std::numeric_limits<int>::max(), 0));
  record.mEpoch = reader.ReadNumber("epoch", 0, kAnyNumber, 0);
  record.mProgress = milliseconds(reader.ReadNumber("progressMs", 0, kAnyNumber, 0));
  record.mPlacements = ReadPlacements(document.get_object(), wrong);
  record.mReason = reader.ReadText("reason");
  record.mChange = reader.ReadText("change");
  if (HasErrors(wrong)) {
    return MakeError(error_kind::kProtocol, "job record", ToText(wrong));
  }
  return record;
}

} // namespace briarwind
