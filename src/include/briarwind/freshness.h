#pragma once

#include "briarwind/member.h"
#include "briarwind/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace briarwind {

/// A view that was not confirmed for longer than this starts no tasks.
inline constexpr milliseconds kFreshnessBound{ 2'000 };

/// Why a view is, or is not, good enough to start tasks by.
enum class freshness_reason : std::uint8_t
{
  kFresh,
  kNoStoreRead,   ///< this process has not read the store since it started
  kNewerRevision, ///< a member holds a newer revision than this one
  kNotConfirmed,  ///< neither the store nor a majority of the record confirmed it in time
};

std::string_view ToString(freshness_reason aReason);

/// What confirmed a view last.
enum class confirmation_source : std::uint8_t
{
  kNone,
  kStore,
  kPeer,
  kMajority,
};

std::string_view ToString(confirmation_source aSource);

struct freshness_check
{
  freshness_reason mReason = freshness_reason::kNotConfirmed;
  instant mUntil; ///< when fresh: the last instant at which a start may be sent
  confirmation_source mSource = confirmation_source::kNone;

  bool IsFresh() const { return mReason == freshness_reason::kFresh; }
};

/// What one member tells another about its view.
struct freshness_report
{
  std::string mMember;
  store_revision mHeld = 0;              ///< revision of the settings in force
  store_revision mRecord = 0;            ///< revision of the member record that it holds
  bool mHasRead = false;                 ///< it has read the store since it started
  std::optional<duration> mConfirmedAge; ///< time since its view was last confirmed
};

/// Decides whether the settings in force in one process are confirmed to hold every change that was
/// accepted more than a bound ago. A confirmation at an instant c says that no change accepted
/// before c is missing. Pure: instants are handed in.
class freshness
{
public:
  freshness(std::string aSelf, duration aBound);

  /// A read of the store, begun at aBegun, found nothing newer than what is now in force.
  void OnStoreRead(instant aBegun);
  /// A read of the store found older settings than those in force. It confirms nothing, but others
  /// may confirm the view from now on.
  void OnOlderStoreRead();
  /// The settings in force reached a revision.
  void OnHeld(store_revision aRevision);
  void OnRecord(const member_record& aRecord);
  /// A member answered a question that was sent at aAsked.
  void OnReport(const freshness_report& aReport, instant aAsked);

  freshness_check Check(instant aNow) const;
  /// What this process answers to others.
  freshness_report Report(instant aNow) const;
  /// Whether the last report of a member holds the current record.
  bool HoldsRecord(const member& aMember) const;
  const member_record& Record() const { return mRecord; }

private:
  struct heard_report
  {
    freshness_report mReport;
    instant mAsked;
  };

  void Confirm(instant aAt, confirmation_source aSource);
  void ConfirmByMajority();
  bool Supports(const freshness_report& aReport) const;

  std::string mSelf;
  duration mBound;
  member_record mRecord;
  store_revision mHeld = 0;
  store_revision mNewestKnown = 0;
  bool mHasListed = false; ///< has read the store, perhaps an older copy
  bool mHasRead = false;   ///< may confirm the views of others
  std::optional<instant> mConfirmedAt;
  confirmation_source mSource = confirmation_source::kNone;
  std::map<std::string, heard_report> mHeard; // by member id
};

} // namespace briarwind
