#include "briarwind/freshness.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace briarwind {

std::string_view ToString(freshness_reason aReason)
{
  static constexpr std::array<std::string_view, 4> kNames{ "fresh", "no-store-read",
                                                           "newer-revision", "not-confirmed" };
  return kNames.at(static_cast<std::size_t>(aReason));
}

std::string_view ToString(confirmation_source aSource)
{
  static constexpr std::array<std::string_view, 4> kNames{ "none", "store", "peer", "majority" };
  return kNames.at(static_cast<std::size_t>(aSource));
}

freshness::freshness(std::string aSelf, duration aBound)
  : mSelf(std::move(aSelf))
  , mBound(aBound)
{
}

void freshness::Confirm(instant aAt, confirmation_source aSource)
{
  if (!mConfirmedAt || aAt > *mConfirmedAt) {
    mConfirmedAt = aAt;
    mSource = aSource;
  }
}

void freshness::OnStoreRead(instant aBegun)
{
  mHasReadAnyCopy = true;
  mHasRead = true;
  Confirm(aBegun, confirmation_source::kStore);
}

void freshness::OnOlderStoreRead()
{
  mHasReadAnyCopy = true;
}

void freshness::OnSettingsApplied(store_revision aRevision)
{
  mHeldRevision = std::max(mHeldRevision, aRevision);
  mNewestKnownRevision = std::max(mNewestKnownRevision, mHeldRevision);
}

void freshness::OnMemberRecord(const member_record& aRecord)
{
  if (aRecord.mRevision <= mRecord.mRevision) {
    return;
  }
  mRecord = aRecord;
  // Reports of members that left the record are dropped.
  std::erase_if(mReports, [&](const auto& aEntry) {
    const auto isReporter = [&](const member& aMember) { return aMember.mId == aEntry.first; };
    return std::ranges::none_of(mRecord.mMembers, isReporter) &&
           std::ranges::none_of(mRecord.mPrevious, isReporter);
  });
}

void freshness::OnReport(const freshness_report& aReport, instant aRequestSentAt)
{
  mNewestKnownRevision = std::max(mNewestKnownRevision, aReport.mHeldRevision);
  mReports[aReport.mMember] = { aReport, aRequestSentAt };
  if (aReport.mHeldRevision > mHeldRevision || !aReport.mHasRead) {
    return;
  }
  // The member measured the age after aRequestSentAt, so the view was confirmed at aRequestSentAt
  // minus the age or later; the earlier instant is the safe one.
  if (aReport.mConfirmedAge) {
    Confirm(aRequestSentAt - *aReport.mConfirmedAge, confirmation_source::kPeer);
  }
  ConfirmByMajority();
}

// A member that holds another member record may belong to a different majority. A member that has
// not read the store since it started may lack accepted changes.
bool freshness::CountsTowardsMajority(const freshness_report& aReport) const
{
  return aReport.mHasRead && aReport.mRecord == mRecord.mRevision &&
         aReport.mHeldRevision <= mHeldRevision;
}

void freshness::ConfirmByMajority()
{
  if (mRecord.mMembers.empty()) {
    return;
  }
  // A change is accepted only when a majority of the members holds it, so a majority without any
  // newer revision shows that the view misses no change accepted before the requests were sent.
  std::size_t needed = MajorityOf(mRecord.mMembers.size());
  std::vector<instant> sentAt;
  for (const member& each : mRecord.mMembers) {
    if (each.mId == mSelf && mHasRead) {
      --needed;
    }
    const auto received = mReports.find(each.mId);
    if (received != mReports.end() && CountsTowardsMajority(received->second.mReport)) {
      sentAt.push_back(received->second.mRequestSentAt);
    }
  }
  // The only member of the record needs no reports: every accepted change is in force there, and
  // Check treats the view as confirmed at any time.
  if (needed == 0 || sentAt.size() < needed) {
    return;
  }
  // The view is confirmed as of the oldest of the newest `needed` requests.
  std::ranges::nth_element(sentAt, sentAt.begin() + static_cast<std::ptrdiff_t>(needed) - 1,
                           std::ranges::greater{});
  Confirm(sentAt.at(needed - 1), confirmation_source::kMajority);
}

freshness_check freshness::Check(instant aNow) const
{
  freshness_check check;
  check.mSource = mSource;
  if (!mHasReadAnyCopy) {
    check.mReason = freshness_reason::kNoStoreRead;
    return check;
  }
  if (mNewestKnownRevision > mHeldRevision) {
    check.mReason = freshness_reason::kNewerRevision;
    return check;
  }
  const bool isAlone = mHasRead && mRecord.mMembers.size() == 1 && mRecord.mPrevious.empty() &&
                       mRecord.mMembers.front().mId == mSelf;
  const instant confirmedAt = isAlone ? aNow : mConfirmedAt.value_or(instant::min());
  if (confirmedAt + mBound < aNow) {
    check.mReason = freshness_reason::kNotConfirmed;
    return check;
  }
  check.mReason = freshness_reason::kFresh;
  check.mUntil = confirmedAt + mBound;
  return check;
}

freshness_report freshness::Report(instant aNow) const
{
  freshness_report report{ mSelf, mHeldRevision, mRecord.mRevision, mHasRead, std::nullopt };
  if (mHasRead && mConfirmedAt && mNewestKnownRevision <= mHeldRevision) {
    report.mConfirmedAge = aNow - *mConfirmedAt;
  }
  return report;
}

bool freshness::HoldsRecord(const member& aMember) const
{
  if (aMember.mId == mSelf) {
    return true;
  }
  const auto received = mReports.find(aMember.mId);
  return received != mReports.end() && received->second.mReport.mRecord >= mRecord.mRevision &&
         received->second.mReport.mHasRead;
}

} // namespace briarwind
