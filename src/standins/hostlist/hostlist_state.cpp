#include "standins/hostlist/hostlist_state.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace briarwind {

namespace json = boost::json;

void hostlist_state::ReplaceHosts(json::array aHosts, instant aNow)
{
  const instant publishedAt = mPublished.empty() ? instant::min() : aNow;
  mPublished.push_back({ publishedAt, ++mVersion, std::move(aHosts) });
}

json::object hostlist_state::VisibleList(instant aNow) const
{
  const auto newestFirst = std::views::reverse(mPublished);
  const auto found = std::ranges::find_if(
    newestFirst, [&](const published_list& aList) { return aList.mPublishedAt <= aNow - mLag; });
  if (found == newestFirst.end()) {
    return { { "version", 0 }, { "hosts", json::array() } };
  }
  return { { "version", found->mVersion }, { "hosts", found->mHosts } };
}

} // namespace briarwind
