#include "briarwind/endpoint.h"
#include "briarwind/testing.h"

using namespace briarwind;

// Guards against endpoints that are misread, and against host names or invalid ports being
// accepted.
BW_STORY("endpoints are parsed from text")
{
  BW_SECTION("an IPv4 address with a port is parsed")
  {
    const auto read = ToIoResult([] { return ParseEndpoint("127.0.0.1:8080"); });
    BW_CHECK(read.has_value());
    BW_EQUAL(std::string("127.0.0.1"), read.value().mAddress);
    BW_EQUAL(8080, int{ read.value().mPort });
    BW_SECTION("the endpoint is formatted as the same text")
    {
      BW_EQUAL(std::string("127.0.0.1:8080"), ToString(read.value()));
    }
  }
  BW_SECTION("an IPv6 address in brackets is parsed and formatted as the same text")
  {
    const auto read = ToIoResult([] { return ParseEndpoint("[::1]:80"); });
    BW_CHECK(read.has_value());
    BW_EQUAL(std::string("[::1]:80"), ToString(read.value()));
  }
  BW_SECTION("a host name, a missing port or a port out of range is rejected")
  {
    for (const char* text : { "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "" }) {
      const auto read = ToIoResult([&] { return ParseEndpoint(text); });
      BW_CHECK(!read.has_value());
      BW_CHECK(read.error().mKind == error_kind::kInvalid);
    }
  }
}
