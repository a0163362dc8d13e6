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

view_id IdOf(const member_view& aView)
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
    mFirstView = aNow;
  } else if (aView.mRevision <= mViews.back().mRevision) {
    return;
  } else {
    for (const std::string& each : mViews.back().mMembers) {
      if (!Contains(aView.mMembers, each)) {
        mRemoved.try_emplace(each, aNow);
      }
    }
  }
  std::erase_if(mRemoved,
                [&](const auto& aEntry) { return Contains(aView.mMembers, aEntry.first); });
  mViews.push_back(aView);
  ++mGeneration;
  Advance(aNow);
}

void share_ledger::AdoptFixed(const member_view& aView)
{
  mViews = { aView };
  mHasBase = true;
  mSettled = IdOf(aView);
  ++mGeneration;
}

void share_ledger::Hear(const std::string& aMember, const share_report& aReport, instant aNow)
{
  heard_report& known = mReports[aMember];
  // Reports can cross on the way.
  if (aReport.mSequence > known.mReport.mSequence) {
    known = { aReport, aNow };
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
    // The others may have gone on without this router.
    mHasBase = false;
    mSettled = 0;
    mReports.clear();
    mFirstView = aNow;
    mViews.erase(mViews.begin(), std::prev(mViews.end()));
  }
}

bool share_ledger::IsConfirmedByPeers(instant aSince) const
{
  if (mViews.empty()) {
    return false;
  }
  const view_id newest = IdOf(mViews.back());
  const auto& members = mViews.back().mMembers;
  const auto agreeing = std::ranges::count_if(members, [&](const std::string& aMember) {
    const auto report = mReports.find(aMember);
    return aMember == mSelf || (report != mReports.end() && report->second.mAt >= aSince &&
                                report->second.mReport.mNewest == newest);
  });
  return 2 * static_cast<std::size_t>(agreeing) >= members.size();
}

share_report share_ledger::Report()
{
  share_report report{ ++mSequence, mSettled, 0, 0 };
  report.mBase = mHasBase ? IdOf(mViews.front()) : 0;
  report.mNewest = mViews.empty() ? 0 : IdOf(mViews.back());
  return report;
}

void share_ledger::Settle()
{
  if (!mViews.empty()) {
    mSettled = IdOf(mViews.back());
  }
}

bool share_ledger::HasSettled(const std::string& aMember, view_id aView, instant aNow) const
{
  if (aMember == mSelf) {
    return mSettled == aView;
  }
  // A router may have skipped views: one settled in a later view need not stay within this one.
  if (const auto report = mReports.find(aMember);
      report != mReports.end() && report->second.mReport.mSettled == aView) {
    return true;
  }
  const auto removed = mRemoved.find(aMember);
  return removed != mRemoved.end() && removed->second + mRelease <= aNow;
}

bool share_ledger::MayBecomeBase(std::size_t aIndex, instant aNow) const
{
  const view_id candidate = IdOf(mViews[aIndex]);
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
  // A router that has just joined does not know who was on the list before. Another one that has
  // this view as its base does; without such a one, everybody who was taken off earlier has
  // stopped after the release time.
  const bool vouched = std::ranges::any_of(mViews[aIndex].mMembers, [&](const auto& aMember) {
    const auto report = mReports.find(aMember);
    return report != mReports.end() && report->second.mReport.mBase == candidate;
  });
  return vouched || mFirstView + mRelease <= aNow;
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
  int least = aTotal;
  for (const member_view& each : mViews) {
    least = std::min(least, ShareOf(each, mSelf, aResource, aTotal));
  }
  return least;
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
  static const std::vector<std::string> kNobody;
  return mViews.empty() ? kNobody : mViews.back().mMembers;
}

} // namespace briarwind
