#include "standins/hostlist/hostlist_state.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace briarwind {

namespace json = boost::json;

void hostlist_state::Replace(json::array aHosts, instant aNow)
{
  const instant since = mListings.empty() ? instant::min() : aNow;
  mListings.push_back({ since, ++mVersion, std::move(aHosts) });
}

json::object hostlist_state::Visible(instant aNow) const
{
  const auto newestFirst = std::views::reverse(mListings);
  const auto found = std::ranges::find_if(
    newestFirst, [&](const listing& aListing) { return aListing.mSince <= aNow - mLag; });
  if (found == newestFirst.end()) {
    return { { "version", 0 }, { "hosts", json::array() } };
  }
  return { { "version", found->mVersion }, { "hosts", found->mHosts } };
}

} // namespace briarwind
