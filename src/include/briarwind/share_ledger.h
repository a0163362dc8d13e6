#pragma once

#include "briarwind/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// The routers that share the instances, as listed in the store.
struct member_view
{
  std::int64_t mRevision = 0; ///< of the listing; orders the views of one router
  std::vector<std::string> mMembers;
};

/// Names a set of members; equal in all routers that see the same set. Never 0.
using view_id = std::uint64_t;

view_id IdOf(const member_view& aView);

/// What one router tells the others about the views it holds.
struct share_report
{
  std::uint64_t mSequence = 0; ///< rises with each report of one router
  view_id mSettled = 0;        ///< newest view within whose share it stays from now on
  view_id mBase = 0;           ///< view whose share it uses; 0: none yet
  view_id mNewest = 0;         ///< newest view that it has seen
};

/// aMember's part of aTotal units of aResource: units are dealt out in rendezvous order, so the
/// parts of all members add up to aTotal.
int ShareOf(const member_view& aView, std::string_view aMember, std::string_view aResource,
            int aTotal);

/// One router's part of what all routers share. Its allowance is the least of its shares in its
/// base view and in every later view that it has adopted. The base moves on to a view only when
/// every other router of the views since the old base has reported that it stays within the new
/// one, or was taken off the list at least the release time ago. So everybody shrinks before
/// anybody grows, and the allowances of all routers never add up to more than the total.
class share_ledger
{
public:
  /// @param aRelease time after which a router that was taken off the list, and did not report,
  ///   uses nothing any more
  share_ledger(std::string aSelf, duration aRelease);

  /// A later view of the members; older ones are ignored.
  void Adopt(const member_view& aView, instant aNow);
  /// Without a store: the members never change, so the view counts at once.
  void AdoptFixed(const member_view& aView);
  /// What another router said.
  void Hear(const std::string& aMember, const share_report& aReport, instant aNow);
  /// A router whose view of the members is no longer confirmed may use nothing; when it is
  /// confirmed again the router starts as if it had just joined.
  void SetFresh(bool aFresh, instant aNow);
  bool IsFresh() const { return mFresh; }
  /// Whether it may use its share of some view.
  bool HasBase() const { return mHasBase; }
  /// Whether at least half of the members of the newest view, this router included, said after
  /// aSince that it is their newest one too.
  bool IsConfirmedByPeers(instant aSince) const;
  /// This router uses no more than its share in the newest view.
  void Settle();
  /// Moves the base on where the rule allows it.
  void Advance(instant aNow);

  int Allowance(std::string_view aResource, int aTotal) const;
  /// This router's share in the newest view, whether it may use it yet or not.
  int NewestShare(std::string_view aResource, int aTotal) const;
  share_report Report();
  /// Routers in the newest view, at least one.
  std::size_t Members() const;
  const std::vector<std::string>& MemberNames() const;
  /// Rises whenever an allowance may have changed.
  std::uint64_t Generation() const { return mGeneration; }

private:
  struct heard_report
  {
    share_report mReport;
    instant mAt;
  };

  bool HasSettled(const std::string& aMember, view_id aView, instant aNow) const;
  bool MayBecomeBase(std::size_t aIndex, instant aNow) const;

  std::string mSelf;
  duration mRelease;
  bool mHasBase = false;
  bool mFresh = true;
  view_id mSettled = 0;
  std::uint64_t mSequence = 0;
  std::uint64_t mGeneration = 0;
  std::vector<member_view> mViews; ///< the base, when there is one, and all later views
  std::map<std::string, heard_report, std::less<>> mReports;
  std::map<std::string, instant, std::less<>> mRemoved; ///< when first seen off the list
  instant mFirstView;
};

} // namespace briarwind
