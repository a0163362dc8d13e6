#pragma once

#include "briarwind/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace briarwind {

/// Number that a router gives to each request it takes.
using request_number = std::uint64_t;

struct queued_request
{
  request_number mNumber = 0;
  std::string mOrganisation;
  instant mDeadline;
};

/// Bounded queue of one service: between organisations by weight, within one by deadline. When it
/// is full, the organisation with most requests for its weight loses the one that is due last.
class request_queue
{
public:
  explicit request_queue(std::size_t aCapacity);

  /// @return the request that had to go, which may be the new one
  std::optional<queued_request> Push(queued_request aRequest, int aWeight);
  /// The next request in turn.
  std::optional<queued_request> Pop();
  /// Puts the request of the last Pop back at its turn.
  void Return(queued_request aRequest, int aWeight);
  /// False when it is not queued.
  bool Remove(request_number aNumber);
  /// One request whose deadline is not after aNow.
  std::optional<queued_request> PopExpired(instant aNow);
  std::optional<instant> EarliestDeadline() const;

  std::size_t size() const { return mPlaces.size(); }
  bool empty() const { return mPlaces.empty(); }
  /// Requests of the organisation that are due no later than aDeadline.
  std::size_t Ahead(std::string_view aOrganisation, instant aDeadline) const;
  /// The organisation's weight over that of all organisations with a request here, itself included.
  double Share(std::string_view aOrganisation, int aWeight) const;

private:
  struct line
  {
    int mWeight = 1;
    double mTurn = 0; ///< virtual time of its next request
    std::multimap<instant, queued_request> mRequests;
  };
  using lines = std::map<std::string, line, std::less<>>;
  struct place
  {
    std::string mOrganisation;
    instant mDeadline;
  };

  lines::iterator LongestLine();
  queued_request Take(lines::iterator aLine, std::multimap<instant, queued_request>::iterator aAt);
  void Insert(queued_request aRequest, int aWeight);

  std::size_t mCapacity;
  double mVirtualTime = 0;
  lines mLines;
  std::map<request_number, place> mPlaces;
};

} // namespace briarwind
