#pragma once

#include "briarwind/member.h"
#include "briarwind/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace briarwind {

/// A process starts no tasks while its settings view was last confirmed longer ago than this bound.
inline constexpr milliseconds kFreshnessBound{ 2'000 };

/// Why a settings view may, or may not, be used to start tasks.
enum class freshness_reason : std::uint8_t
{
  kFresh,
  kNoStoreRead,   ///< the process has not read the store since it started
  kNewerRevision, ///< another member holds a newer revision of the settings
  kNotConfirmed,  ///< no store read, peer or majority confirmed the view within the bound
};

std::string_view ToString(freshness_reason aReason);

/// What the last confirmation of a view came from.
enum class confirmation_source : std::uint8_t
{
  kNone,     ///< the view was never confirmed
  kStore,    ///< a read of the store
  kPeer,     ///< one member whose own view was confirmed
  kMajority, ///< a majority of the members in the member record
};

std::string_view ToString(confirmation_source aSource);

/// Whether a settings view may be used to start tasks, and until when.
struct freshness_check
{
  freshness_reason mReason = freshness_reason::kNotConfirmed;
  instant mUntil; ///< when fresh: the last instant at which a start of a task may be sent
  confirmation_source mSource = confirmation_source::kNone;

  bool IsFresh() const { return mReason == freshness_reason::kFresh; }
};

/// What one member reports to another about its settings view.
struct freshness_report
{
  std::string mMember;
  store_revision mHeldRevision = 0; ///< revision of the settings in force at the member
  store_revision mRecord = 0;       ///< revision of the member record that the member holds
  bool mHasRead = false;            ///< the member has read the store since it started
  /// Time since the member's view was last confirmed. Nothing when the view was never confirmed or
  /// is certainly stale, or the member has not read the store.
  std::optional<duration> mConfirmedAge;
};

/// Decides whether the settings in force in one process are confirmed to hold every change that was
/// accepted longer ago than a bound. A confirmation at an instant c means that no change accepted
/// before c is missing. The class reads no clock and does no I/O: callers pass all instants in.
class freshness
{
public:
  /// @param aSelf member id of the process
  /// @param aBound how long a confirmation keeps the view fresh
  freshness(std::string aSelf, duration aBound);

  /// Records that a read of the store, begun at aBegun, found nothing newer than the settings now
  /// in force. The read confirms the view as of aBegun.
  void OnStoreRead(instant aBegun);
  /// Records that a read of the store found older settings than those in force. Such a read
  /// confirms nothing, but from then on other members may confirm the view.
  void OnOlderStoreRead();
  /// Records the revision that the settings in force have reached; lower revisions are ignored.
  void OnSettingsApplied(store_revision aRevision);
  /// Replaces the member record, unless aRecord is no newer than the one held.
  void OnMemberRecord(const member_record& aRecord);
  /// Processes the report with which a member answered a request sent at aRequestSentAt.
  void OnReport(const freshness_report& aReport, instant aRequestSentAt);

  /// Whether the view is fresh at aNow.
  freshness_check Check(instant aNow) const;
  /// The report that the process sends to other members at aNow.
  freshness_report Report(instant aNow) const;
  /// Whether the member's last report shows that it holds the current member record, or a newer
  /// one, and has read the store. Always true for the process itself.
  bool HoldsRecord(const member& aMember) const;
  /// The member record held; its revision is 0 while none is known.
  const member_record& Record() const { return mRecord; }

private:
  struct received_report
  {
    freshness_report mReport;
    instant mRequestSentAt;
  };

  void Confirm(instant aAt, confirmation_source aSource);
  void ConfirmByMajority();
  bool CountsTowardsMajority(const freshness_report& aReport) const;

  std::string mSelf;
  duration mBound;
  member_record mRecord;
  store_revision mHeldRevision = 0;
  store_revision mNewestKnownRevision = 0;
  bool mHasReadAnyCopy = false; // has read the store, which may have been an older copy
  bool mHasRead = false;        // has read a store as new as the view; may confirm other views
  std::optional<instant> mConfirmedAt;
  confirmation_source mSource = confirmation_source::kNone;
  std::map<std::string, received_report> mReports; // last report of each member, by member id
};

} // namespace briarwind
