#include "briarwind/base64.h"
#include "briarwind/testing.h"

#include <rapidcheck.h>

using namespace briarwind;

BW_STORY("bytes in base64")
{
  BW_SECTION("are padded to groups of four")
  {
    BW_CHECK(EncodeBase64("").empty());
    BW_EQUAL(std::string("Zg=="), EncodeBase64("f"));
    BW_EQUAL(std::string("Zm8="), EncodeBase64("fo"));
    BW_EQUAL(std::string("Zm9vYmFy"), EncodeBase64("foobar"));
  }
  BW_SECTION("read back the same")
  {
    BW_CHECK(rc::check("any bytes", [](const std::string& aBytes) {
      RC_ASSERT(Settle([&] { return DecodeBase64(EncodeBase64(aBytes)); }).value() == aBytes);
    }));
  }
  BW_SECTION("are refused with a wrong length or character")
  {
    for (const char* text : { "Z", "Zg", "Zg=", "Z===", "Zm9v====", "Z*==", "Z=g=" }) {
      BW_CHECK(!Settle([&] { return DecodeBase64(text); }).has_value());
    }
  }
}
