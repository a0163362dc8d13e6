#include "briarwind/testing.h"

#include <string>
#include <vector>

namespace {

std::vector<std::string> sRecordedPaths;

void RecordPath(const char* aPath)
{
  sRecordedPaths.emplace_back(aPath);
}

} // namespace

// Guards against a runner that skips an inner section, runs one twice, or carries the state of one
// path through the sections over to the next.
BW_STORY("a story runs once for each path through its sections")
{
  std::string path = "start";
  BW_SECTION("outer section with two inner sections")
  {
    path += " first";
    BW_SECTION("first inner section")
    {
      path += " left";
      RecordPath(path.c_str());
    }
    BW_SECTION("second inner section")
    {
      path += " right";
      RecordPath(path.c_str());
    }
  }
  BW_SECTION("each path has run once and from the start")
  {
    const std::vector<std::string> expected{ "start first left", "start first right" };
    BW_EQUAL(expected, sRecordedPaths);
  }
}
