#include "guarantee_check.h"

#include "briarwind/guarantee_cells.h"
#include "briarwind/http_client.h"

#include <algorithm>

namespace briarwind {

namespace {

constexpr milliseconds kHostListTimeout{ 2'000 };
constexpr milliseconds kHostListStallTimeout{ 800 };

std::optional<std::vector<worker_info>> ReadWorkers(ctl_context& aContext)
{
  http_request request;
  request.mTarget = "/v1/hosts";
  for (const endpoint& each : aContext.mOptions.mHostLists) {
    const auto answer =
      HttpCall(aContext.mRuntime, each, request,
               { monotonic_clock::now() + kHostListTimeout, kHostListStallTimeout });
    if (!answer || answer.value().mStatus != 200) {
      continue;
    }
    const auto hostList = ToIoResult([&] { return ParseHostList(answer.value().mBody); });
    if (hostList) {
      return WorkersOf(hostList.value());
    }
  }
  return std::nullopt;
}

bool IsSameFinding(const finding& aLeft, const finding& aRight)
{
  return aLeft.mPlace == aRight.mPlace && aLeft.mValue == aRight.mValue &&
         aLeft.mExpected == aRight.mExpected;
}

} // namespace

view_check MakeGuaranteeCheck(ctl_context& aContext, const settings_path& aPath,
                              const settings_book& aBook)
{
  if (aPath.mBranch != settings_branch::kOrganisations) {
    return {};
  }
  const auto workers = ReadWorkers(aContext);
  if (!workers) {
    return [](const settings_view&) {
      return findings{ { severity::kWarning, "--host-list", "",
                         "guarantees are not checked without a host list" } };
    };
  }
  const findings before = CheckGuarantees(*aBook.View(), *workers);
  return [before, workers](const settings_view& aView) {
    findings after = CheckGuarantees(aView, *workers);
    std::erase_if(after, [&](const finding& aFinding) {
      return std::ranges::any_of(
        before, [&](const finding& aOld) { return IsSameFinding(aOld, aFinding); });
    });
    return after;
  };
}

} // namespace briarwind
