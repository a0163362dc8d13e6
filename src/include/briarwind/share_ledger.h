#pragma once

#include "briarwind/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// One version of the list of routers that share the instances, usually read from the store.
struct member_view
{
  /// Orders the views of one router; not comparable between routers.
  std::int64_t mRevision = 0;
  std::vector<std::string> mMembers;
};

/// Hash of a set of members; the same in all routers and for any order of the members. Never 0.
using view_id = std::uint64_t;

view_id ViewIdOf(const member_view& aView);

/// Report of one router to the others about its views.
struct share_report
{
  std::uint64_t mSequence = 0; ///< increases with each report of the router
  view_id mSettled = 0;        ///< newest view whose share the router no longer exceeds; 0: none
  view_id mBase = 0;           ///< base view of the router, see share_ledger; 0: none
  view_id mNewest = 0;         ///< newest view that the router has adopted; 0: none
};

/// The share of aMember in aTotal units of aResource; 0 for a router that is not a member. The
/// shares of all members add up to aTotal: each gets an equal part, and the rest goes to the first
/// members in rendezvous order.
int ShareOf(const member_view& aView, std::string_view aMember, std::string_view aResource,
            int aTotal);

/// One router's share of resources that all routers share. The allowance of a router is the minimum
/// of its shares in its base view and in every later view that it has adopted. A later view becomes
/// the base only when this router has settled in it, and every other router of the views since the
/// old base either has reported that it has settled in it too, or was removed from the list at
/// least the release time ago. A router has settled in a view when it uses no more than its share
/// there. Shares therefore shrink before others grow, and the allowances of all routers never add
/// up to more than the total.
class share_ledger
{
public:
  /// @param aRelease release time, after which a router that was removed from the list uses no
  ///   resources, whether it has reported so or not
  share_ledger(std::string aSelf, duration aRelease);

  /// Adopts a later view of the members. A view that is not newer than the newest one is ignored.
  void Adopt(const member_view& aView, instant aNow);
  /// Makes aView the base at once. For use without a store, where the members never change.
  void AdoptFixed(const member_view& aView);
  /// Handles a report of another router. A report that is not newer than its last one is ignored.
  void OnPeerReport(const std::string& aMember, const share_report& aReport, instant aNow);
  /// Sets whether this router's view of the members is confirmed to be current. While it is not,
  /// the allowance is 0. When the view is confirmed again, the router starts as if it had just
  /// joined.
  void SetFresh(bool aFresh, instant aNow);
  bool IsFresh() const { return mFresh; }
  /// Whether this router has a base view, without which its allowance is 0.
  bool HasBase() const { return mHasBase; }
  /// Whether at least half of the members of the newest view, this router included, have reported
  /// since aSince that it is their newest view too.
  bool IsConfirmedByPeers(instant aSince) const;
  /// This router uses no more than its share in the newest view, and reports so from now on.
  void Settle();
  /// Makes the newest view that fulfils the conditions the base. To be called as time passes.
  void Advance(instant aNow);

  /// How many of aTotal units this router may use now.
  int Allowance(std::string_view aResource, int aTotal) const;
  /// This router's share in the newest view, which may be more than its allowance.
  int NewestShare(std::string_view aResource, int aTotal) const;
  /// The report for the other routers, with the next sequence number.
  share_report Report();
  /// Number of routers in the newest view, at least 1.
  std::size_t Members() const;
  /// The members of the newest view; empty before the first view.
  const std::vector<std::string>& MemberNames() const;
  /// Increases whenever an allowance may have changed.
  std::uint64_t Generation() const { return mGeneration; }

private:
  struct received_report
  {
    share_report mReport;
    instant mReceivedAt;
  };

  /// Whether a router has settled in a view, or was removed at least the release time ago.
  bool HasSettled(const std::string& aMember, view_id aView, instant aNow) const;
  /// Whether the view mViews[aIndex] fulfils the conditions for a base.
  bool MayBecomeBase(std::size_t aIndex, instant aNow) const;

  std::string mSelf;
  duration mRelease;
  bool mHasBase = false;
  bool mFresh = true;
  view_id mSettled = 0;
  std::uint64_t mSequence = 0;
  std::uint64_t mGeneration = 0;
  std::vector<member_view> mViews; ///< the base, when there is one, and all later views
  std::map<std::string, received_report, std::less<>> mPeerReports;
  std::map<std::string, instant, std::less<>> mRemovedAt; ///< when first missing from a view
  instant mFirstViewAt; ///< when the first view was adopted, or this router became fresh again
};

} // namespace briarwind
