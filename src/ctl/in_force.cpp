#include "in_force.h"

#include "briarwind/settings_record.h"

#include <boost/json.hpp>

#include <algorithm>
#include <limits>
#include <memory>
#include <utility>

namespace briarwind {

namespace json = boost::json;

namespace {

constexpr milliseconds kPeerTimeout{ 500 };
constexpr milliseconds kCompletionPollInterval{ 5 };
// Sent as the held revision, this makes no subtree count as newer: the answer carries no settings.
constexpr store_revision kNothingNewer = std::numeric_limits<store_revision>::max();

// The answer carries all settings with a revision above aHeldRevision and a member record that is
// newer than aRecordRevision.
wire::PeerRequest MakeFreshnessRequest(store_revision aHeldRevision, store_revision aRecordRevision)
{
  wire::PeerRequest request;
  request.mutable_freshness()->set_held(aHeldRevision);
  request.mutable_freshness()->set_record(aRecordRevision);
  return request;
}

void AppendMissing(std::vector<member>& aMembers, const std::vector<member>& aCandidates)
{
  for (const member& each : aCandidates) {
    if (std::ranges::find(aMembers, each.mId, &member::mId) == aMembers.end()) {
      aMembers.push_back(each);
    }
  }
}

} // namespace

in_force_poll::in_force_poll(ctl_context& aContext, std::optional<awaited_change> aChange)
  : mContext(aContext)
  , mChange(std::move(aChange))
{
}

void in_force_poll::ReadMembers(instant aDeadline)
{
  const auto members = mContext.mStore.List(kMembersPrefix, aDeadline);
  if (members) {
    mLiveMembers = briarwind::ReadMembers(members.value());
    mHasReadMembers = true;
  }
  const auto listed = mContext.mStore.List(kMemberRecordKey, aDeadline);
  if (listed && !listed.value().mValues.empty()) {
    auto record = ToIoResult([&] { return DecodeMemberRecord(listed.value().mValues.front()); });
    if (record && record.value().mRevision > mRecord.mRevision) {
      mRecord = std::move(record).value();
    }
  }
}

void in_force_poll::PollMember(std::size_t aIndex, instant aDeadline)
{
  const member polled = mAnswers.at(aIndex).mMember;
  const store_revision heldRevision = mChange ? mChange->mRevision - 1 : kNothingNewer;
  const auto answer = mContext.mLink.SendRequest(
    polled.mPeer, MakeFreshnessRequest(heldRevision, mRecord.mRevision), aDeadline);
  if (!answer || !answer.value().has_freshness()) {
    return;
  }
  const wire::FreshnessAnswer& body = answer.value().freshness();
  // An id other than the expected one comes from another process that took over the address.
  if (!polled.mId.empty() && body.member() != polled.mId) {
    return;
  }
  member_answer& updated = mAnswers.at(aIndex);
  updated.mMember.mId = body.member();
  updated.mReport =
    freshness_report{ body.member(), body.held(), body.record(), body.has_read(), std::nullopt };
  updated.mFreshness = body.reason();
  // While the store is unreachable, the member record is taken from the members' answers. A member
  // that holds a change also holds the last record that was written before the change.
  for (const wire::StoredValue& each : body.newer()) {
    const stored_value value{ each.key(), each.value(), each.created(), each.modified(), 0 };
    updated.mHoldsChange = updated.mHoldsChange || ContainsChange(value);
    auto record = ToIoResult([&] { return DecodeMemberRecord(value); });
    if (value.mKey == kMemberRecordKey && record && value.mModified > mRecord.mRevision) {
      mRecord = std::move(record).value();
    }
  }
}

bool in_force_poll::ContainsChange(const stored_value& aValue) const
{
  if (!mChange || aValue.mKey != mChange->mKey) {
    return false;
  }
  const auto record = ToIoResult([&] { return DecodeSettingsRecord(aValue.mValue); });
  return record && HasChange(record.value(), mChange->mId);
}

void in_force_poll::PollMembers(instant aDeadline)
{
  std::vector<member> polled = mLiveMembers;
  AppendMissing(polled, mRecord.mMembers);
  AppendMissing(polled, mRecord.mPrevious);
  for (const endpoint& each : mContext.mOptions.mPeers) {
    if (std::ranges::find(polled, each, &member::mPeer) == polled.end()) {
      member unnamed;
      unnamed.mPeer = each;
      polled.push_back(unnamed);
    }
  }
  mAnswers.clear();
  for (member& each : polled) {
    mAnswers.push_back({ std::move(each), std::nullopt, "no answer" });
  }
  const instant pollDeadline = std::min(aDeadline, monotonic_clock::now() + kPeerTimeout);
  auto pending = std::make_shared<std::size_t>(mAnswers.size());
  for (std::size_t i = 0; i < mAnswers.size(); ++i) {
    mContext.mRuntime.Spawn([this, i, pollDeadline, pending] {
      PollMember(i, pollDeadline);
      --*pending;
    });
  }
  while (*pending > 0) {
    SleepFor(kCompletionPollInterval);
  }
}

bool in_force_poll::MemberHoldsChange(const member& aMember) const
{
  return std::ranges::any_of(mAnswers, [&](const member_answer& aAnswer) {
    return aAnswer.mMember.mId == aMember.mId && aAnswer.mHoldsChange;
  });
}

bool in_force_poll::IsLive(const member& aMember) const
{
  return !mHasReadMembers ||
         std::ranges::find(mLiveMembers, aMember.mId, &member::mId) != mLiveMembers.end();
}

bool in_force_poll::IsAccepted() const
{
  if (mRecord.mMembers.empty()) {
    return false;
  }
  return HeldByRecordMajorities(
    mRecord, [&](const member& aMember) { return MemberHoldsChange(aMember); },
    [&](const member& aMember) { return IsReplaced(aMember, mLiveMembers); });
}

std::vector<member_answer> in_force_poll::MembersWithoutChange() const
{
  std::vector<member_answer> without;
  std::ranges::copy_if(mAnswers, std::back_inserter(without), [&](const member_answer& aAnswer) {
    return IsLive(aAnswer.mMember) && !aAnswer.mHoldsChange;
  });
  return without;
}

bool in_force_poll::AllHoldRevision(store_revision aRevision) const
{
  return std::ranges::all_of(mAnswers, [&](const member_answer& aAnswer) {
    const bool reached = aAnswer.mReport && aAnswer.mReport->mHeldRevision >= aRevision;
    return reached || !IsLive(aAnswer.mMember);
  });
}

json::object ToJson(const member_answer& aAnswer)
{
  const member& source = aAnswer.mMember;
  json::object object{ { "id", source.mId.empty() ? ToString(source.mPeer) : source.mId },
                       { "kind", ToString(source.mKind) },
                       { "domain", source.mDomain },
                       { "peer", ToString(source.mPeer) },
                       { "revision", nullptr },
                       { "freshness", aAnswer.mFreshness } };
  if (aAnswer.mReport) {
    object["revision"] = aAnswer.mReport->mHeldRevision;
    object["record"] = aAnswer.mReport->mRecord;
  }
  return object;
}

ctl_result Members(ctl_context& aContext, std::span<const std::string>)
{
  return InForceStatus(aContext);
}

ctl_result InForceStatus(ctl_context& aContext)
{
  in_force_poll poll(aContext);
  const instant deadline = aContext.Deadline();
  poll.ReadMembers(std::min(deadline, monotonic_clock::now() + seconds(2)));
  poll.PollMembers(deadline);
  json::array members;
  store_revision newest = 0;
  for (const member_answer& each : poll.Answers()) {
    members.push_back(ToJson(each));
    newest = std::max(newest, each.mReport ? each.mReport->mHeldRevision : 0);
  }
  json::array record;
  for (const member& each : poll.Record().mMembers) {
    record.emplace_back(each.mId);
  }
  const bool isEverywhere = poll.AllHoldRevision(newest);
  const json::object body{ { "newestRevision", newest },
                           { "everywhere", isEverywhere },
                           { "storeAnswers", poll.HasReadMembers() },
                           { "members", std::move(members) },
                           { "record", json::object{ { "revision", poll.Record().mRevision },
                                                     { "members", std::move(record) } } } };
  const bool isReached = poll.HasReadMembers() || newest > 0;
  return { isReached ? ctl_status::kDone : ctl_status::kUnreachable, body };
}

} // namespace briarwind
