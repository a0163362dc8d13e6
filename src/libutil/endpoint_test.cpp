#include "briarwind/endpoint.h"
#include "briarwind/testing.h"

using namespace briarwind;

BW_STORY("an endpoint is read from text")
{
  BW_SECTION("with an IPv4 number")
  {
    const auto read = Settle([] { return ParseEndpoint("127.0.0.1:8080"); });
    BW_CHECK(read.has_value());
    BW_EQUAL(std::string("127.0.0.1"), read.value().mAddress);
    BW_EQUAL(8080, int{ read.value().mPort });
    BW_SECTION("and written back the same")
    {
      BW_EQUAL(std::string("127.0.0.1:8080"), ToString(read.value()));
    }
  }
  BW_SECTION("with an IPv6 number in brackets")
  {
    const auto read = Settle([] { return ParseEndpoint("[::1]:80"); });
    BW_CHECK(read.has_value());
    BW_EQUAL(std::string("[::1]:80"), ToString(read.value()));
  }
  BW_SECTION("but not with a name, a missing port or a port that is too large")
  {
    for (const char* text : { "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "" }) {
      const auto read = Settle([&] { return ParseEndpoint(text); });
      BW_CHECK(!read.has_value());
      BW_CHECK(read.error().mKind == error_kind::kInvalid);
    }
  }
}
