#pragma once

#include "briarwind/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace briarwind {

/// Identifies a request within one router.
using request_number = std::uint64_t;

struct queued_request
{
  request_number mNumber = 0;
  std::string mOrganisation;
  instant mDeadline;
};

/// Bounded queue of the requests for one service. Organisations share it by weighted fair queueing;
/// the requests of one organisation are ordered by deadline. When the queue is over capacity, the
/// organisation with the most requests relative to its weight loses the one with the latest
/// deadline.
class request_queue
{
public:
  explicit request_queue(std::size_t aCapacity);

  /// @return the request that was displaced because the queue was full, which may be the new one
  std::optional<queued_request> Push(queued_request aRequest, int aWeight);
  /// Removes and returns the next request; nothing when the queue is empty.
  std::optional<queued_request> Pop();
  /// Undoes the last Pop: the request goes back and its organisation keeps its turn.
  void Requeue(queued_request aRequest, int aWeight);
  /// Removes a request; false when it is not queued.
  bool Remove(request_number aNumber);
  /// Removes and returns one request whose deadline is not after aNow; nothing when there is none.
  std::optional<queued_request> PopExpired(instant aNow);
  std::optional<instant> EarliestDeadline() const;

  std::size_t size() const { return mPositions.size(); }
  bool empty() const { return mPositions.empty(); }
  /// Number of queued requests of the organisation whose deadline is not after aDeadline.
  std::size_t CountDueBy(std::string_view aOrganisation, instant aDeadline) const;
  /// The organisation's weight divided by the sum of its own weight and the weights of all other
  /// organisations with queued requests.
  double WeightShare(std::string_view aOrganisation, int aWeight) const;

private:
  struct organisation_queue
  {
    int mWeight = 1;
    double mNextTurn = 0; ///< virtual time at which its next request is served
    std::multimap<instant, queued_request> mRequests;
  };
  using organisation_queues = std::map<std::string, organisation_queue, std::less<>>;
  /// Where a queued request is found.
  struct queue_position
  {
    std::string mOrganisation;
    instant mDeadline;
  };

  organisation_queues::iterator LongestQueue();
  queued_request Extract(organisation_queues::iterator aQueue,
                         std::multimap<instant, queued_request>::iterator aPosition);
  void Insert(queued_request aRequest, int aWeight);

  std::size_t mCapacity;
  double mVirtualTime = 0; ///< mNextTurn of the organisation that was served last
  organisation_queues mQueues;
  std::map<request_number, queue_position> mPositions;
};

} // namespace briarwind
