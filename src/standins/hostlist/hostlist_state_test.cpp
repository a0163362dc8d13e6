#include "standins/hostlist/hostlist_state.h"

#include "briarwind/testing.h"

using namespace briarwind;

namespace {

std::int64_t VersionAt(const hostlist_state& aList, seconds aTime)
{
  return aList.Visible(instant(aTime)).at("version").as_int64();
}

} // namespace

BW_STORY("the host list stand-in")
{
  hostlist_state hosts;
  BW_EQUAL(std::int64_t{ 0 }, VersionAt(hosts, seconds{ 1 }));
  hosts.SetLag(seconds{ 2 });
  hosts.Replace({ "a" }, instant(seconds{ 10 }));
  BW_SECTION("shows the first list at once")
  {
    BW_EQUAL(std::int64_t{ 1 }, VersionAt(hosts, seconds{ 10 }));
  }
  BW_SECTION("shows a change after the lag")
  {
    hosts.Replace({ "a", "b" }, instant(seconds{ 11 }));
    BW_EQUAL(std::int64_t{ 1 }, VersionAt(hosts, seconds{ 12 }));
    BW_EQUAL(std::int64_t{ 2 }, VersionAt(hosts, seconds{ 13 }));
    BW_EQUAL(std::size_t{ 2 }, hosts.Visible(instant(seconds{ 13 })).at("hosts").as_array().size());
  }
}
