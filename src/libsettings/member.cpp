#include "briarwind/member.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace briarwind {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 2> kKindNames{ "router", "scheduler" };

json::object ToJsonObject(const member& aMember)
{
  return {
    { "id", aMember.mId },
    { "kind", ToString(aMember.mKind) },
    { "http", ToString(aMember.mHttp) },
    { "peer", ToString(aMember.mPeer) },
    { "domain", aMember.mDomain },
    { "region", aMember.mRegion },
  };
}

json::array ToJsonArray(std::span<const member> aMembers)
{
  json::array array;
  std::ranges::transform(aMembers, std::back_inserter(array), ToJsonObject);
  return array;
}

std::string TextOrEmpty(const json::object& aObject, std::string_view aName)
{
  const json::value* found = aObject.if_contains(aName);
  return found != nullptr && found->is_string() ? std::string(found->as_string()) : std::string();
}

result<member> ReadMember(const json::value& aValue)
{
  if (!aValue.is_object()) {
    return MakeError(error_kind::kProtocol, "member", "expected a JSON object");
  }
  const json::object& object = aValue.as_object();
  member read;
  read.mId = TextOrEmpty(object, "id");
  const std::string kind = TextOrEmpty(object, "kind");
  const auto* found = std::ranges::find(kKindNames, kind);
  if (read.mId.empty() || found == kKindNames.end()) {
    return MakeError(error_kind::kProtocol, "member",
                     "expected a non-empty id and the kind router or scheduler");
  }
  read.mKind = static_cast<member_kind>(found - kKindNames.begin());
  BOOST_LEAF_ASSIGN(read.mHttp, ParseEndpoint(TextOrEmpty(object, "http")));
  BOOST_LEAF_ASSIGN(read.mPeer, ParseEndpoint(TextOrEmpty(object, "peer")));
  read.mDomain = TextOrEmpty(object, "domain");
  read.mRegion = TextOrEmpty(object, "region");
  return read;
}

result<std::vector<member>> ReadMemberArray(const json::object& aObject, std::string_view aName)
{
  std::vector<member> members;
  const json::value* found = aObject.if_contains(aName);
  if (found == nullptr || !found->is_array()) {
    return MakeError(error_kind::kProtocol, "member record", "expected an array of members");
  }
  for (const json::value& each : found->as_array()) {
    BOOST_LEAF_AUTO(one, ReadMember(each));
    members.push_back(std::move(one));
  }
  return members;
}

bool Contains(std::span<const member> aMembers, const member& aMember)
{
  return std::ranges::find(aMembers, aMember.mId, &member::mId) != aMembers.end();
}

// Picks schedulers in rounds of one per failure domain, so that the loss of one domain removes as
// few members as possible. Members of the current record come first within each
// domain and round, so that they stay.
std::vector<member> PickMembers(const member_record& aCurrent, std::span<const member> aLive)
{
  std::vector<member> candidates;
  std::ranges::copy_if(aLive, std::back_inserter(candidates), [](const member& aMember) {
    return aMember.mKind == member_kind::kScheduler;
  });
  std::ranges::sort(candidates, {}, &member::mId);
  std::ranges::stable_partition(
    candidates, [&](const member& aMember) { return Contains(aCurrent.mMembers, aMember); });
  std::map<std::string, std::size_t> countByDomain;
  std::vector<std::pair<std::size_t, member>> ranked;
  for (member& each : candidates) {
    const std::size_t round = countByDomain[each.mDomain]++;
    ranked.emplace_back(round, std::move(each));
  }
  std::ranges::stable_sort(ranked, {}, [](const auto& aRanked) { return aRanked.first; });
  ranked.resize(std::min(ranked.size(), kMaxRecordMembers));
  std::vector<member> picked;
  std::ranges::transform(ranked, std::back_inserter(picked),
                         [](auto& aRanked) { return std::move(aRanked.second); });
  std::ranges::sort(picked, {}, &member::mId);
  return picked;
}

} // namespace

std::string_view ToString(member_kind aKind)
{
  return kKindNames.at(static_cast<std::size_t>(aKind));
}

std::string MemberKey(std::string_view aId)
{
  return std::string(kMembersPrefix) + std::string(aId);
}

std::string Encode(const member& aMember)
{
  return json::serialize(ToJsonObject(aMember));
}

result<member> DecodeMember(std::string_view aText)
{
  boost::system::error_code failed;
  const json::value document = json::parse(aText, failed);
  if (failed) {
    return MakeError(error_kind::kProtocol, "member", "expected valid JSON");
  }
  return ReadMember(document);
}

std::vector<member> ReadMembers(const store_listing& aListing)
{
  std::vector<member> members;
  for (const stored_value& each : aListing.mValues) {
    auto read = ToIoResult([&] { return DecodeMember(each.mValue); });
    if (read) {
      members.push_back(std::move(read).value());
    }
  }
  return members;
}

std::string Encode(const member_record& aRecord)
{
  return json::serialize(json::object{ { "members", ToJsonArray(aRecord.mMembers) },
                                       { "previous", ToJsonArray(aRecord.mPrevious) } });
}

result<member_record> DecodeMemberRecord(const stored_value& aValue)
{
  boost::system::error_code failed;
  const json::value document = json::parse(aValue.mValue, failed);
  if (failed || !document.is_object()) {
    return MakeError(error_kind::kProtocol, "member record", "expected a JSON object");
  }
  member_record record;
  record.mRevision = aValue.mModified;
  BOOST_LEAF_ASSIGN(record.mMembers, ReadMemberArray(document.as_object(), "members"));
  BOOST_LEAF_ASSIGN(record.mPrevious, ReadMemberArray(document.as_object(), "previous"));
  return record;
}

bool HeldByMajority(std::span<const member> aMembers, const member_check& aHolds,
                    const member_check& aHasEnded)
{
  const auto count = std::ranges::count_if(
    aMembers, [&](const member& aMember) { return aHolds(aMember) || aHasEnded(aMember); });
  return static_cast<std::size_t>(count) >= MajorityOf(aMembers.size());
}

bool HeldByRecordMajorities(const member_record& aRecord, const member_check& aHolds,
                            const member_check& aHasEnded)
{
  return HeldByMajority(aRecord.mMembers, aHolds, aHasEnded) &&
         (aRecord.mPrevious.empty() || HeldByMajority(aRecord.mPrevious, aHolds, aHasEnded));
}

bool IsReplaced(const member& aMember, std::span<const member> aLive)
{
  return std::ranges::any_of(aLive, [&](const member& aOther) {
    return aOther.mPeer == aMember.mPeer && aOther.mId != aMember.mId;
  });
}

std::optional<member_record> NextRecord(const member_record& aCurrent,
                                        std::span<const member> aLive, const member_check& aHolds)
{
  if (!aCurrent.mPrevious.empty()) {
    const member_check hasEnded = [&](const member& aMember) { return IsReplaced(aMember, aLive); };
    if (!HeldByRecordMajorities(aCurrent, aHolds, hasEnded)) {
      return std::nullopt;
    }
    return member_record{ 0, aCurrent.mMembers, {} };
  }
  std::vector<member> picked = PickMembers(aCurrent, aLive);
  if (picked.empty() || picked == aCurrent.mMembers) {
    return std::nullopt;
  }
  return member_record{ 0, std::move(picked), aCurrent.mMembers };
}

} // namespace briarwind
