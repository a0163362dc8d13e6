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
Value Read(const json::object& aObject, std::string_view aName, Value aDefault)
{
  const json::value* found = aObject.if_contains(aName);
  return found == nullptr ? std::move(aDefault) : json::value_to<Value>(*found);
}

load_kind ReadKind(const json::value& aValue)
{
  const json::object& object = aValue.as_object();
  load_kind kind;
  kind.mName = Read(object, "name", kind.mName);
  kind.mShare = Read(object, "share", kind.mShare);
  kind.mTarget = Read(object, "target", kind.mTarget);
  kind.mOrganisation = Read(object, "organisation", kind.mOrganisation);
  kind.mTeam = Read(object, "team", kind.mTeam);
  kind.mDeadline = milliseconds(Read(object, "deadlineMs", kind.mDeadline.count()));
  kind.mBodyBytes = Read(object, "bodyBytes", kind.mBodyBytes);
  kind.mRepeatable = Read(object, "repeatable", kind.mRepeatable);
  kind.mKeyed = Read(object, "keyed", kind.mKeyed);
  return kind;
}

} // namespace

result<std::vector<load_kind>> ParseMix(std::string_view aJson)
{
  try {
    const json::value root = json::parse(aJson);
    const json::array& list = root.as_object().at("kinds").as_array();
    std::vector<load_kind> kinds;
    std::ranges::transform(list, std::back_inserter(kinds), ReadKind);
    if (kinds.empty()) {
      return MakeError(error_kind::kInvalid, "mix", "expected at least one kind");
    }
    return kinds;
  } catch (const std::exception& failure) {
    return MakeError(error_kind::kInvalid, "mix", failure.what());
  }
}

std::vector<planned_request> PlanArrivals(const std::vector<load_kind>& aKinds, double aPerSecond,
                                          duration aTime, std::size_t aMost, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::vector<double> shares;
  std::ranges::transform(aKinds, std::back_inserter(shares), &load_kind::mShare);
  std::discrete_distribution<std::size_t> kinds(shares.begin(), shares.end());
  std::exponential_distribution<double> gaps(aPerSecond);
  std::vector<planned_request> plan;
  std::chrono::duration<double> at{ gaps(random) };
  while (at < aTime && plan.size() < aMost) {
    plan.push_back({ std::chrono::duration_cast<duration>(at), kinds(random) });
    at += std::chrono::duration<double>(gaps(random));
  }
  return plan;
}

std::string BodyOf(std::uint64_t aNumber, std::size_t aBytes)
{
  std::string body(aBytes, '\0');
  std::mt19937_64 random(aNumber);
  std::ranges::generate(body, [&] { return static_cast<char>('a' + random() % 26); });
  return body;
}

} // namespace briarwind
