#include "briarwind/host_list.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iterator>

namespace briarwind {

namespace json = boost::json;

namespace {

std::string StringOrEmpty(const json::object& aHost, std::string_view aName)
{
  const json::value* found = aHost.if_contains(aName);
  return found != nullptr && found->is_string() ? std::string(found->as_string()) : std::string();
}

std::int64_t IntegerOrZero(const json::object& aHost, std::string_view aName)
{
  const json::value* found = aHost.if_contains(aName);
  return found != nullptr && found->is_int64() ? found->as_int64() : 0;
}

host_kind ParseKind(std::string_view aText)
{
  if (aText == "target") {
    return host_kind::kTarget;
  }
  return aText == "entry" ? host_kind::kEntry : host_kind::kWorker;
}

result<host> ParseHost(const json::value& aValue)
{
  if (!aValue.is_object()) {
    return MakeError(error_kind::kProtocol, "host list", "a host is no object");
  }
  const json::object& fields = aValue.as_object();
  host parsed;
  parsed.mName = StringOrEmpty(fields, "name");
  if (parsed.mName.empty()) {
    return MakeError(error_kind::kProtocol, "host list", "a host has no name");
  }
  BOOST_LEAF_ASSIGN(parsed.mAddress, ParseEndpoint(StringOrEmpty(fields, "address")));
  parsed.mKind = ParseKind(StringOrEmpty(fields, "kind"));
  parsed.mDomain = StringOrEmpty(fields, "domain");
  parsed.mRack = StringOrEmpty(fields, "rack");
  parsed.mRegion = StringOrEmpty(fields, "region");
  parsed.mService = StringOrEmpty(fields, "service");
  parsed.mLeaving = StringOrEmpty(fields, "state") == "leaving";
  parsed.mCapacity.mAccelerators = static_cast<int>(IntegerOrZero(fields, "accelerators"));
  parsed.mCapacity.mCores = static_cast<int>(IntegerOrZero(fields, "cores"));
  parsed.mCapacity.mMemoryMb = IntegerOrZero(fields, "memoryMb");
  return parsed;
}

} // namespace

result<host_list> ParseHostList(std::string_view aJson)
{
  boost::system::error_code failed;
  const json::value document = json::parse(aJson, failed);
  const json::object* fields = document.if_object();
  const json::value* hosts = fields != nullptr ? fields->if_contains("hosts") : nullptr;
  if (failed || hosts == nullptr || !hosts->is_array()) {
    return MakeError(error_kind::kProtocol, "host list", "expected an object with an array hosts");
  }
  host_list parsed;
  parsed.mVersion = IntegerOrZero(*fields, "version");
  for (const json::value& each : hosts->as_array()) {
    BOOST_LEAF_AUTO(one, ParseHost(each));
    parsed.mHosts.push_back(std::move(one));
  }
  return parsed;
}

} // namespace briarwind
