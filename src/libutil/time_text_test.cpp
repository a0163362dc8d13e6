#include "briarwind/testing.h"
#include "briarwind/time_text.h"

#include <rapidcheck.h>

using namespace briarwind;

BW_STORY("a time is read from text")
{
  BW_SECTION("with each unit")
  {
    BW_EQUAL(milliseconds{ 250 }, Settle([] { return ParseTime("250ms"); }).value());
    BW_EQUAL(milliseconds{ 2'000 }, Settle([] { return ParseTime("2s"); }).value());
    BW_EQUAL(milliseconds{ 300'000 }, Settle([] { return ParseTime("5m"); }).value());
  }
  BW_SECTION("but not without a unit, with another unit, negative, broken or too long")
  {
    for (const char* text : { "250", "2h", "-1s", "1.5s", "s", "", "9223372036854775807m" }) {
      const auto read = Settle([&] { return ParseTime(text); });
      BW_CHECK(!read.has_value());
      BW_CHECK(read.error().mKind == error_kind::kInvalid);
    }
  }
  BW_SECTION("and reads back what was written")
  {
    BW_CHECK(rc::check("any whole number of milliseconds", [](std::uint32_t aNumber) {
      const milliseconds time{ aNumber };
      RC_ASSERT(Settle([&] { return ParseTime(ToString(time)); }).value() == time);
    }));
    BW_EQUAL(std::string("2m"), ToString(milliseconds{ 120'000 }));
    BW_EQUAL(std::string("0ms"), ToString(milliseconds{ 0 }));
  }
}
