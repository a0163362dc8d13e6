#include "briarwind/json_fields.h"
#include "briarwind/testing.h"

using namespace briarwind;

// Guards against exceptions, silent truncation and undefined results when a peer sends fields of
// the wrong type, numbers out of range or malformed JSON.
BW_STORY("fields of a JSON object are read by type")
{
  const auto read = ToIoResult([] {
    return ParseJsonObject(R"( {"n":7,"s":"12","t":"x","b":true,"o":{"n":1},"a":[1],"d":2.5} )");
  });
  BW_CHECK(read.has_value());
  const auto& object = read.value();
  BW_SECTION("numbers are read, also from strings of digits")
  {
    BW_EQUAL(std::int64_t{ 7 }, NumberField(object, "n"));
    BW_EQUAL(std::int64_t{ 12 }, NumberField(object, "s"));
    BW_EQUAL(std::int64_t{ 5 }, NumberField(object, "t", 5));
    BW_EQUAL(std::int64_t{ 5 }, NumberField(object, "d", 5));
    BW_EQUAL(std::int64_t{ 5 }, NumberField(object, "none", 5));
  }
  BW_SECTION("numbers that are no int are replaced by the default, without exceptions")
  {
    const auto unusual = ToIoResult([] {
      return ParseJsonObject(R"({"f":2.5,"e":1e300,"u":18446744073709551615,"w":4294967297,)"
                             R"("h":3.0,"z":null,"l":[1]})");
    });
    for (const char* name : { "f", "e", "u", "z", "l" }) {
      BW_CHECK(!WholeNumber(unusual.value().at(name)));
      BW_EQUAL(9, IntField(unusual.value(), name, 9));
    }
    BW_EQUAL(9, IntField(unusual.value(), "w", 9));
    BW_EQUAL(9, IntField(unusual.value(), "none", 9));
    BW_EQUAL(7, IntField(object, "n"));
    BW_CHECK(WholeNumber(unusual.value().at("h")) == std::int64_t{ 3 });
  }
  BW_SECTION("texts, Booleans, objects and arrays are read, and are empty or false otherwise")
  {
    BW_EQUAL(std::string("x"), TextField(object, "t"));
    BW_CHECK(TextField(object, "n").empty());
    BW_CHECK(BooleanField(object, "b"));
    BW_CHECK(!BooleanField(object, "n"));
    BW_EQUAL(std::int64_t{ 1 }, NumberField(ObjectField(object, "o"), "n"));
    BW_CHECK(ObjectField(object, "a").empty());
    BW_EQUAL(std::size_t{ 1 }, ArrayField(object, "a").size());
    BW_CHECK(ArrayField(object, "o").empty());
  }
  BW_SECTION("malformed text, several values or a value that is no object is rejected")
  {
    for (const char* text : { "", "{", "{} {}", "[1]", "{\"a\":}", "nope" }) {
      const auto broken = ToIoResult([&] { return ParseJsonObject(text); });
      BW_CHECK(!broken.has_value());
      BW_CHECK(broken.error().mKind == error_kind::kInvalid);
    }
  }
}
