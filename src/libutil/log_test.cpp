#include "briarwind/log.h"
#include "briarwind/testing.h"

#include <regex>
#include <vector>

using namespace briarwind;

namespace {

std::vector<std::string> sLines;

constexpr event_kind kOpened{ 1042, log_level::kInfo, "gate.opened", "A gate was opened." };
constexpr event_kind kDetail{ 1043, log_level::kDebug, "gate.detail", "More about a gate." };

} // namespace

BW_STORY("a log event")
{
  sLines.clear();
  SetLogLevel(log_level::kInfo);
  SetLogSink([](std::string_view aLine) { sLines.emplace_back(aLine); });
  BW_SECTION("is one line with time, level, number, name and fields")
  {
    LogEvent(kOpened, { Field("gate", 7), Field("by", "ana") });
    BW_EQUAL(std::size_t{ 1 }, sLines.size());
    const std::regex expected(
      R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z info BW1042 gate\.opened gate=7 by=ana)");
    BW_CHECK(std::regex_match(sLines.front(), expected));
  }
  BW_SECTION("stays one line with whole fields, whatever a value holds")
  {
    LogEvent(kOpened, { Field("by", "a b=\"c\"\nBW1 x"), Field("empty", "") });
    BW_CHECK(sLines.front().ends_with(R"( by="a b=\"c\"\x0aBW1 x" empty="")"));
  }
  BW_SECTION("is dropped below the level")
  {
    LogEvent(kDetail);
    BW_CHECK(sLines.empty());
    SetLogLevel(log_level::kDebug);
    LogEvent(kDetail);
    BW_EQUAL(std::size_t{ 1 }, sLines.size());
    SetLogLevel(log_level::kInfo);
  }
  BW_SECTION("has one line in the catalogue")
  {
    const std::vector<event_kind> kinds{ kOpened };
    BW_EQUAL(std::string("| BW1042 | info | `gate.opened` | A gate was opened. |\n"),
             EventCatalogue(kinds));
  }
  SetLogSink(nullptr);
}
