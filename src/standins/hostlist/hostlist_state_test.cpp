#include "standins/hostlist/hostlist_state.h"

#include "briarwind/testing.h"

using namespace briarwind;

namespace {

std::int64_t VersionAt(const hostlist_state& aList, seconds aTime)
{
  return aList.VisibleList(instant(aTime)).at("version").as_int64();
}

} // namespace

// Guards against a stand-in that publishes changes too early or too late for the configured
// lag.
BW_STORY("the host list stand-in publishes changes after its lag")
{
  hostlist_state hosts;
  BW_EQUAL(std::int64_t{ 0 }, VersionAt(hosts, seconds{ 1 }));
  hosts.SetLag(seconds{ 2 });
  hosts.ReplaceHosts({ "a" }, instant(seconds{ 10 }));
  BW_SECTION("the first list is visible at once")
  {
    BW_EQUAL(std::int64_t{ 1 }, VersionAt(hosts, seconds{ 10 }));
  }
  BW_SECTION("a later list becomes visible only after the lag")
  {
    hosts.ReplaceHosts({ "a", "b" }, instant(seconds{ 11 }));
    BW_EQUAL(std::int64_t{ 1 }, VersionAt(hosts, seconds{ 12 }));
    BW_EQUAL(std::int64_t{ 2 }, VersionAt(hosts, seconds{ 13 }));
    BW_EQUAL(std::size_t{ 2 },
             hosts.VisibleList(instant(seconds{ 13 })).at("hosts").as_array().size());
  }
}
