#include "leader_quorum.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace briarwind {

namespace {

constexpr milliseconds kAnswerCheck{ 2 };

// What one round has heard; shared with questions that outlive it.
struct heard_answers
{
  std::set<std::string> mHolders;
  std::size_t mOpen = 0;
  bool mSuperseded = false;
};

} // namespace

leader_quorum::leader_quorum(fiber_runtime& aRuntime, settings_node& aNode)
  : mRuntime(aRuntime)
  , mNode(aNode)
{
  mNode.Link().Handle(wire::PeerRequest::kLeader,
                      [this](const wire::PeerRequest& aRequest) { return Answer(aRequest); });
}

wire::PeerAnswer leader_quorum::Answer(const wire::PeerRequest& aRequest)
{
  mHighest = std::max(mHighest, aRequest.leader().epoch());
  wire::PeerAnswer answer;
  answer.mutable_leader()->set_member(mNode.Self().mId);
  answer.mutable_leader()->set_highest(mHighest);
  return answer;
}

leader_quorum::round_result leader_quorum::Ask(epoch_number aEpoch, instant aDeadline)
{
  mHighest = std::max(mHighest, aEpoch);
  const member_record record = mNode.Record();
  std::vector<member> asked = record.mMembers;
  std::ranges::copy(record.mPrevious, std::back_inserter(asked));
  std::erase_if(asked, [&](const member& aMember) { return aMember.mId == mNode.Self().mId; });

  auto heard = std::make_shared<heard_answers>();
  heard->mHolders.insert(mNode.Self().mId);
  heard->mOpen = asked.size();
  for (const member& each : asked) {
    mRuntime.Spawn([this, heard, each, aEpoch, aDeadline] {
      wire::PeerRequest request;
      request.mutable_leader()->set_epoch(aEpoch);
      const auto answer = mNode.Link().Ask(each.mPeer, std::move(request), aDeadline);
      // A process that was restarted at the same address has forgotten what the member knew.
      const bool counts = answer && answer.value().leader().member() == each.mId;
      if (counts && answer.value().leader().highest() <= aEpoch) {
        heard->mHolders.insert(each.mId);
      }
      heard->mSuperseded |= answer && answer.value().leader().highest() > aEpoch;
      --heard->mOpen;
    });
  }
  while (heard->mOpen > 0 && monotonic_clock::now() < aDeadline) {
    SleepFor(kAnswerCheck);
  }
  round_result result;
  result.mSuperseded = heard->mSuperseded || mHighest > aEpoch;
  result.mHasMajority =
    !result.mSuperseded && !record.mMembers.empty() &&
    HeldByRecord(
      record, [&](const member& aMember) { return heard->mHolders.contains(aMember.mId); },
      [&](const member& aMember) { return IsReplaced(aMember, mNode.Members()); });
  return result;
}

} // namespace briarwind
