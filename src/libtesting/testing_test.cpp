#include "briarwind/testing.h"

#include <string>
#include <vector>

namespace {

std::vector<std::string> sPaths;

void Note(const char* aPath)
{
  sPaths.emplace_back(aPath);
}

} // namespace

BW_STORY("a story with nested sections")
{
  std::string path = "start";
  BW_SECTION("first")
  {
    path += " first";
    BW_SECTION("left")
    {
      path += " left";
      Note(path.c_str());
    }
    BW_SECTION("right")
    {
      path += " right";
      Note(path.c_str());
    }
  }
  BW_SECTION("second, after each path was run once from the start")
  {
    const std::vector<std::string> expected{ "start first left", "start first right" };
    BW_EQUAL(expected, sPaths);
  }
}
