#include "briarwind/base64.h"
#include "briarwind/testing.h"

#include <rapidcheck.h>

using namespace briarwind;

// Guards against wrong padding, bytes lost in a round trip, and malformed input that is decoded
// instead of rejected. The decoder of Boost accepts padding at any position.
BW_STORY("base64 encodes and decodes bytes")
{
  BW_SECTION("encoded text is padded to groups of four characters")
  {
    BW_CHECK(EncodeBase64("").empty());
    BW_EQUAL(std::string("Zg=="), EncodeBase64("f"));
    BW_EQUAL(std::string("Zm8="), EncodeBase64("fo"));
    BW_EQUAL(std::string("Zm9vYmFy"), EncodeBase64("foobar"));
  }
  BW_SECTION("decoding the encoded bytes returns the same bytes")
  {
    BW_CHECK(rc::check("any bytes", [](const std::string& aBytes) {
      RC_ASSERT(ToIoResult([&] { return DecodeBase64(EncodeBase64(aBytes)); }).value() == aBytes);
    }));
  }
  BW_SECTION("text with a wrong length, padding or character is rejected")
  {
    for (const char* text : { "Z", "Zg", "Zg=", "Z===", "Zm9v====", "Z*==", "Z=g=" }) {
      BW_CHECK(!ToIoResult([&] { return DecodeBase64(text); }).has_value());
    }
  }
}
