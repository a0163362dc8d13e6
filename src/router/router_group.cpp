#include "router_group.h"

#include "router_events.h"

#include "briarwind/http_client.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace briarwind {

namespace {

constexpr std::size_t kClaimsHeld = 200'000;
constexpr minutes kClaimRetention{ 15 };
constexpr milliseconds kTellEvery{ 1'000 };
// With many members each one tells the others less often, so that the traffic grows slower.
constexpr milliseconds kTellPerMember{ 50 };
constexpr milliseconds kLookupTimeout{ 300 };
constexpr int kReportsMissed = 3; // a router that was not heard for so many intervals is away
constexpr int kBoundPart = 4;     // of the release time: how long a confirmation counts

std::vector<std::string> ListedPeers(const router_options& aOptions, const endpoint& aSelf)
{
  std::vector<std::string> names{ ToString(aSelf) };
  std::ranges::transform(aOptions.mPeers, std::back_inserter(names),
                         [](const endpoint& aPeer) { return ToString(aPeer); });
  std::ranges::sort(names);
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

} // namespace

router_group::router_group(fiber_runtime& aRuntime, const router_options& aOptions,
                           const endpoint& aSelf, routing_core& aCore)
  : mRuntime(aRuntime)
  , mCore(aCore)
  , mSelf(ToString(aSelf))
  , mListedPeers(ListedPeers(aOptions, aSelf))
  , mRelease(aOptions.mReleaseTime)
  , mHasStore(!aOptions.mStores.empty())
  , mTable(monotonic_clock::now(), kClaimsHeld, kClaimRetention)
  , mClaimer(
      aRuntime, mSelf, mTable,
      [this](const std::string& aMember, const claim_request& aRequest, instant aDeadline) {
        return mLink->Ask(aMember, aRequest, aDeadline);
      },
      [this] { return mCore.Shares().MemberNames(); })
  , mRandom(std::random_device{}())
  , mStarted(monotonic_clock::now())
{
  if (aSelf.mPort != 0) {
    mLink.emplace(
      aRuntime, aSelf,
      router_link::handlers{ [this](const router_report& aReport) { OnReport(aReport); },
                             [this](const claim_request& aRequest) { return OnClaim(aRequest); } },
      [this](const std::string& aMember) { return FindLink(aMember); });
  }
  if (!mHasStore) {
    mCore.Shares().AdoptFixed({ ++mViews, mListedPeers });
  }
}

void router_group::OnMembers(const std::vector<member>& aMembers, instant aNow)
{
  // A restarted router has its old name: the old process has ended, or it would hold the port.
  std::vector<std::string> names;
  for (const member& each : aMembers) {
    if (each.mKind == member_kind::kRouter) {
      names.push_back(ToString(each.mPeer));
      mHttp[names.back()] = each.mHttp;
    }
  }
  std::ranges::sort(names);
  names.erase(std::unique(names.begin(), names.end()), names.end());
  if (std::ranges::find(names, mSelf) == names.end()) {
    return; // not registered yet, or no longer
  }
  mConfirmed = aNow;
  if (names != mCore.Shares().MemberNames()) {
    LogEvent(events::kMembersChanged, { Field("members", names.size()) });
    mCore.Shares().Adopt({ ++mViews, names }, aNow);
    mCore.Refresh(aNow);
  }
}

std::uint16_t router_group::LinkPort() const
{
  return mLink ? mLink->Listening().mPort : 0;
}

endpoint router_group::FindLink(const std::string& aMember)
{
  endpoint link = UsualLinkAddress(aMember);
  const auto http = mHttp.find(aMember);
  if (http == mHttp.end()) {
    return link;
  }
  http_request request;
  request.mTarget = kLinkPage;
  const auto answer =
    HttpCall(mRuntime, http->second, request, monotonic_clock::now() + kLookupTimeout);
  if (answer && answer.value().mStatus == 200) {
    const std::string& text = answer.value().mBody;
    std::from_chars(text.data(), text.data() + text.size(), link.mPort);
  }
  return link;
}

void router_group::UseListedPeers(instant aNow)
{
  // The store could not be read since the start: the peers given by flag stand in for the list.
  if (mHasStore && mViews == 0 && mStarted + mRelease <= aNow) {
    mCore.Shares().Adopt({ ++mViews, mListedPeers }, aNow);
    mCore.Refresh(aNow);
  }
}

void router_group::CheckConfirmed(instant aNow)
{
  if (!mHasStore || mViews == 0) {
    return;
  }
  if (mCore.Shares().IsConfirmedByPeers(aNow - kReportsMissed * TellInterval())) {
    mConfirmed = aNow;
  }
  // Others use this router's share a release time after they saw it go, which it can see later than
  // they by one listing of the members.
  const bool isConfirmed = mConfirmed && *mConfirmed + mRelease / kBoundPart > aNow;
  if (isConfirmed != mCore.Shares().IsFresh()) {
    LogEvent(isConfirmed ? events::kViewConfirmed : events::kViewNotConfirmed);
    mCore.Shares().SetFresh(isConfirmed, aNow);
    mCore.Refresh(aNow);
  }
}

void router_group::Step(instant aNow)
{
  UseListedPeers(aNow);
  CheckConfirmed(aNow);
  TellAll(aNow);
}

duration router_group::TellInterval() const
{
  const auto count = static_cast<std::int64_t>(mCore.Shares().Members());
  return std::max(kTellEvery, count * kTellPerMember);
}

bool router_group::HasNews(const share_report& aReport) const
{
  return aReport.mSettled != mTold.mSettled || aReport.mBase != mTold.mBase ||
         aReport.mNewest != mTold.mNewest;
}

void router_group::TellAll(instant aNow)
{
  if (!mLink) {
    return;
  }
  router_report report{ mSelf, mCore.Shares().Report(), mCore.LeavingTargets() };
  if (aNow < mTellAt && !HasNews(report.mShares) && report.mLeaving == mToldLeaving) {
    return;
  }
  mTold = report.mShares;
  mToldLeaving = report.mLeaving;
  const auto& members = mCore.Shares().MemberNames();
  mTellAt = aNow + TellInterval();
  for (const std::string& each : members) {
    if (each != mSelf) {
      mLink->Tell(each, report);
    }
  }
}

bool router_group::IsReady() const
{
  return mCore.Shares().HasBase() && mCore.Shares().IsFresh();
}

claim_owner router_group::NewOwner()
{
  return mRandom();
}

void router_group::OnReport(const router_report& aReport)
{
  const instant now = monotonic_clock::now();
  mCore.Shares().Hear(aReport.mFrom, aReport.mShares, now);
  mCore.HearLeaving(aReport.mLeaving, now);
}

claim_verdict router_group::OnClaim(const claim_request& aRequest)
{
  if (aRequest.mWithdraw) {
    mTable.Withdraw(aRequest.mKey, aRequest.mOwner);
    return claim_verdict::kGranted;
  }
  return mTable.Offer(aRequest.mKey, aRequest.mOwner, monotonic_clock::now());
}

} // namespace briarwind
