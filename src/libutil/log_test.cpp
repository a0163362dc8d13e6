#include "briarwind/log.h"
#include "briarwind/testing.h"

#include <regex>
#include <vector>

using namespace briarwind;

namespace {

std::vector<std::string> sLoggedLines;

constexpr event_kind kOpened{ 1042, log_level::kInfo, "gate.opened", "A gate was opened." };
constexpr event_kind kDetail{ 1043, log_level::kDebug, "gate.detail", "More about a gate." };

} // namespace

// Guards against log lines that cannot be parsed: a value with spaces, quotes or line breaks must
// not add fields or lines. Also covers the format of a line, the level filter and the event table.
BW_STORY("log events are written to the sink")
{
  sLoggedLines.clear();
  SetLogLevel(log_level::kInfo);
  SetLogSink([](std::string_view aLine) { sLoggedLines.emplace_back(aLine); });
  BW_SECTION("an event is one line with time, level, number, name and fields")
  {
    LogEvent(kOpened, { Field("gate", 7), Field("by", "ana") });
    BW_EQUAL(std::size_t{ 1 }, sLoggedLines.size());
    const std::regex expected(
      R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z info BW1042 gate\.opened gate=7 by=ana)");
    BW_CHECK(std::regex_match(sLoggedLines.front(), expected));
  }
  BW_SECTION("values with quotes, spaces or line breaks are quoted and escaped")
  {
    LogEvent(kOpened, { Field("by", "a b=\"c\"\nBW1 x"), Field("empty", "") });
    BW_CHECK(sLoggedLines.front().ends_with(R"( by="a b=\"c\"\x0aBW1 x" empty="")"));
  }
  BW_SECTION("events below the minimum level are discarded")
  {
    LogEvent(kDetail);
    BW_CHECK(sLoggedLines.empty());
    SetLogLevel(log_level::kDebug);
    LogEvent(kDetail);
    BW_EQUAL(std::size_t{ 1 }, sLoggedLines.size());
    SetLogLevel(log_level::kInfo);
  }
  BW_SECTION("the catalogue has one row for each event")
  {
    const std::vector<event_kind> kinds{ kOpened };
    BW_EQUAL(std::string("| BW1042 | info | `gate.opened` | A gate was opened. |\n"),
             EventCatalogue(kinds));
  }
  SetLogSink(nullptr);
}
