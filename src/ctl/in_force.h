#pragma once

#include "ctl_command.h"

#include "briarwind/freshness.h"
#include "briarwind/member.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarwind {

/// The last answer of one member about its settings.
struct member_answer
{
  member mMember;
  std::optional<freshness_report> mReport; ///< empty when the member did not answer
  std::string mFreshness;                  ///< `fresh`, or why the member's view is not
  bool mHoldsChange = false;               ///< whether the member holds the awaited change
};

/// A stored change whose propagation to the members is followed. Members are matched by the change
/// id rather than the revision, because a store restored from an older copy assigns the same
/// revisions again.
struct awaited_change
{
  std::string mKey; ///< store key of the subtree
  std::string mId;  ///< id of the change
  store_revision mRevision = 0;
};

/// Polls members for the revisions that they have in force.
class in_force_poll
{
public:
  /// @param aChange the change that the answers are searched for; without it only revisions are
  /// read
  explicit in_force_poll(ctl_context& aContext, std::optional<awaited_change> aChange = {});

  /// Reads the live members and the member record from the store. Whichever of the two cannot be
  /// read keeps its previous value.
  void ReadMembers(instant aDeadline);
  /// Polls all live members, all members of the record and all addresses of --peers concurrently.
  /// Replaces the previous answers. Suspends the calling fiber.
  void PollMembers(instant aDeadline);

  const std::vector<member_answer>& Answers() const { return mAnswers; }
  const member_record& Record() const { return mRecord; }
  /// Whether the live members were read from the store at least once.
  bool HasReadMembers() const { return mHasReadMembers; }

  /// Whether a majority of the record holds the change. From kFreshnessBound later on, no member
  /// can start a task that contradicts the change. False while the record is unknown or empty.
  bool IsAccepted() const;
  /// Live members that do not hold the change or did not answer. All polled members count as live
  /// until the live members were read.
  std::vector<member_answer> MembersWithoutChange() const;
  /// Whether all live members hold aRevision or a higher one.
  bool AllHoldRevision(store_revision aRevision) const;

private:
  bool IsLive(const member& aMember) const;
  bool MemberHoldsChange(const member& aMember) const;
  bool ContainsChange(const stored_value& aValue) const;
  void PollMember(std::size_t aIndex, instant aDeadline);

  ctl_context& mContext;
  std::optional<awaited_change> mChange;
  std::vector<member> mLiveMembers;
  member_record mRecord;
  bool mHasReadMembers = false;
  std::vector<member_answer> mAnswers;
};

/// `{"id":…,"kind":…,"domain":…,"peer":…,"revision":…,"freshness":…}`, with `record` too when the
/// member answered; otherwise `revision` is null.
boost::json::object ToJson(const member_answer& aAnswer);

} // namespace briarwind
