#include "briarwind/share_ledger.h"

#include "briarwind/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace briarwind {

namespace {

bool Contains(const std::vector<std::string>& aNames, std::string_view aName)
{
  return std::ranges::find(aNames, aName) != aNames.end();
}

} // namespace

int ShareOf(const member_view& aView, std::string_view aMember, std::string_view aResource,
            int aTotal)
{
  const auto members = static_cast<int>(aView.mMembers.size());
  const auto rank = static_cast<int>(RendezvousRank(aResource, aView.mMembers, aMember));
  if (rank >= members) {
    return 0;
  }
  return aTotal / members + (rank < aTotal % members ? 1 : 0);
}

view_id ViewIdOf(const member_view& aView)
{
  std::vector<std::string> names = aView.mMembers;
  std::ranges::sort(names);
  view_id id = 1;
  for (const std::string& each : names) {
    id = XXH3_64bits_withSeed(each.data(), each.size(), id);
  }
  return std::max<view_id>(1, id);
}

share_ledger::share_ledger(std::string aSelf, duration aRelease)
  : mSelf(std::move(aSelf))
  , mRelease(aRelease)
{
}

void share_ledger::Adopt(const member_view& aView, instant aNow)
{
  if (mViews.empty()) {
    mFirstViewAt = aNow;
  } else if (aView.mRevision <= mViews.back().mRevision) {
    return;
  } else {
    for (const std::string& each : mViews.back().mMembers) {
      if (!Contains(aView.mMembers, each)) {
        mRemovedAt.try_emplace(each, aNow);
      }
    }
  }
  std::erase_if(mRemovedAt,
                [&](const auto& aEntry) { return Contains(aView.mMembers, aEntry.first); });
  mViews.push_back(aView);
  ++mGeneration;
  Advance(aNow);
}

void share_ledger::AdoptFixed(const member_view& aView)
{
  mViews = { aView };
  mHasBase = true;
  mSettled = ViewIdOf(aView);
  ++mGeneration;
}

void share_ledger::OnPeerReport(const std::string& aMember, const share_report& aReport,
                                instant aNow)
{
  received_report& latest = mPeerReports[aMember];
  // Reports can arrive out of order.
  if (aReport.mSequence > latest.mReport.mSequence) {
    latest = { aReport, aNow };
    Advance(aNow);
  }
}

void share_ledger::SetFresh(bool aFresh, instant aNow)
{
  if (mFresh == aFresh) {
    return;
  }
  ++mGeneration;
  mFresh = aFresh;
  if (aFresh && mHasBase) {
    // The other routers may have moved to later bases without this router.
    mHasBase = false;
    mSettled = 0;
    mPeerReports.clear();
    mFirstViewAt = aNow;
    mViews.erase(mViews.begin(), std::prev(mViews.end()));
  }
}

bool share_ledger::IsConfirmedByPeers(instant aSince) const
{
  if (mViews.empty()) {
    return false;
  }
  const view_id newest = ViewIdOf(mViews.back());
  const auto& members = mViews.back().mMembers;
  const auto agreeing = std::ranges::count_if(members, [&](const std::string& aMember) {
    const auto report = mPeerReports.find(aMember);
    return aMember == mSelf ||
           (report != mPeerReports.end() && report->second.mReceivedAt >= aSince &&
            report->second.mReport.mNewest == newest);
  });
  return 2 * static_cast<std::size_t>(agreeing) >= members.size();
}

share_report share_ledger::Report()
{
  share_report report{ ++mSequence, mSettled, 0, 0 };
  report.mBase = mHasBase ? ViewIdOf(mViews.front()) : 0;
  report.mNewest = mViews.empty() ? 0 : ViewIdOf(mViews.back());
  return report;
}

void share_ledger::Settle()
{
  if (!mViews.empty()) {
    mSettled = ViewIdOf(mViews.back());
  }
}

bool share_ledger::HasSettled(const std::string& aMember, view_id aView, instant aNow) const
{
  if (aMember == mSelf) {
    return mSettled == aView;
  }
  // The view must be equal, not later: a router may skip views, so that one settled in a later view
  // may exceed its share in this one.
  if (const auto report = mPeerReports.find(aMember);
      report != mPeerReports.end() && report->second.mReport.mSettled == aView) {
    return true;
  }
  const auto removed = mRemovedAt.find(aMember);
  return removed != mRemovedAt.end() && removed->second + mRelease <= aNow;
}

bool share_ledger::MayBecomeBase(std::size_t aIndex, instant aNow) const
{
  const view_id candidate = ViewIdOf(mViews[aIndex]);
  const bool settled =
    std::all_of(mViews.begin(), mViews.begin() + static_cast<std::ptrdiff_t>(aIndex) + 1,
                [&](const member_view& aView) {
                  return std::ranges::all_of(aView.mMembers, [&](const std::string& aMember) {
                    return HasSettled(aMember, candidate, aNow);
                  });
                });
  if (!settled || mHasBase) {
    return settled;
  }
  // A router that has just joined has no record of which routers were members before. Either a
  // member reports the view as its base, and so has checked the earlier members; or the release
  // time has passed since the first view, after which every router that was removed earlier has
  // stopped.
  const bool confirmedByMember =
    std::ranges::any_of(mViews[aIndex].mMembers, [&](const auto& aMember) {
      const auto report = mPeerReports.find(aMember);
      return report != mPeerReports.end() && report->second.mReport.mBase == candidate;
    });
  return confirmedByMember || mFirstViewAt + mRelease <= aNow;
}

void share_ledger::Advance(instant aNow)
{
  const std::size_t first = mHasBase ? 1 : 0;
  for (std::size_t index = mViews.size(); index > first; --index) {
    if (MayBecomeBase(index - 1, aNow)) {
      mViews.erase(mViews.begin(), mViews.begin() + static_cast<std::ptrdiff_t>(index - 1));
      mHasBase = true;
      ++mGeneration;
      return;
    }
  }
}

int share_ledger::Allowance(std::string_view aResource, int aTotal) const
{
  if (!mHasBase || !mFresh) {
    return 0;
  }
  int allowance = aTotal;
  for (const member_view& each : mViews) {
    allowance = std::min(allowance, ShareOf(each, mSelf, aResource, aTotal));
  }
  return allowance;
}

int share_ledger::NewestShare(std::string_view aResource, int aTotal) const
{
  return mViews.empty() ? 0 : ShareOf(mViews.back(), mSelf, aResource, aTotal);
}

std::size_t share_ledger::Members() const
{
  return mViews.empty() ? 1 : std::max<std::size_t>(1, mViews.back().mMembers.size());
}

const std::vector<std::string>& share_ledger::MemberNames() const
{
  static const std::vector<std::string> kNoMembers;
  return mViews.empty() ? kNoMembers : mViews.back().mMembers;
}

} // namespace briarwind
