#include "leader_quorum.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace briarwind {

namespace {

constexpr milliseconds kAnswerPollInterval{ 2 };

// The answers of one round. The fibers of requests that outlive the round share the ownership.
struct round_progress
{
  std::set<std::string> mConfirming; // ids of members that report no later epoch
  std::size_t mPending = 0;          // requests without an answer yet
  bool mSuperseded = false;
};

} // namespace

leader_quorum::leader_quorum(fiber_runtime& aRuntime, settings_node& aNode)
  : mRuntime(aRuntime)
  , mNode(aNode)
{
  mNode.Link().SetHandler(wire::PeerRequest::kLeader, [this](const wire::PeerRequest& aRequest) {
    return HandleRequest(aRequest);
  });
}

wire::PeerAnswer leader_quorum::HandleRequest(const wire::PeerRequest& aRequest)
{
  mHighestEpoch = std::max(mHighestEpoch, aRequest.leader().epoch());
  wire::PeerAnswer answer;
  answer.mutable_leader()->set_member(mNode.Self().mId);
  answer.mutable_leader()->set_highest(mHighestEpoch);
  return answer;
}

leader_quorum::round_result leader_quorum::ConfirmEpoch(epoch_number aEpoch, instant aDeadline)
{
  mHighestEpoch = std::max(mHighestEpoch, aEpoch);
  const member_record record = mNode.Record();
  std::vector<member> recipients = record.mMembers;
  std::ranges::copy(record.mPrevious, std::back_inserter(recipients));
  std::erase_if(recipients, [&](const member& aMember) { return aMember.mId == mNode.Self().mId; });

  auto progress = std::make_shared<round_progress>();
  progress->mConfirming.insert(mNode.Self().mId);
  progress->mPending = recipients.size();
  for (const member& each : recipients) {
    mRuntime.Spawn([this, progress, each, aEpoch, aDeadline] {
      wire::PeerRequest request;
      request.mutable_leader()->set_epoch(aEpoch);
      const auto answer = mNode.Link().SendRequest(each.mPeer, std::move(request), aDeadline);
      // A process restarted at the same address is a new member: the epochs that the listed member
      // had recorded are lost, so the answer does not count for the listed member.
      const bool sameMember = answer && answer.value().leader().member() == each.mId;
      if (sameMember && answer.value().leader().highest() <= aEpoch) {
        progress->mConfirming.insert(each.mId);
      }
      progress->mSuperseded |= answer && answer.value().leader().highest() > aEpoch;
      --progress->mPending;
    });
  }
  while (progress->mPending > 0 && monotonic_clock::now() < aDeadline) {
    SleepFor(kAnswerPollInterval);
  }
  round_result result;
  result.mSuperseded = progress->mSuperseded || mHighestEpoch > aEpoch;
  result.mHasMajority =
    !result.mSuperseded && !record.mMembers.empty() &&
    HeldByRecordMajorities(
      record, [&](const member& aMember) { return progress->mConfirming.contains(aMember.mId); },
      [&](const member& aMember) { return IsReplaced(aMember, mNode.Members()); });
  return result;
}

} // namespace briarwind
