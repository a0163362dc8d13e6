#include "load_plan.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

namespace briarwind {

namespace json = boost::json;

namespace {

template<class Value>
Value ReadField(const json::object& aObject, std::string_view aName, Value aDefault)
{
  const json::value* found = aObject.if_contains(aName);
  return found == nullptr ? std::move(aDefault) : json::value_to<Value>(*found);
}

load_kind ParseKind(const json::value& aValue)
{
  const json::object& object = aValue.as_object();
  load_kind kind;
  kind.mName = ReadField(object, "name", kind.mName);
  kind.mShare = ReadField(object, "share", kind.mShare);
  kind.mTarget = ReadField(object, "target", kind.mTarget);
  kind.mOrganisation = ReadField(object, "organisation", kind.mOrganisation);
  kind.mTeam = ReadField(object, "team", kind.mTeam);
  kind.mDeadline = milliseconds(ReadField(object, "deadlineMs", kind.mDeadline.count()));
  kind.mBodyBytes = ReadField(object, "bodyBytes", kind.mBodyBytes);
  kind.mRepeatable = ReadField(object, "repeatable", kind.mRepeatable);
  kind.mKeyed = ReadField(object, "keyed", kind.mKeyed);
  return kind;
}

} // namespace

result<std::vector<load_kind>> ParseMix(std::string_view aJson)
{
  try {
    const json::value root = json::parse(aJson);
    const json::array& list = root.as_object().at("kinds").as_array();
    std::vector<load_kind> kinds;
    std::ranges::transform(list, std::back_inserter(kinds), ParseKind);
    if (kinds.empty()) {
      return MakeError(error_kind::kInvalid, "mix",
                       "the list of kinds is empty; expected at least one kind");
    }
    return kinds;
  } catch (const std::exception& parseFailure) {
    return MakeError(error_kind::kInvalid, "mix", parseFailure.what());
  }
}

std::vector<planned_request> PlanArrivals(const std::vector<load_kind>& aKinds,
                                          double aRequestsPerSecond, duration aDuration,
                                          std::size_t aMaxRequests, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::vector<double> shares;
  std::ranges::transform(aKinds, std::back_inserter(shares), &load_kind::mShare);
  std::discrete_distribution<std::size_t> kinds(shares.begin(), shares.end());
  std::exponential_distribution<double> gaps(aRequestsPerSecond);
  std::vector<planned_request> plan;
  std::chrono::duration<double> at{ gaps(random) };
  while (at < aDuration && plan.size() < aMaxRequests) {
    plan.push_back({ std::chrono::duration_cast<duration>(at), kinds(random) });
    at += std::chrono::duration<double>(gaps(random));
  }
  return plan;
}

std::string MakeBody(std::uint64_t aNumber, std::size_t aSize)
{
  std::string body(aSize, '\0');
  std::mt19937_64 random(aNumber);
  std::ranges::generate(body, [&] { return static_cast<char>('a' + random() % 26); });
  return body;
}

} // namespace briarwind
