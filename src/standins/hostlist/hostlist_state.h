#pragma once

#include "briarwind/time.h"

#include <boost/json.hpp>

#include <cstdint>
#include <deque>

namespace briarwind {

// A host list that shows every change only after a lag.
class hostlist_state
{
public:
  // Replaces all hosts under the next version.
  void Replace(boost::json::array aHosts, instant aNow);
  void SetLag(milliseconds aLag) { mLag = aLag; }
  milliseconds Lag() const { return mLag; }

  // `{"version":N,"hosts":[…]}` as it was before the lag; the first list shows at once.
  boost::json::object Visible(instant aNow) const;

private:
  struct listing
  {
    instant mSince;
    std::int64_t mVersion = 0;
    boost::json::array mHosts;
  };

  milliseconds mLag{ 0 };
  std::int64_t mVersion = 0;
  std::deque<listing> mListings;
};

} // namespace briarwind
