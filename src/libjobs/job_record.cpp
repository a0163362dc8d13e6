#include "briarwind/job.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace briarwind {

namespace json = boost::json;

namespace {

constexpr std::size_t kLongestName = 200;
constexpr int kMostMembers = 1024;
constexpr std::int64_t kLongestRunMs = 90LL * 24 * 3600 * 1000;
constexpr std::int64_t kMostMemoryMb = 64LL * 1024 * 1024;
constexpr int kMostPerMember = 100000;

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

  std::string Name(std::string_view aField, bool aRequired)
  {
    const json::value* found = mFields.if_contains(aField);
    if (found == nullptr && !aRequired) {
      return {};
    }
    const bool good = found != nullptr && found->is_string() &&
                      found->as_string().size() <= kLongestName &&
                      (!aRequired || !found->as_string().empty());
    if (!good) {
      Report(aField, found, "a text of at most 200 characters");
      return {};
    }
    return std::string(found->as_string());
  }

  std::string Text(std::string_view aField)
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

  std::int64_t Number(std::string_view aField, std::int64_t aLeast, std::int64_t aMost,
                      std::int64_t aDefault)
  {
    const json::value* found = mFields.if_contains(aField);
    if (found == nullptr) {
      return aDefault;
    }
    if (!found->is_int64() || found->as_int64() < aLeast || found->as_int64() > aMost) {
      Report(aField, found,
             "a whole number from " + std::to_string(aLeast) + " to " + std::to_string(aMost));
      return aDefault;
    }
    return found->as_int64();
  }

  bool Flag(std::string_view aField)
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
  Enum Choice(std::string_view aField, const std::array<Enum, Size>& aChoices)
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
      Report(aField, found, "one of " + Names(aChoices));
      return aChoices.front();
    }
    return *choice;
  }

  const json::object& Object(std::string_view aField)
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
  static std::string Names(const std::array<Enum, Size>& aChoices)
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
  field_reader read(aFields, aFindings);
  resource_shape shape;
  shape.mAccelerators = static_cast<int>(read.Number("accelerators", 0, kMostPerMember, 0));
  shape.mCores = static_cast<int>(read.Number("cores", 0, kMostPerMember, 0));
  shape.mMemoryMb = read.Number("memoryMb", 0, kMostMemoryMb, 0);
  if (shape == resource_shape{}) {
    read.Report("shape", nullptr, "at least one resource above 0");
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
  field_reader read(aFields, aFindings);
  job_spec spec;
  spec.mId = read.Name("id", true);
  spec.mOrganisation = read.Name("organisation", true);
  spec.mTeam = read.Name("team", false);
  spec.mMembers = static_cast<int>(read.Number("members", 1, kMostMembers, 1));
  spec.mShape = ReadShape(read.Object("shape"), aFindings);
  spec.mAdjacency = read.Choice("adjacency", kAdjacencies);
  spec.mExpected = milliseconds(read.Number("expectedMs", 0, kLongestRunMs, 0));
  spec.mUrgent = read.Flag("urgent");
  spec.mGuaranteed = read.Flag("guaranteed");
  spec.mRepeatable = read.Flag("repeatable");
  spec.mCheckpoints = read.Flag("checkpoints");
  spec.mCommand = read.Text("command");
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
    field_reader read(each.is_object() ? each.get_object() : kEmpty, aFindings);
    placements.push_back({ static_cast<int>(read.Number("member", 0, kMostMembers, 0)),
                           read.Name("worker", true), read.Name("lease", true) });
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
  field_reader read(document.get_object(), wrong);
  job_record record;
  record.mSpec = ReadSpec(read.Object("spec"), wrong);
  record.mState = read.Choice("state", kStates);
  record.mAttempt = static_cast<int>(read.Number("attempt", 0, std::numeric_limits<int>::max(), 0));
  record.mFailures =
    static_cast<int>(read.Number("failures", 0, std::numeric_limits<int>::max(), 0));
  record.mEpoch = read.Number("epoch", 0, kAnyNumber, 0);
  record.mProgress = milliseconds(read.Number("progressMs", 0, kAnyNumber, 0));
  record.mPlacements = ReadPlacements(document.get_object(), wrong);
  record.mReason = read.Text("reason");
  record.mChange = read.Text("change");
  if (HasErrors(wrong)) {
    return MakeError(error_kind::kProtocol, "job record", ToText(wrong));
  }
  return record;
}

} // namespace briarwind
