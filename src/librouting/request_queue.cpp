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
  line& own = mLines[aRequest.mOrganisation];
  own.mWeight = std::max(1, aWeight);
  if (own.mRequests.empty()) {
    // An organisation that was idle gets no credit for the time it was away.
    own.mTurn = std::max(own.mTurn, mVirtualTime);
  }
  mPlaces[aRequest.mNumber] = { aRequest.mOrganisation, aRequest.mDeadline };
  own.mRequests.emplace(aRequest.mDeadline, std::move(aRequest));
}

std::optional<queued_request> request_queue::Push(queued_request aRequest, int aWeight)
{
  Insert(std::move(aRequest), aWeight);
  if (mPlaces.size() <= mCapacity) {
    return std::nullopt;
  }
  const auto longest = LongestLine();
  return Take(longest, std::prev(longest->second.mRequests.end()));
}

request_queue::lines::iterator request_queue::LongestLine()
{
  return std::ranges::max_element(mLines, {}, [](const auto& aEntry) {
    return static_cast<double>(aEntry.second.mRequests.size()) / aEntry.second.mWeight;
  });
}

queued_request request_queue::Take(lines::iterator aLine,
                                   std::multimap<instant, queued_request>::iterator aAt)
{
  queued_request taken = std::move(aAt->second);
  aLine->second.mRequests.erase(aAt);
  mPlaces.erase(taken.mNumber);
  if (aLine->second.mRequests.empty() && aLine->second.mTurn <= mVirtualTime) {
    mLines.erase(aLine);
  }
  return taken;
}

std::optional<queued_request> request_queue::Pop()
{
  auto next = mLines.end();
  for (auto each = mLines.begin(); each != mLines.end(); ++each) {
    const bool waits = !each->second.mRequests.empty();
    if (waits && (next == mLines.end() || each->second.mTurn < next->second.mTurn)) {
      next = each;
    }
  }
  if (next == mLines.end()) {
    return std::nullopt;
  }
  mVirtualTime = next->second.mTurn;
  next->second.mTurn += 1.0 / next->second.mWeight;
  return Take(next, next->second.mRequests.begin());
}

void request_queue::Return(queued_request aRequest, int aWeight)
{
  const std::string organisation = aRequest.mOrganisation;
  Insert(std::move(aRequest), aWeight);
  mLines[organisation].mTurn -= 1.0 / std::max(1, aWeight);
}

bool request_queue::Remove(request_number aNumber)
{
  const auto found = mPlaces.find(aNumber);
  if (found == mPlaces.end()) {
    return false;
  }
  const auto owner = mLines.find(found->second.mOrganisation);
  auto [at, end] = owner->second.mRequests.equal_range(found->second.mDeadline);
  at = std::find_if(at, end, [&](const auto& aEntry) { return aEntry.second.mNumber == aNumber; });
  Take(owner, at);
  return true;
}

std::optional<queued_request> request_queue::PopExpired(instant aNow)
{
  const auto late = std::ranges::find_if(mLines, [&](const auto& aEntry) {
    const auto& requests = aEntry.second.mRequests;
    return !requests.empty() && requests.begin()->first <= aNow;
  });
  if (late == mLines.end()) {
    return std::nullopt;
  }
  return Take(late, late->second.mRequests.begin());
}

std::optional<instant> request_queue::EarliestDeadline() const
{
  std::optional<instant> earliest;
  for (const auto& [name, each] : mLines) {
    if (!each.mRequests.empty()) {
      const instant due = each.mRequests.begin()->first;
      earliest = earliest ? std::min(*earliest, due) : due;
    }
  }
  return earliest;
}

std::size_t request_queue::Ahead(std::string_view aOrganisation, instant aDeadline) const
{
  const auto own = mLines.find(aOrganisation);
  if (own == mLines.end()) {
    return 0;
  }
  const auto& requests = own->second.mRequests;
  return static_cast<std::size_t>(std::distance(requests.begin(), requests.upper_bound(aDeadline)));
}

double request_queue::Share(std::string_view aOrganisation, int aWeight) const
{
  double all = aWeight;
  for (const auto& [name, each] : mLines) {
    if (name != aOrganisation && !each.mRequests.empty()) {
      all += each.mWeight;
    }
  }
  return aWeight / all;
}

} // namespace briarwind
