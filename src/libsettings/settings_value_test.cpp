#include "briarwind/settings_value.h"
#include "briarwind/testing.h"

#include <algorithm>

using namespace briarwind;

namespace {

settings_path Path(std::string_view aText)
{
  return ToIoResult([&] { return ParseSettingsPath(aText); }).value();
}

} // namespace

// Guards against a path that is stored under the key of another subtree, and against malformed
// paths that are accepted.
BW_STORY("a settings path names a subtree or a field inside one")
{
  BW_SECTION("a path with further segments is split into the subtree and its field")
  {
    const settings_path path = Path("/teams/red/requests/perSecond");
    BW_EQUAL(std::string("/requests/perSecond"), path.mField);
    BW_EQUAL(std::string("/briarwind/settings/teams/red"), StoreKey(path));
    BW_CHECK(PathOfStoreKey(StoreKey(path)) == SubtreeOf(path));
  }
  BW_SECTION("a malformed path is rejected")
  {
    for (const char* text : { "", "teams/a", "/teams", "/teams/", "/lorries/a", "/teams/a b" }) {
      BW_CHECK(!ToIoResult([&] { return ParseSettingsPath(text); }).has_value());
    }
  }
}

// Guards against settings that change when they are parsed and written again, and against parsing
// that stops at the first of several errors.
BW_STORY("the settings of an organisation are parsed and validated")
{
  findings found;
  BW_SECTION("valid settings are written back as they were parsed")
  {
    const std::string text =
      R"({"weight":3,"guarantees":[{"name":"night","count":2,"members":4,)"
      R"("shape":{"accelerators":8,"cores":64,"memoryMb":1024},"adjacency":"rack"}],)"
      R"("requests":{"perSecond":100,"inFlight":7}})";
    const auto value = ParseSettings(Path("/organisations/o"), text, found);
    BW_CHECK(found.empty());
    BW_EQUAL(text, ToJson(*value));
  }
  BW_SECTION("all errors are reported together, each with its place")
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
