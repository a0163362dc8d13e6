#include "router_messages.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>
#include <array>

namespace briarwind {

namespace json = boost::json;

namespace {

constexpr std::string_view kErrorOrigin = "router-link";

// Names of the verdicts on the link, in the order of claim_verdict.
constexpr std::array<std::string_view, 4> kVerdictNames{ "granted", "granted-young", "held",
                                                         "full" };

router_report ReadReport(const json::object& aObject)
{
  router_report report;
  report.mFrom = json::value_to<std::string>(aObject.at("from"));
  report.mShares.mSequence = aObject.at("sequence").to_number<std::uint64_t>();
  report.mShares.mSettled = aObject.at("settled").to_number<std::uint64_t>();
  report.mShares.mBase = aObject.at("base").to_number<std::uint64_t>();
  report.mShares.mNewest = aObject.at("newest").to_number<std::uint64_t>();
  report.mLeavingTargets = json::value_to<std::vector<std::string>>(aObject.at("leaving"));
  return report;
}

claim_request ReadClaim(const json::object& aObject)
{
  claim_request request;
  request.mKey.mHigh = aObject.at("high").to_number<std::uint64_t>();
  request.mKey.mLow = aObject.at("low").to_number<std::uint64_t>();
  request.mOwner = aObject.at("owner").to_number<std::uint64_t>();
  request.mWithdraw = aObject.at("withdraw").as_bool();
  return request;
}

} // namespace

std::string Encode(const router_report& aReport)
{
  const json::array leaving(aReport.mLeavingTargets.begin(), aReport.mLeavingTargets.end());
  return json::serialize(json::object{ { "kind", "report" },
                                       { "from", aReport.mFrom },
                                       { "sequence", aReport.mShares.mSequence },
                                       { "settled", aReport.mShares.mSettled },
                                       { "base", aReport.mShares.mBase },
                                       { "newest", aReport.mShares.mNewest },
                                       { "leaving", leaving } });
}

std::string Encode(const claim_request& aRequest)
{
  return json::serialize(json::object{ { "kind", "claim" },
                                       { "high", aRequest.mKey.mHigh },
                                       { "low", aRequest.mKey.mLow },
                                       { "owner", aRequest.mOwner },
                                       { "withdraw", aRequest.mWithdraw } });
}

std::string Encode(claim_verdict aVerdict)
{
  return std::string(kVerdictNames.at(static_cast<std::size_t>(aVerdict)));
}

result<router_message> DecodeMessage(std::string_view aText)
{
  try {
    const json::object object = json::parse(aText).as_object();
    if (object.at("kind").as_string() == "report") {
      return router_message(ReadReport(object));
    }
    return router_message(ReadClaim(object));
  } catch (const std::exception& failure) {
    return MakeError(error_kind::kProtocol, std::string(kErrorOrigin), failure.what());
  }
}

result<claim_verdict> DecodeVerdict(std::string_view aText)
{
  const auto* found = std::ranges::find(kVerdictNames, aText);
  if (found == kVerdictNames.end()) {
    return MakeError(error_kind::kProtocol, std::string(kErrorOrigin),
                     "unknown claim verdict: expected granted, granted-young, held or full");
  }
  return static_cast<claim_verdict>(found - kVerdictNames.begin());
}

} // namespace briarwind
