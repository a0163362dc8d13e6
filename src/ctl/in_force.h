#pragma once

#include "ctl_command.h"

#include "briarwind/freshness.h"
#include "briarwind/member.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarwind {

/// What one member answered about its settings.
struct member_answer
{
  member mMember;
  std::optional<freshness_report> mReport; ///< nothing when it did not answer
  std::string mFreshness;                  ///< `fresh`, or why not
  bool mHoldsChange = false;               ///< the change that is awaited
};

/// A change whose way into force is followed. Its id counts, not its revision: a store that went
/// back to an older copy gives revisions out a second time.
struct awaited_change
{
  std::string mKey; ///< of the subtree in the store
  std::string mId;
  store_revision mRevision = 0;
};

/// Asks members for the revisions that they have in force.
class in_force_poll
{
public:
  explicit in_force_poll(ctl_context& aContext, std::optional<awaited_change> aChange = {});

  /// Reads the live members and the member record. What the store does not tell stays as it was.
  void ReadMembers(instant aDeadline);
  /// Asks every live member and every member of the record at the same time.
  void AskAll(instant aDeadline);

  const std::vector<member_answer>& Answers() const { return mAnswers; }
  const member_record& Record() const { return mRecord; }
  bool HasMembers() const { return mHasMembers; }

  /// Whether a majority of the record holds the change, so that no start that contradicts it can
  /// happen after the bound.
  bool IsAccepted() const;
  /// Live members that do not hold the change, or did not answer.
  std::vector<member_answer> Without() const;
  /// Whether all live members hold that revision or a higher one.
  bool AllReached(store_revision aRevision) const;

private:
  bool IsLive(const member& aMember) const;
  bool Holds(const member& aMember) const;
  bool HasAwaited(const stored_value& aValue) const;
  void AskOne(std::size_t aIndex, instant aDeadline);

  ctl_context& mContext;
  std::optional<awaited_change> mChange;
  std::vector<member> mLive;
  member_record mRecord;
  bool mHasMembers = false;
  std::vector<member_answer> mAnswers;
};

/// `{"id":…,"kind":…,"revision":…,"freshness":…}`
boost::json::object ToJson(const member_answer& aAnswer);

} // namespace briarwind
