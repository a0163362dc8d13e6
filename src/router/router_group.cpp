#include "router_group.h"

#include "router_events.h"

#include "briarwind/http_client.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace briarwind {

namespace {

constexpr std::size_t kClaimTableCapacity = 200'000;
constexpr minutes kClaimRetention{ 15 };
constexpr milliseconds kMinReportInterval{ 1'000 };
// The interval grows with the number of members, which limits the growth of the traffic.
constexpr milliseconds kReportIntervalPerMember{ 50 };
constexpr milliseconds kLookupTimeout{ 300 };
// A peer that sent no report for this many intervals no longer confirms the members.
constexpr int kMaxMissedReports = 3;
// A confirmation of the members is valid for the release time divided by this number.
constexpr int kConfirmationDivisor = 4;

std::vector<std::string> ConfiguredMembers(const router_options& aOptions, const endpoint& aSelf)
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
  , mConfiguredMembers(ConfiguredMembers(aOptions, aSelf))
  , mRelease(aOptions.mReleaseTime)
  , mHasStore(!aOptions.mStores.empty())
  , mClaimTable(monotonic_clock::now(), kClaimTableCapacity, kClaimRetention)
  , mClaimer(
      aRuntime, mSelf, mClaimTable,
      [this](const std::string& aMember, const claim_request& aRequest, instant aDeadline) {
        return mLink->SendClaim(aMember, aRequest, aDeadline);
      },
      [this] { return mCore.Shares().MemberNames(); })
  , mRandom(std::random_device{}())
  , mStartedAt(monotonic_clock::now())
{
  if (aSelf.mPort != 0) {
    mLink.emplace(
      aRuntime, aSelf,
      router_link::handlers{ [this](const router_report& aReport) { OnReport(aReport); },
                             [this](const claim_request& aRequest) { return OnClaim(aRequest); } },
      [this](const std::string& aMember) { return ResolveLink(aMember); });
  }
  if (!mHasStore) {
    mCore.Shares().AdoptFixed({ ++mViewRevision, mConfiguredMembers });
  }
}

void router_group::OnMembers(const std::vector<member>& aMembers, instant aNow)
{
  // A router is named by its peer address, so a restarted router has the name of its predecessor.
  // The predecessor has ended, since it would otherwise still hold the port.
  std::vector<std::string> names;
  for (const member& each : aMembers) {
    if (each.mKind == member_kind::kRouter) {
      names.push_back(ToString(each.mPeer));
      mHttpAddresses[names.back()] = each.mHttp;
    }
  }
  std::ranges::sort(names);
  names.erase(std::unique(names.begin(), names.end()), names.end());
  if (std::ranges::find(names, mSelf) == names.end()) {
    return; // this router is not registered yet, or no longer
  }
  mConfirmedAt = aNow;
  if (names != mCore.Shares().MemberNames()) {
    LogEvent(events::kMembersChanged, { Field("members", names.size()) });
    mCore.Shares().Adopt({ ++mViewRevision, names }, aNow);
    mCore.Refresh(aNow);
  }
}

std::uint16_t router_group::LinkPort() const
{
  return mLink ? mLink->Listening().mPort : 0;
}

endpoint router_group::ResolveLink(const std::string& aMember)
{
  endpoint link = DefaultLinkAddress(aMember);
  const auto http = mHttpAddresses.find(aMember);
  if (http == mHttpAddresses.end()) {
    return link;
  }
  http_request request;
  request.mTarget = kLinkPath;
  const auto answer =
    HttpCall(mRuntime, http->second, request, monotonic_clock::now() + kLookupTimeout);
  if (answer && answer.value().mStatus == 200) {
    const std::string& text = answer.value().mBody;
    std::from_chars(text.data(), text.data() + text.size(), link.mPort);
  }
  return link;
}

void router_group::AdoptConfiguredMembers(instant aNow)
{
  // When the store could not be read for the release time after the start, the routers given by
  // flag are used instead of the list in the store.
  if (mHasStore && mViewRevision == 0 && mStartedAt + mRelease <= aNow) {
    mCore.Shares().Adopt({ ++mViewRevision, mConfiguredMembers }, aNow);
    mCore.Refresh(aNow);
  }
}

void router_group::UpdateConfirmation(instant aNow)
{
  if (!mHasStore || mViewRevision == 0) {
    return;
  }
  if (mCore.Shares().IsConfirmedByPeers(aNow - kMaxMissedReports * ReportInterval())) {
    mConfirmedAt = aNow;
  }
  // The other routers use the share of this router one release time after they saw it leave the
  // list of members. This router may see that up to one listing later than they do, so its
  // confirmation is valid for only a part of the release time.
  const bool isConfirmed = mConfirmedAt && *mConfirmedAt + mRelease / kConfirmationDivisor > aNow;
  if (isConfirmed != mCore.Shares().IsFresh()) {
    LogEvent(isConfirmed ? events::kViewConfirmed : events::kViewNotConfirmed);
    mCore.Shares().SetFresh(isConfirmed, aNow);
    mCore.Refresh(aNow);
  }
}

void router_group::Step(instant aNow)
{
  AdoptConfiguredMembers(aNow);
  UpdateConfirmation(aNow);
  SendReports(aNow);
}

duration router_group::ReportInterval() const
{
  const auto count = static_cast<std::int64_t>(mCore.Shares().Members());
  return std::max(kMinReportInterval, count * kReportIntervalPerMember);
}

bool router_group::HasChanged(const share_report& aReport) const
{
  return aReport.mSettled != mLastReport.mSettled || aReport.mBase != mLastReport.mBase ||
         aReport.mNewest != mLastReport.mNewest;
}

void router_group::SendReports(instant aNow)
{
  if (!mLink) {
    return;
  }
  router_report report{ mSelf, mCore.Shares().Report(), mCore.LeavingTargets() };
  if (aNow < mNextReportAt && !HasChanged(report.mShares) &&
      report.mLeavingTargets == mLastLeavingTargets) {
    return;
  }
  mLastReport = report.mShares;
  mLastLeavingTargets = report.mLeavingTargets;
  const auto& members = mCore.Shares().MemberNames();
  mNextReportAt = aNow + ReportInterval();
  for (const std::string& each : members) {
    if (each != mSelf) {
      mLink->SendReport(each, report);
    }
  }
}

bool router_group::IsReady() const
{
  return mCore.Shares().HasBase() && mCore.Shares().IsFresh();
}

claim_owner router_group::MakeClaimOwner()
{
  return mRandom();
}

void router_group::OnReport(const router_report& aReport)
{
  const instant now = monotonic_clock::now();
  mCore.Shares().OnPeerReport(aReport.mFrom, aReport.mShares, now);
  mCore.OnPeerLeavingTargets(aReport.mLeavingTargets, now);
}

claim_verdict router_group::OnClaim(const claim_request& aRequest)
{
  if (aRequest.mWithdraw) {
    mClaimTable.Withdraw(aRequest.mKey, aRequest.mOwner);
    return claim_verdict::kGranted;
  }
  return mClaimTable.RequestClaim(aRequest.mKey, aRequest.mOwner, monotonic_clock::now());
}

} // namespace briarwind
