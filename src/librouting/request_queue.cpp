#include "briarwind/request_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace briarwind {

request_queue::request_queue(std::size_t aCapacity)
  : mCapacity(aCapacity)
{
}

void request_queue::Insert(queued_request aRequest, int aWeight)
{
  organisation_queue& queue = mQueues[aRequest.mOrganisation];
  queue.mWeight = std::max(1, aWeight);
  if (queue.mRequests.empty()) {
    // An organisation that had no requests queued gains no priority from its idle time.
    queue.mNextTurn = std::max(queue.mNextTurn, mVirtualTime);
  }
  mPositions[aRequest.mNumber] = { aRequest.mOrganisation, aRequest.mDeadline };
  queue.mRequests.emplace(aRequest.mDeadline, std::move(aRequest));
}

std::optional<queued_request> request_queue::Push(queued_request aRequest, int aWeight)
{
  Insert(std::move(aRequest), aWeight);
  if (mPositions.size() <= mCapacity) {
    return std::nullopt;
  }
  const auto longest = LongestQueue();
  return Extract(longest, std::prev(longest->second.mRequests.end()));
}

request_queue::organisation_queues::iterator request_queue::LongestQueue()
{
  return std::ranges::max_element(mQueues, {}, [](const auto& aEntry) {
    return static_cast<double>(aEntry.second.mRequests.size()) / aEntry.second.mWeight;
  });
}

queued_request request_queue::Extract(organisation_queues::iterator aQueue,
                                      std::multimap<instant, queued_request>::iterator aPosition)
{
  queued_request request = std::move(aPosition->second);
  aQueue->second.mRequests.erase(aPosition);
  mPositions.erase(request.mNumber);
  // An organisation whose next turn is in the future stays, so that it cannot gain a turn by
  // leaving.
  if (aQueue->second.mRequests.empty() && aQueue->second.mNextTurn <= mVirtualTime) {
    mQueues.erase(aQueue);
  }
  return request;
}

std::optional<queued_request> request_queue::Pop()
{
  auto next = mQueues.end();
  for (auto each = mQueues.begin(); each != mQueues.end(); ++each) {
    const bool hasRequests = !each->second.mRequests.empty();
    if (hasRequests && (next == mQueues.end() || each->second.mNextTurn < next->second.mNextTurn)) {
      next = each;
    }
  }
  if (next == mQueues.end()) {
    return std::nullopt;
  }
  mVirtualTime = next->second.mNextTurn;
  next->second.mNextTurn += 1.0 / next->second.mWeight;
  return Extract(next, next->second.mRequests.begin());
}

void request_queue::Requeue(queued_request aRequest, int aWeight)
{
  const std::string organisation = aRequest.mOrganisation;
  Insert(std::move(aRequest), aWeight);
  mQueues[organisation].mNextTurn -= 1.0 / std::max(1, aWeight);
}

bool request_queue::Remove(request_number aNumber)
{
  const auto found = mPositions.find(aNumber);
  if (found == mPositions.end()) {
    return false;
  }
  const auto ownerQueue = mQueues.find(found->second.mOrganisation);
  auto [at, end] = ownerQueue->second.mRequests.equal_range(found->second.mDeadline);
  at = std::find_if(at, end, [&](const auto& aEntry) { return aEntry.second.mNumber == aNumber; });
  Extract(ownerQueue, at);
  return true;
}

std::optional<queued_request> request_queue::PopExpired(instant aNow)
{
  const auto expired = std::ranges::find_if(mQueues, [&](const auto& aEntry) {
    const auto& requests = aEntry.second.mRequests;
    return !requests.empty() && requests.begin()->first <= aNow;
  });
  if (expired == mQueues.end()) {
    return std::nullopt;
  }
  return Extract(expired, expired->second.mRequests.begin());
}

std::optional<instant> request_queue::EarliestDeadline() const
{
  std::optional<instant> earliest;
  for (const auto& [name, each] : mQueues) {
    if (!each.mRequests.empty()) {
      const instant due = each.mRequests.begin()->first;
      earliest = earliest ? std::min(*earliest, due) : due;
    }
  }
  return earliest;
}

std::size_t request_queue::CountDueBy(std::string_view aOrganisation, instant aDeadline) const
{
  const auto queue = mQueues.find(aOrganisation);
  if (queue == mQueues.end()) {
    return 0;
  }
  const auto& requests = queue->second.mRequests;
  return static_cast<std::size_t>(std::distance(requests.begin(), requests.upper_bound(aDeadline)));
}

double request_queue::WeightShare(std::string_view aOrganisation, int aWeight) const
{
  double totalWeight = aWeight;
  for (const auto& [name, each] : mQueues) {
    if (name != aOrganisation && !each.mRequests.empty()) {
      totalWeight += each.mWeight;
    }
  }
  return aWeight / totalWeight;
}

} // namespace briarwind
