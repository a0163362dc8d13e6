#include "briarwind/host_list.h"

#include "briarwind/json_fields.h"
#include "briarwind/json_split.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace briarwind {

namespace json = boost::json;

namespace {

// Limits of what an entry may say; they keep sums over all workers within their types.
constexpr std::int64_t kMaxCores = 1'000'000;
constexpr std::int64_t kMaxMemoryMb = 1'000'000'000;
constexpr std::int64_t kMaxAccelerators = 100'000;
// Bytes of an entry's text that stand for its name if it has none.
constexpr std::size_t kShownLength = 40;

std::optional<host_kind> ParseKind(std::string_view aText)
{
  constexpr std::array kKinds{ std::pair{ std::string_view("worker"), host_kind::kWorker },
                               std::pair{ std::string_view("target"), host_kind::kTarget },
                               std::pair{ std::string_view("entry"), host_kind::kEntry } };
  const auto found =
    std::ranges::find(kKinds, aText, [](const auto& aKind) { return aKind.first; });
  return found == kKinds.end() ? std::nullopt : std::optional(found->second);
}

// Returns 0 when the field is absent, and nullopt when it is not a whole number within the range.
std::optional<std::int64_t> ReadCapacity(const json::object& aHost, std::string_view aName,
                                         std::int64_t aMax)
{
  const json::value* found = aHost.if_contains(aName);
  if (found == nullptr) {
    return 0;
  }
  const auto number = WholeNumber(*found);
  return number && *number >= 0 && *number <= aMax ? number : std::nullopt;
}

std::optional<host> ParseHost(const json::object& aFields)
{
  host parsed;
  parsed.mName = TextField(aFields, "name");
  const auto address = ToIoResult([&] { return ParseEndpoint(TextField(aFields, "address")); });
  const auto kind = ParseKind(TextField(aFields, "kind"));
  const auto accelerators = ReadCapacity(aFields, "accelerators", kMaxAccelerators);
  const auto cores = ReadCapacity(aFields, "cores", kMaxCores);
  const auto memory = ReadCapacity(aFields, "memoryMb", kMaxMemoryMb);
  if (parsed.mName.empty() || !address || address.value().mPort == 0 || !kind || !accelerators ||
      !cores || !memory) {
    return std::nullopt;
  }
  parsed.mAddress = address.value();
  parsed.mKind = *kind;
  parsed.mDomain = TextField(aFields, "domain");
  parsed.mRack = TextField(aFields, "rack");
  parsed.mRegion = TextField(aFields, "region");
  parsed.mService = TextField(aFields, "service");
  parsed.mLeaving = TextField(aFields, "state") == "leaving";
  parsed.mCapacity.mAccelerators = static_cast<int>(*accelerators);
  parsed.mCapacity.mCores = static_cast<int>(*cores);
  parsed.mCapacity.mMemoryMb = *memory;
  return parsed;
}

std::string_view FindText(const std::vector<json_field_text>& aFields, std::string_view aName)
{
  const auto found = std::ranges::find(aFields, aName, &json_field_text::first);
  return found == aFields.end() ? std::string_view() : found->second;
}

std::int64_t ParseVersion(std::string_view aText)
{
  boost::system::error_code failed;
  const json::value version = json::parse(aText, failed);
  return failed ? 0 : WholeNumber(version).value_or(0);
}

} // namespace

// The entries are parsed one by one, so that one that the parser refuses, for its nesting or for a
// number out of range, does not hide the others.
result<host_list> ParseHostList(std::string_view aJson)
{
  const auto fields = SplitJsonObject(aJson);
  const auto entries = fields ? SplitJsonArray(FindText(*fields, "hosts")) : std::nullopt;
  if (!entries) {
    return MakeError(error_kind::kProtocol, "host list", "expected an object with an array hosts");
  }
  host_list list;
  list.mVersion = ParseVersion(FindText(*fields, "version"));
  for (const std::string_view text : *entries) {
    const auto entry = ToIoResult([&] { return ParseJsonObject(text); });
    if (auto parsed = entry ? ParseHost(entry.value()) : std::nullopt) {
      list.mHosts.push_back(std::move(*parsed));
      continue;
    }
    const std::string name = entry ? TextField(entry.value(), "name") : std::string();
    list.mUnreadable.push_back(name.empty() ? std::string(text.substr(0, kShownLength)) : name);
  }
  return list;
}

} // namespace briarwind
