#include "briarwind/settings_value.h"

#include "field_reader.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace briarwind {

namespace json = boost::json;

namespace {

constexpr number_range kWeightRange{ 1, 1000 };
constexpr number_range kCountRange{ 1, 100'000 };
constexpr number_range kMembersRange{ 1, 1024 };
constexpr number_range kAcceleratorsRange{ 0, 64 };
constexpr number_range kCoresRange{ 0, 4096 };
constexpr number_range kMemoryMbRange{ 0, std::int64_t{ 1 } << 30U };
constexpr number_range kQuotaRange{ 0, 1'000'000 };
constexpr number_range kRequestsRange{ 0, 10'000'000 };
constexpr number_range kSlotsRange{ 1, 4096 };
constexpr number_range kConnectionsRange{ 1, 65'536 };
constexpr std::size_t kMaxReasonBytes = 500;

constexpr std::array kAdjacencies{ adjacency::kNone, adjacency::kDomain, adjacency::kRack,
                                   adjacency::kWorker };

void ReadLimits(field_reader& aReader, request_limits& aLimits, findings& aFindings)
{
  const json::value* found = aReader.FindField("requests");
  if (found == nullptr) {
    return;
  }
  field_reader reader(*found, aReader.PlaceOf("requests"), aFindings);
  reader.Read("perSecond", aLimits.mRequestsPerSecond, kRequestsRange);
  reader.Read("inFlight", aLimits.mRequestsInFlight, kRequestsRange);
  reader.ReportUnreadFields();
}

void ReadShape(field_reader& aReader, resource_shape& aShape, findings& aFindings)
{
  const json::value* found = aReader.FindField("shape");
  if (found == nullptr) {
    aReader.ReportMissing("shape", "expected an object with accelerators, cores and memoryMb");
    return;
  }
  field_reader reader(*found, aReader.PlaceOf("shape"), aFindings);
  reader.Read("accelerators", aShape.mAccelerators, kAcceleratorsRange);
  reader.Read("cores", aShape.mCores, kCoresRange);
  reader.Read("memoryMb", aShape.mMemoryMb, kMemoryMbRange);
  reader.ReportUnreadFields();
  if (aShape == resource_shape{} && !HasErrors(aFindings)) {
    aReader.ReportMissing("shape", "expected at least one resource above 0");
  }
}

void ReadAdjacency(field_reader& aReader, adjacency& aTarget, findings& aFindings)
{
  std::string word(ToString(aTarget));
  aReader.Read("adjacency", word);
  const auto* found = std::ranges::find(
    kAdjacencies, word, [](adjacency aEach) { return std::string(ToString(aEach)); });
  if (found == kAdjacencies.end()) {
    aFindings.push_back({ severity::kError, aReader.PlaceOf("adjacency"), word,
                          "expected none, domain, rack or worker" });
    return;
  }
  aTarget = *found;
}

guarantee ReadGuarantee(const json::value& aValue, const std::string& aPlace, findings& aFindings)
{
  guarantee read;
  field_reader reader(aValue, aPlace, aFindings);
  reader.Read("name", read.mName);
  if (read.mName.empty()) {
    reader.ReportMissing("name", "expected a name that is unique within the organisation");
  }
  reader.Read("count", read.mCount, kCountRange);
  reader.Read("members", read.mMembers, kMembersRange);
  ReadShape(reader, read.mShape, aFindings);
  ReadAdjacency(reader, read.mAdjacency, aFindings);
  reader.ReportUnreadFields();
  return read;
}

void ReadGuarantees(field_reader& aReader, std::vector<guarantee>& aTarget, findings& aFindings)
{
  const json::value* found = aReader.FindField("guarantees");
  if (found == nullptr) {
    return;
  }
  if (!found->is_array()) {
    aReader.ReportMissing("guarantees", "expected an array of guarantees");
    return;
  }
  std::set<std::string> names;
  const std::string place = aReader.PlaceOf("guarantees");
  for (const json::value& each : found->as_array()) {
    const std::string inner = place + "/" + std::to_string(aTarget.size());
    aTarget.push_back(ReadGuarantee(each, inner, aFindings));
    const std::string& name = aTarget.back().mName;
    if (!name.empty() && !names.insert(name).second) {
      aFindings.push_back({ severity::kError, inner + "/name", name,
                            "expected a name that is unique within the organisation" });
    }
  }
}

settings_value ReadOrganisation(const settings_path& aPath, field_reader& aReader,
                                findings& aFindings)
{
  organisation_settings read;
  read.mName = aPath.mName;
  aReader.Read("weight", read.mWeight, kWeightRange);
  ReadGuarantees(aReader, read.mGuarantees, aFindings);
  ReadLimits(aReader, read.mRequests, aFindings);
  return read;
}

settings_value ReadTeam(const settings_path& aPath, field_reader& aReader, findings& aFindings)
{
  team_settings read;
  read.mName = aPath.mName;
  aReader.Read("organisation", read.mOrganisation);
  if (read.mOrganisation.empty()) {
    aReader.ReportMissing("organisation", "expected the name of the team's organisation");
  }
  aReader.Read("acceleratorQuota", read.mAcceleratorQuota, kQuotaRange);
  ReadLimits(aReader, read.mRequests, aFindings);
  return read;
}

settings_value ReadDomain(const settings_path& aPath, field_reader& aReader, findings& aFindings)
{
  domain_settings read;
  read.mName = aPath.mName;
  aReader.Read("withdrawn", read.mWithdrawn);
  aReader.Read("reason", read.mReason);
  if (read.mReason.size() > kMaxReasonBytes) {
    aFindings.push_back(
      { severity::kError, aReader.PlaceOf("reason"), read.mReason, "expected at most 500 bytes" });
  }
  return read;
}

settings_value ReadTarget(const settings_path& aPath, field_reader& aReader, findings&)
{
  target_settings read;
  read.mName = aPath.mName;
  aReader.Read("leaving", read.mLeaving);
  return read;
}

settings_value ReadService(const settings_path& aPath, field_reader& aReader, findings&)
{
  service_settings read;
  read.mName = aPath.mName;
  aReader.Read("slots", read.mSlots, kSlotsRange);
  aReader.Read("connections", read.mConnections, kConnectionsRange);
  return read;
}

using read_function = settings_value (*)(const settings_path&, field_reader&, findings&);

// Indexed by settings_branch.
constexpr std::array<read_function, 5> kReaders{ ReadOrganisation, ReadTeam, ReadDomain, ReadTarget,
                                                 ReadService };

json::object LimitsToJson(const request_limits& aLimits)
{
  return { { "perSecond", aLimits.mRequestsPerSecond }, { "inFlight", aLimits.mRequestsInFlight } };
}

json::object GuaranteeToJson(const guarantee& aGuarantee)
{
  return {
    { "name", aGuarantee.mName },
    { "count", aGuarantee.mCount },
    { "members", aGuarantee.mMembers },
    { "shape", json::object{ { "accelerators", aGuarantee.mShape.mAccelerators },
                             { "cores", aGuarantee.mShape.mCores },
                             { "memoryMb", aGuarantee.mShape.mMemoryMb } } },
    { "adjacency", ToString(aGuarantee.mAdjacency) },
  };
}

json::object FieldsToJson(const organisation_settings& aValue)
{
  json::array guarantees;
  std::ranges::transform(aValue.mGuarantees, std::back_inserter(guarantees), GuaranteeToJson);
  return { { "weight", aValue.mWeight },
           { "guarantees", std::move(guarantees) },
           { "requests", LimitsToJson(aValue.mRequests) } };
}

json::object FieldsToJson(const team_settings& aValue)
{
  return { { "organisation", aValue.mOrganisation },
           { "acceleratorQuota", aValue.mAcceleratorQuota },
           { "requests", LimitsToJson(aValue.mRequests) } };
}

json::object FieldsToJson(const domain_settings& aValue)
{
  return { { "withdrawn", aValue.mWithdrawn }, { "reason", aValue.mReason } };
}

json::object FieldsToJson(const target_settings& aValue)
{
  return { { "leaving", aValue.mLeaving } };
}

json::object FieldsToJson(const service_settings& aValue)
{
  return { { "slots", aValue.mSlots }, { "connections", aValue.mConnections } };
}

// The map of a view that holds subtrees of the type of the second argument.
auto& MapOf(settings_view& aView, const organisation_settings&)
{
  return aView.mOrganisations;
}
auto& MapOf(settings_view& aView, const team_settings&)
{
  return aView.mTeams;
}
auto& MapOf(settings_view& aView, const domain_settings&)
{
  return aView.mDomains;
}
auto& MapOf(settings_view& aView, const target_settings&)
{
  return aView.mTargets;
}
auto& MapOf(settings_view& aView, const service_settings&)
{
  return aView.mServices;
}

template<auto Map>
void EraseFrom(settings_view& aView, const std::string& aName)
{
  (aView.*Map).erase(aName);
}

using erase_function = void (*)(settings_view&, const std::string&);

// Indexed by settings_branch.
constexpr std::array<erase_function, 5> kErasers{
  EraseFrom<&settings_view::mOrganisations>, EraseFrom<&settings_view::mTeams>,
  EraseFrom<&settings_view::mDomains>,       EraseFrom<&settings_view::mTargets>,
  EraseFrom<&settings_view::mServices>,
};

} // namespace

std::optional<settings_value> ParseSettings(const settings_path& aPath, std::string_view aJson,
                                            findings& aFindings)
{
  const std::string place = ToString(SubtreeOf(aPath));
  boost::system::error_code failed;
  const json::value document = json::parse(aJson, failed);
  if (failed) {
    aFindings.push_back({ severity::kError, place, std::string(aJson), "expected valid JSON" });
    return std::nullopt;
  }
  findings found;
  field_reader reader(document, place, found);
  settings_value value = kReaders.at(static_cast<std::size_t>(aPath.mBranch))(aPath, reader, found);
  reader.ReportUnreadFields();
  const bool hasErrors = HasErrors(found);
  std::ranges::move(found, std::back_inserter(aFindings));
  return hasErrors ? std::nullopt : std::optional(std::move(value));
}

std::string ToJson(const settings_value& aValue)
{
  return std::visit([](const auto& aEach) { return json::serialize(FieldsToJson(aEach)); }, aValue);
}

void PutSettings(settings_view& aView, const settings_value& aValue)
{
  std::visit([&](const auto& aEach) { MapOf(aView, aEach)[aEach.mName] = aEach; }, aValue);
}

void EraseSettings(settings_view& aView, const settings_path& aPath)
{
  kErasers.at(static_cast<std::size_t>(aPath.mBranch))(aView, aPath.mName);
}

findings CheckReferences(const settings_view& aView)
{
  findings found;
  for (const auto& [name, team] : aView.mTeams) {
    if (!aView.mOrganisations.contains(team.mOrganisation)) {
      found.push_back({ severity::kError, "/teams/" + name + "/organisation", team.mOrganisation,
                        "expected the name of an existing organisation" });
    }
  }
  return found;
}

} // namespace briarwind
