#pragma once

#include "briarwind/config_store.h"
#include "briarwind/endpoint.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// Prefix of the store keys under which live members register.
inline constexpr std::string_view kMembersPrefix = "/briarwind/members/";
/// Store key of the member record. kSettingsAndRecordPrefix covers the record and the settings, so
/// that one listing or watch returns both.
inline constexpr std::string_view kMemberRecordKey = "/briarwind/settings-record";
inline constexpr std::string_view kSettingsAndRecordPrefix = "/briarwind/settings";
/// Upper limit on the number of members in a record. Processes beyond the limit are not in the
/// record; they query its members instead.
inline constexpr std::size_t kMaxRecordMembers = 9;

/// Which program a member runs.
enum class member_kind : std::uint8_t
{
  kRouter,
  kScheduler,
};

/// The name of a kind: `router` or `scheduler`.
std::string_view ToString(member_kind aKind);

/// One running router or scheduler process. A restarted process is a new member with a new id.
struct member
{
  std::string mId;
  member_kind mKind = member_kind::kScheduler;
  endpoint mHttp;      ///< where the process serves HTTP
  endpoint mPeer;      ///< where the process receives messages from other members
  std::string mDomain; ///< its failure domain
  std::string mRegion;

  bool operator==(const member&) const = default;
};

/// The store key under which the member with this id registers.
std::string MemberKey(std::string_view aId);
/// JSON for the store.
std::string Encode(const member& aMember);
/// Decodes what Encode wrote. Fails with kProtocol when the text is not JSON, or has no id or known
/// kind; fails as ParseEndpoint does when an address is malformed.
result<member> DecodeMember(std::string_view aText);
/// Decodes the members in a listing of kMembersPrefix; values that cannot be decoded are left out.
std::vector<member> ReadMembers(const store_listing& aListing);

/// The schedulers whose majority decides whether a settings change is accepted and whether a view
/// is fresh. While the set changes, the record lists both the new and the previous set, and a
/// majority of each is needed (as in joint consensus).
struct member_record
{
  store_revision mRevision = 0; ///< revision in the store; 0: no record exists yet
  std::vector<member> mMembers;
  /// The previous set. Dropped once majorities of both sets hold the record that lists them; empty
  /// then.
  std::vector<member> mPrevious;

  bool operator==(const member_record&) const = default;
};

/// JSON for the store, without the revision.
std::string Encode(const member_record& aRecord);
/// Decodes a record and takes its revision from aValue. Fails with kProtocol when the value is not
/// a JSON object with the arrays `members` and `previous`, and as DecodeMember does for a member.
result<member_record> DecodeMemberRecord(const stored_value& aValue);

/// The smallest number of members that is a majority of aSize members.
constexpr std::size_t MajorityOf(std::size_t aSize)
{
  return aSize / 2 + 1;
}

/// A predicate on one member of a record.
using member_check = std::function<bool(const member&)>;

/// Whether a majority of aMembers satisfies aHolds or aHasEnded. Members that are known to have
/// ended count as holders because they cannot belong to a majority that lacks what aHolds checks
/// for.
bool HeldByMajority(std::span<const member> aMembers, const member_check& aHolds,
                    const member_check& aHasEnded);

/// Whether HeldByMajority is true of the members of a record and, when it lists a previous set, of
/// that set too.
bool HeldByRecordMajorities(const member_record& aRecord, const member_check& aHolds,
                            const member_check& aHasEnded);

/// Whether another live member listens on the peer address of aMember, so that aMember must have
/// ended.
bool IsReplaced(const member& aMember, std::span<const member> aLive);

/// The member record to write after aCurrent, or nothing while aCurrent has to stay. A new set is
/// first written together with the previous one; the previous set is dropped once majorities of
/// both sets hold the record that lists them.
/// @param aLive live members, as registered in the store
/// @param aHolds whether a member holds aCurrent
std::optional<member_record> NextRecord(const member_record& aCurrent,
                                        std::span<const member> aLive, const member_check& aHolds);

} // namespace briarwind
