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

constexpr milliseconds kAskTime{ 500 };
constexpr milliseconds kAskStep{ 5 };
constexpr store_revision kNothingNewer = std::numeric_limits<store_revision>::max();

// Members hand over what is newer than aHeld.
wire::PeerRequest Question(store_revision aHeld, store_revision aRecord)
{
  wire::PeerRequest request;
  request.mutable_freshness()->set_held(aHeld);
  request.mutable_freshness()->set_record(aRecord);
  return request;
}

void AddOnce(std::vector<member>& aMembers, const std::vector<member>& aMore)
{
  for (const member& each : aMore) {
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
    mLive = briarwind::ReadMembers(members.value());
    mHasMembers = true;
  }
  const auto listed = mContext.mStore.List(kRecordKey, aDeadline);
  if (listed && !listed.value().mValues.empty()) {
    auto record = Settle([&] { return DecodeMemberRecord(listed.value().mValues.front()); });
    if (record && record.value().mRevision > mRecord.mRevision) {
      mRecord = std::move(record).value();
    }
  }
}

void in_force_poll::AskOne(std::size_t aIndex, instant aDeadline)
{
  const member asked = mAnswers.at(aIndex).mMember;
  const store_revision held = mChange ? mChange->mRevision - 1 : kNothingNewer;
  const auto answer = mContext.mLink.Ask(asked.mPeer, Question(held, mRecord.mRevision), aDeadline);
  if (!answer || !answer.value().has_freshness()) {
    return;
  }
  const wire::FreshnessAnswer& body = answer.value().freshness();
  // Another process may have taken over the address.
  if (!asked.mId.empty() && body.member() != asked.mId) {
    return;
  }
  member_answer& filled = mAnswers.at(aIndex);
  filled.mMember.mId = body.member();
  filled.mReport =
    freshness_report{ body.member(), body.held(), body.record(), body.has_read(), std::nullopt };
  filled.mFreshness = body.reason();
  // While the store is away the members tell the record; one that holds a change knows the last
  // record before it.
  for (const wire::StoredValue& each : body.newer()) {
    const stored_value value{ each.key(), each.value(), each.created(), each.modified(), 0 };
    filled.mHoldsChange = filled.mHoldsChange || HasAwaited(value);
    auto record = Settle([&] { return DecodeMemberRecord(value); });
    if (value.mKey == kRecordKey && record && value.mModified > mRecord.mRevision) {
      mRecord = std::move(record).value();
    }
  }
}

bool in_force_poll::HasAwaited(const stored_value& aValue) const
{
  if (!mChange || aValue.mKey != mChange->mKey) {
    return false;
  }
  const auto record = Settle([&] { return DecodeSettingsRecord(aValue.mValue); });
  return record && HasChange(record.value(), mChange->mId);
}

void in_force_poll::AskAll(instant aDeadline)
{
  std::vector<member> asked = mLive;
  AddOnce(asked, mRecord.mMembers);
  AddOnce(asked, mRecord.mPrevious);
  for (const endpoint& each : mContext.mOptions.mPeers) {
    if (std::ranges::find(asked, each, &member::mPeer) == asked.end()) {
      member unnamed;
      unnamed.mPeer = each;
      asked.push_back(unnamed);
    }
  }
  mAnswers.clear();
  for (member& each : asked) {
    mAnswers.push_back({ std::move(each), std::nullopt, "no answer" });
  }
  const instant until = std::min(aDeadline, monotonic_clock::now() + kAskTime);
  auto left = std::make_shared<std::size_t>(mAnswers.size());
  for (std::size_t i = 0; i < mAnswers.size(); ++i) {
    mContext.mRuntime.Spawn([this, i, until, left] {
      AskOne(i, until);
      --*left;
    });
  }
  while (*left > 0) {
    SleepFor(kAskStep);
  }
}

bool in_force_poll::Holds(const member& aMember) const
{
  return std::ranges::any_of(mAnswers, [&](const member_answer& aAnswer) {
    return aAnswer.mMember.mId == aMember.mId && aAnswer.mHoldsChange;
  });
}

bool in_force_poll::IsLive(const member& aMember) const
{
  return !mHasMembers || std::ranges::find(mLive, aMember.mId, &member::mId) != mLive.end();
}

bool in_force_poll::IsAccepted() const
{
  if (mRecord.mMembers.empty()) {
    return false;
  }
  return HeldByRecord(
    mRecord, [&](const member& aMember) { return Holds(aMember); },
    [&](const member& aMember) { return IsReplaced(aMember, mLive); });
}

std::vector<member_answer> in_force_poll::Without() const
{
  std::vector<member_answer> without;
  std::ranges::copy_if(mAnswers, std::back_inserter(without), [&](const member_answer& aAnswer) {
    return IsLive(aAnswer.mMember) && !aAnswer.mHoldsChange;
  });
  return without;
}

bool in_force_poll::AllReached(store_revision aRevision) const
{
  return std::ranges::all_of(mAnswers, [&](const member_answer& aAnswer) {
    const bool reached = aAnswer.mReport && aAnswer.mReport->mHeld >= aRevision;
    return reached || !IsLive(aAnswer.mMember);
  });
}

json::object ToJson(const member_answer& aAnswer)
{
  const member& who = aAnswer.mMember;
  json::object object{ { "id", who.mId.empty() ? ToString(who.mPeer) : who.mId },
                       { "kind", ToString(who.mKind) },
                       { "domain", who.mDomain },
                       { "peer", ToString(who.mPeer) },
                       { "revision", nullptr },
                       { "freshness", aAnswer.mFreshness } };
  if (aAnswer.mReport) {
    object["revision"] = aAnswer.mReport->mHeld;
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
  poll.AskAll(deadline);
  json::array members;
  store_revision newest = 0;
  for (const member_answer& each : poll.Answers()) {
    members.push_back(ToJson(each));
    newest = std::max(newest, each.mReport ? each.mReport->mHeld : 0);
  }
  json::array record;
  for (const member& each : poll.Record().mMembers) {
    record.emplace_back(each.mId);
  }
  const bool isEverywhere = poll.AllReached(newest);
  const json::object body{ { "newestRevision", newest },
                           { "everywhere", isEverywhere },
                           { "storeAnswers", poll.HasMembers() },
                           { "members", std::move(members) },
                           { "record", json::object{ { "revision", poll.Record().mRevision },
                                                     { "members", std::move(record) } } } };
  const bool isReached = poll.HasMembers() || newest > 0;
  return { isReached ? ctl_status::kDone : ctl_status::kNotReached, body };
}

} // namespace briarwind
