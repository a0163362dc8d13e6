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

inline constexpr std::string_view kMembersPrefix = "/briarwind/members/";
/// Read and watched together with the settings, by the prefix kSettingsAndRecordPrefix.
inline constexpr std::string_view kRecordKey = "/briarwind/settings-record";
inline constexpr std::string_view kSettingsAndRecordPrefix = "/briarwind/settings";
/// Members in a record at most; more processes than that ask these few.
inline constexpr std::size_t kMostRecordMembers = 9;

enum class member_kind : std::uint8_t
{
  kRouter,
  kScheduler,
};

/// `router` or `scheduler`.
std::string_view ToString(member_kind aKind);

/// One live process. A restarted process is a new member with a new id.
struct member
{
  std::string mId;
  member_kind mKind = member_kind::kScheduler;
  endpoint mHttp; ///< where it serves HTTP
  endpoint mPeer; ///< where it takes messages of other members
  std::string mDomain;
  std::string mRegion;

  bool operator==(const member&) const = default;
};

std::string MemberKey(std::string_view aId);
std::string Encode(const member& aMember);
/// Fails with kProtocol.
result<member> DecodeMember(std::string_view aText);
/// The members of a listing of kMembersPrefix; values that cannot be read are left out.
std::vector<member> ReadMembers(const store_listing& aListing);

/// The schedulers whose majority carries acceptance and freshness. While one record follows another
/// both sets are listed, and a majority of each is needed.
struct member_record
{
  store_revision mRevision = 0; ///< in the store; 0: there is none yet
  std::vector<member> mMembers;
  std::vector<member> mPrevious; ///< empty once a majority of them holds this record

  bool operator==(const member_record&) const = default;
};

std::string Encode(const member_record& aRecord);
/// Fails with kProtocol.
result<member_record> DecodeMemberRecord(const stored_value& aValue);

/// Members that make a majority of aSize.
constexpr std::size_t MajorityOf(std::size_t aSize)
{
  return aSize / 2 + 1;
}

/// What is known of one member of a record.
using member_check = std::function<bool(const member&)>;

/// Whether no majority of aMembers can be without what aHolds asks for; members that are known to
/// have ended count as holders.
bool HeldByMajority(std::span<const member> aMembers, const member_check& aHolds,
                    const member_check& aHasEnded);

/// HeldByMajority for both sets of a record.
bool HeldByRecord(const member_record& aRecord, const member_check& aHolds,
                  const member_check& aHasEnded);

/// Whether another live member took over a member's address, so that it must have ended.
bool IsReplaced(const member& aMember, std::span<const member> aLive);

/// The record to write next, or nothing while the one there has to stay.
/// @param aLive live members by their keys in the store
/// @param aHolds whether a member holds aCurrent
std::optional<member_record> NextRecord(const member_record& aCurrent,
                                        std::span<const member> aLive, const member_check& aHolds);

} // namespace briarwind
