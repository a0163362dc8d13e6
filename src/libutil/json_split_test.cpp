#include "briarwind/json_split.h"

#include "briarwind/testing.h"

#include <string>

using namespace briarwind;

using texts = std::vector<std::string_view>;

// Guards against an element that hides the others: brackets, commas and quotes within it must not
// count as those of the list.
BW_STORY("a JSON list is split without parsing its elements")
{
  BW_SECTION("elements end at commas outside of strings and brackets")
  {
    BW_CHECK(SplitJsonArray(R"([1, {"a":[2,3]} ,"x,]\",y", [ ] ])") ==
             (texts{ "1", R"({"a":[2,3]})", R"("x,]\",y")", "[ ]" }));
    BW_CHECK(SplitJsonArray(" [ ] ") == texts{});
  }
  BW_SECTION("elements that no parser accepts are kept apart")
  {
    BW_CHECK(SplitJsonArray("[1e999,,tru,2]") == (texts{ "1e999", "", "tru", "2" }));
  }
  BW_SECTION("a deeply nested element is one element")
  {
    constexpr std::size_t kLevels = 1'000'000;
    const std::string nested = std::string(kLevels, '[') + std::string(kLevels, ']');
    const std::string list = "[1," + nested + ",2]";
    const auto elements = SplitJsonArray(list);
    BW_CHECK(elements == (texts{ "1", nested, "2" }));
  }
  BW_SECTION("a text whose brackets or quotes do not match is no list")
  {
    for (const char* text :
         { "", "[", "]", "{}", "[1", "1]", "[[]", "[]]", R"(["a])", R"(["a\"])" }) {
      BW_CHECK(!SplitJsonArray(text));
    }
  }
  BW_SECTION("an object is split into names and texts of values")
  {
    const auto fields = SplitJsonObject(R"( {"version" : 7,"hosts":[{"name":"a:b"}],"":""} )");
    BW_CHECK(fields == (std::vector<json_field_text>{
                         { "version", "7" }, { "hosts", R"([{"name":"a:b"}])" }, { "", "\"\"" } }));
    BW_CHECK(SplitJsonObject("{}")->empty());
  }
  BW_SECTION("a field without a name or a colon makes the text no object")
  {
    for (const char* text : { R"({"a"})", "{a:1}", "{,}", R"({"a":1,})", R"({"a:1})", "[]" }) {
      BW_CHECK(!SplitJsonObject(text));
    }
  }
}
