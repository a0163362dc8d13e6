#pragma once

#include "briarwind/time.h"

#include <boost/json.hpp>

#include <cstdint>
#include <deque>

namespace briarwind {

// A versioned host list whose changes become visible to readers only after a configurable lag.
class hostlist_state
{
public:
  // Replaces the whole list and increments its version.
  void ReplaceHosts(boost::json::array aHosts, instant aNow);
  void SetLag(milliseconds aLag) { mLag = aLag; }
  milliseconds Lag() const { return mLag; }

  // `{"version":N,"hosts":[…]}` as of one lag before aNow. The first list is visible at once;
  // before it, the version is 0 and the list empty.
  boost::json::object VisibleList(instant aNow) const;

private:
  struct published_list
  {
    instant mPublishedAt;
    std::int64_t mVersion = 0;
    boost::json::array mHosts;
  };

  milliseconds mLag{ 0 };
  std::int64_t mVersion = 0;
  std::deque<published_list> mPublished;
};

} // namespace briarwind
