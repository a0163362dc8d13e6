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
  mHasListed = true;
  mHasRead = true;
  Confirm(aBegun, confirmation_source::kStore);
}

void freshness::OnOlderStoreRead()
{
  mHasListed = true;
}

void freshness::OnHeld(store_revision aRevision)
{
  mHeld = std::max(mHeld, aRevision);
  mNewestKnown = std::max(mNewestKnown, mHeld);
}

void freshness::OnRecord(const member_record& aRecord)
{
  if (aRecord.mRevision <= mRecord.mRevision) {
    return;
  }
  mRecord = aRecord;
  std::erase_if(mHeard, [&](const auto& aHeard) {
    const auto isHeard = [&](const member& aMember) { return aMember.mId == aHeard.first; };
    return std::ranges::none_of(mRecord.mMembers, isHeard) &&
           std::ranges::none_of(mRecord.mPrevious, isHeard);
  });
}

void freshness::OnReport(const freshness_report& aReport, instant aAsked)
{
  mNewestKnown = std::max(mNewestKnown, aReport.mHeld);
  mHeard[aReport.mMember] = { aReport, aAsked };
  if (aReport.mHeld > mHeld || !aReport.mHasRead) {
    return;
  }
  // The answer was given after aAsked, so its age counts from aAsked at the earliest.
  if (aReport.mConfirmedAge) {
    Confirm(aAsked - *aReport.mConfirmedAge, confirmation_source::kPeer);
  }
  ConfirmByMajority();
}

// A member with another record may belong to a majority that this one does not know. One that has
// not read the store cannot tell that it misses nothing.
bool freshness::Supports(const freshness_report& aReport) const
{
  return aReport.mHasRead && aReport.mRecord == mRecord.mRevision && aReport.mHeld <= mHeld;
}

void freshness::ConfirmByMajority()
{
  if (mRecord.mMembers.empty()) {
    return;
  }
  std::size_t needed = MajorityOf(mRecord.mMembers.size());
  std::vector<instant> asked;
  for (const member& each : mRecord.mMembers) {
    if (each.mId == mSelf && mHasRead) {
      --needed;
    }
    const auto heard = mHeard.find(each.mId);
    if (heard != mHeard.end() && Supports(heard->second.mReport)) {
      asked.push_back(heard->second.mAsked);
    }
  }
  // Alone in the record: whatever was accepted is in force here.
  if (needed == 0 || asked.size() < needed) {
    return;
  }
  std::ranges::nth_element(asked, asked.begin() + static_cast<std::ptrdiff_t>(needed) - 1,
                           std::ranges::greater{});
  Confirm(asked.at(needed - 1), confirmation_source::kMajority);
}

freshness_check freshness::Check(instant aNow) const
{
  freshness_check check;
  check.mSource = mSource;
  if (!mHasListed) {
    check.mReason = freshness_reason::kNoStoreRead;
    return check;
  }
  if (mNewestKnown > mHeld) {
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
  freshness_report report{ mSelf, mHeld, mRecord.mRevision, mHasRead, std::nullopt };
  if (mHasRead && mConfirmedAt && mNewestKnown <= mHeld) {
    report.mConfirmedAge = aNow - *mConfirmedAt;
  }
  return report;
}

bool freshness::HoldsRecord(const member& aMember) const
{
  if (aMember.mId == mSelf) {
    return true;
  }
  const auto heard = mHeard.find(aMember.mId);
  return heard != mHeard.end() && heard->second.mReport.mRecord >= mRecord.mRevision &&
         heard->second.mReport.mHasRead;
}

} // namespace briarwind
