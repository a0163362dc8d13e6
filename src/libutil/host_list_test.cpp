#include "briarwind/host_list.h"

#include "briarwind/error.h"
#include "briarwind/testing.h"

#include <fmt/format.h>

#include <array>

using namespace briarwind;

namespace {

constexpr std::string_view kWorker =
  R"({"name":"w1","kind":"worker","address":"10.0.0.1:80","domain":"d1","rack":"r1","region":"a",)"
  R"("state":"live","cores":128,"memoryMb":262144,"accelerators":8})";
constexpr std::string_view kTarget =
  R"({"name":"t1","kind":"target","address":"10.0.0.2:80","domain":"d1","service":"tags",)"
  R"("state":"leaving"})";

io_result<host_list> Parse(std::string_view aText)
{
  return ToIoResult([&] { return ParseHostList(aText); });
}

// A list of a worker, the entry and a target.
io_result<host_list> ParseWith(std::string_view aEntry)
{
  return Parse(fmt::format(R"({{"version":7,"hosts":[{},{},{}]}})", kWorker, aEntry, kTarget));
}

} // namespace

// Guards against one odd entry that makes the whole list unreadable: hosts that are added or
// removed later would never be noticed.
BW_STORY("a host list with entries of another writer")
{
  BW_SECTION("sound entries are read")
  {
    const auto list = Parse(fmt::format(R"({{"version":7,"hosts":[{},{}]}})", kWorker, kTarget));
    BW_CHECK(list.has_value());
    BW_EQUAL(std::int64_t{ 7 }, list.value().mVersion);
    BW_EQUAL(std::size_t{ 2 }, list.value().mHosts.size());
    const host& worker = list.value().mHosts[0];
    BW_EQUAL(std::string("w1"), worker.mName);
    BW_EQUAL(std::string("10.0.0.1:80"), ToString(worker.mAddress));
    BW_CHECK(worker.mCapacity == (resource_shape{ 8, 128, 262144 }));
    BW_CHECK(list.value().mHosts[1].mKind == host_kind::kTarget);
    BW_CHECK(list.value().mHosts[1].mLeaving);
    BW_CHECK(list.value().mUnreadable.empty());
  }
  BW_SECTION("an entry that cannot be parsed is named by its text and hides no other")
  {
    constexpr std::size_t kLevels = 100'000;
    const std::string nested = std::string(kLevels, '[') + std::string(kLevels, ']');
    for (const std::string& entry :
         { std::string("17"), std::string("null"), std::string("[]"), std::string("{}"),
           std::string(), nested, fmt::format(R"({{"name":"odd","rack":{}}})", nested),
           std::string(R"({"name":"odd","cores":1e999})") }) {
      const auto list = ParseWith(entry);
      BW_CHECK(list.has_value());
      BW_EQUAL(std::size_t{ 2 }, list.value().mHosts.size());
      BW_EQUAL(std::size_t{ 1 }, list.value().mUnreadable.size());
    }
    BW_EQUAL(std::string("17"), ParseWith("17").value().mUnreadable.front());
  }
  BW_SECTION("an entry with an invalid field is named and hides no other")
  {
    struct replacement
    {
      std::string_view mValue;
      std::string_view mInvalid;
    };
    constexpr std::array kReplacements{
      replacement{ "10.0.0.1:80", "10.0.0.1:65536" },
      replacement{ "10.0.0.1:80", "10.0.0.1:0" },
      replacement{ "10.0.0.1:80", "10.0.0.1" },
      replacement{ R"("worker")", R"("sensor")" },
      replacement{ R"("worker")", "1" },
      replacement{ "128", "-1" },
      replacement{ "128", "0.5" },
      replacement{ "262144", "9223372036854775807" },
      replacement{ R"("accelerators":8)", R"("accelerators":1099511627776)" },
      replacement{ R"("accelerators":8)", R"("accelerators":"8")" },
    };
    for (const replacement& each : kReplacements) {
      std::string entry(kWorker);
      entry.replace(entry.find("w1"), 2, "odd");
      entry.replace(entry.find(each.mValue), each.mValue.size(), each.mInvalid);
      const auto list = ParseWith(entry);
      BW_CHECK(list.has_value());
      BW_EQUAL(std::size_t{ 2 }, list.value().mHosts.size());
      BW_CHECK(list.value().mUnreadable == std::vector<std::string>{ "odd" });
    }
  }
  BW_SECTION("a text that holds no list is refused as a whole")
  {
    for (const char* text : { "", "[]", "{}", R"({"hosts":7})", R"({"version":7,"hosts":[)" }) {
      BW_CHECK(!Parse(text));
    }
  }
}
