#include "briarwind/testing.h"
#include "briarwind/time_text.h"

#include <rapidcheck.h>

using namespace briarwind;

// Guards against durations in settings that are misread: a missing unit, or a number that overflows
// when converted to milliseconds.
BW_STORY("durations are parsed from text")
{
  BW_SECTION("each unit is accepted")
  {
    BW_EQUAL(milliseconds{ 250 }, ToIoResult([] { return ParseTime("250ms"); }).value());
    BW_EQUAL(milliseconds{ 2'000 }, ToIoResult([] { return ParseTime("2s"); }).value());
    BW_EQUAL(milliseconds{ 300'000 }, ToIoResult([] { return ParseTime("5m"); }).value());
  }
  BW_SECTION("a missing or unknown unit and negative, malformed or too large numbers are rejected")
  {
    for (const char* text : { "250", "2h", "-1s", "1.5s", "s", "", "9223372036854775807m" }) {
      const auto read = ToIoResult([&] { return ParseTime(text); });
      BW_CHECK(!read.has_value());
      BW_CHECK(read.error().mKind == error_kind::kInvalid);
    }
  }
  BW_SECTION("parsing a formatted duration returns the same duration")
  {
    BW_CHECK(rc::check("any whole number of milliseconds", [](std::uint32_t aNumber) {
      const milliseconds time{ aNumber };
      RC_ASSERT(ToIoResult([&] { return ParseTime(ToString(time)); }).value() == time);
    }));
    BW_EQUAL(std::string("2m"), ToString(milliseconds{ 120'000 }));
    BW_EQUAL(std::string("0ms"), ToString(milliseconds{ 0 }));
  }
}
