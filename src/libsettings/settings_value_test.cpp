#include "briarwind/settings_value.h"
#include "briarwind/testing.h"

#include <algorithm>

using namespace briarwind;

namespace {

settings_path Path(std::string_view aText)
{
  return Settle([&] { return ParseSettingsPath(aText); }).value();
}

} // namespace

BW_STORY("a settings path")
{
  BW_SECTION("names a subtree and a field in it")
  {
    const settings_path path = Path("/teams/red/requests/perSecond");
    BW_EQUAL(std::string("/requests/perSecond"), path.mField);
    BW_EQUAL(std::string("/briarwind/settings/teams/red"), StoreKey(path));
    BW_CHECK(PathOfStoreKey(StoreKey(path)) == SubtreeOf(path));
  }
  BW_SECTION("is refused when it names none")
  {
    for (const char* text : { "", "teams/a", "/teams", "/teams/", "/lorries/a", "/teams/a b" }) {
      BW_CHECK(!Settle([&] { return ParseSettingsPath(text); }).has_value());
    }
  }
}

BW_STORY("the settings of an organisation")
{
  findings found;
  BW_SECTION("are read and written back the same")
  {
    const std::string text =
      R"({"weight":3,"guarantees":[{"name":"night","count":2,"members":4,)"
      R"("shape":{"accelerators":8,"cores":64,"memoryMb":1024},"adjacency":"rack"}],)"
      R"("requests":{"perSecond":100,"inFlight":7}})";
    const auto value = ParseSettings(Path("/organisations/o"), text, found);
    BW_CHECK(found.empty());
    BW_EQUAL(text, ToJson(*value));
  }
  BW_SECTION("report everything that is wrong together, each with its place")
  {
    const auto value = ParseSettings(
      Path("/organisations/o"),
      R"({"weight":0,"guarantees":[{"name":"a","count":0,"shape":{"accelerators":"8"}},)"
      R"({"name":"a","shape":{"cores":1},"adjacency":"street"}]})",
      found);
    BW_CHECK(!value.has_value());
    std::vector<std::string> places;
    std::ranges::transform(found, std::back_inserter(places), &finding::mPlace);
    const std::vector<std::string> expected{
      "/organisations/o/weight",
      "/organisations/o/guarantees/0/count",
      "/organisations/o/guarantees/0/shape/accelerators",
      "/organisations/o/guarantees/1/adjacency",
      "/organisations/o/guarantees/1/name",
    };
    BW_CHECK(expected == places);
  }
}
