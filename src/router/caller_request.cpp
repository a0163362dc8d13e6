#include "caller_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <ranges>

namespace briarwind {

namespace {

constexpr std::size_t kMaxNameLength = 128;
constexpr std::int64_t kMaxTimeoutMs = 600'000;

bool IsVisibleAscii(std::string_view aText)
{
  return std::ranges::all_of(aText, [](char aEach) { return aEach > ' ' && aEach < '\x7f'; });
}

// Reads the headers of one request and adds a finding for each invalid one.
class header_reader
{
public:
  header_reader(const http_headers& aHeaders, findings& aFindings)
    : mHeaders(aHeaders)
    , mFindings(aFindings)
  {
  }

  std::optional<std::string_view> Find(std::string_view aName)
  {
    const auto value = mHeaders.Find(aName);
    if (CountOccurrences(aName) > 1) {
      AddFinding(aName, *value, "to be given once");
    }
    return value;
  }

  std::string ReadName(std::string_view aName, bool aRequired)
  {
    const std::string_view value = Find(aName).value_or("");
    if (value.empty() && aRequired) {
      AddFinding(aName, value, "to be given");
    } else if (value.size() > kMaxNameLength || !IsVisibleAscii(value)) {
      AddFinding(aName, value.substr(0, kMaxNameLength), "at most 128 visible ASCII characters");
    }
    return std::string(value);
  }

  milliseconds ReadTimeout(milliseconds aDefault)
  {
    const auto value = Find(kDeadlineHeader);
    if (!value) {
      return aDefault;
    }
    std::int64_t number = 0;
    const auto [end, code] = std::from_chars(value->data(), value->data() + value->size(), number);
    const bool isNumber = code == std::errc{} && end == value->data() + value->size();
    if (!isNumber || number < 1 || number > kMaxTimeoutMs) {
      AddFinding(kDeadlineHeader, *value, "a whole number from 1 to 600000");
      return aDefault;
    }
    return milliseconds(number);
  }

  bool ReadFlag(std::string_view aName)
  {
    const std::string_view value = Find(aName).value_or("no");
    if (value != "yes" && value != "no") {
      AddFinding(aName, value, "yes or no");
    }
    return value == "yes";
  }

  void AddFinding(std::string_view aName, std::string_view aValue, std::string aExpected)
  {
    mFindings.push_back(
      { severity::kError, std::string(aName), std::string(aValue), std::move(aExpected) });
  }

private:
  std::ptrdiff_t CountOccurrences(std::string_view aName) const
  {
    // http_headers::Find compares names as HTTP does; the probe applies it to each field.
    http_headers probe;
    return std::ranges::count_if(mHeaders, [&](const http_header& aField) {
      probe.Set(aField.mName, "");
      const bool same = probe.Find(aName).has_value();
      probe.Erase(aField.mName);
      return same;
    });
  }

  const http_headers& mHeaders;
  findings& mFindings;
};

void CheckOrganisationAndTeam(const caller_request& aCaller, const settings_view& aSettings,
                              header_reader& aReader)
{
  if (aSettings.mOrganisations.empty()) {
    return;
  }
  if (!aCaller.mOrganisation.empty() && !aSettings.mOrganisations.contains(aCaller.mOrganisation)) {
    aReader.AddFinding(kOrganisationHeader, aCaller.mOrganisation, "a known organisation");
  }
  if (aCaller.mTeam.empty()) {
    return;
  }
  const auto team = aSettings.mTeams.find(aCaller.mTeam);
  if (team == aSettings.mTeams.end() || team->second.mOrganisation != aCaller.mOrganisation) {
    aReader.AddFinding(kTeamHeader, aCaller.mTeam, "a team of the organisation");
  }
}

void SplitTarget(std::string_view aTarget, caller_request& aCaller)
{
  const std::string_view rest = aTarget.substr(aTarget.starts_with('/') ? 1 : 0);
  const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
  aCaller.mService = rest.substr(0, end);
  const std::string_view path = rest.substr(end);
  aCaller.mTarget = path.starts_with('/') ? std::string(path) : "/" + std::string(path);
}

} // namespace

caller_request ReadCallerRequest(const http_request& aRequest, const settings_view& aSettings,
                                 findings& aFindings)
{
  caller_request caller;
  SplitTarget(aRequest.mTarget, caller);
  header_reader reader(aRequest.mHeaders, aFindings);
  caller.mOrganisation = reader.ReadName(kOrganisationHeader, true);
  caller.mTeam = reader.ReadName(kTeamHeader, false);
  caller.mRequestId = reader.ReadName(kRequestIdHeader, true);
  caller.mIdempotencyKey = reader.ReadName(kIdempotencyKeyHeader, false);
  caller.mTimeout = reader.ReadTimeout(caller.mTimeout);
  caller.mRepeatable = reader.ReadFlag(kRepeatableHeader);
  CheckOrganisationAndTeam(caller, aSettings, reader);
  return caller;
}

http_request ToInstanceRequest(const http_request& aRequest, const caller_request& aCaller)
{
  http_request request = aRequest;
  request.mTarget = aCaller.mTarget;
  EraseConnectionHeaders(request.mHeaders);
  request.mHeaders.Erase("Host");
  request.mHeaders.Erase("Expect");
  return request;
}

void EraseConnectionHeaders(http_headers& aHeaders)
{
  static constexpr std::array<std::string_view, 9> kNames{
    "Connection",         "Keep-Alive",     "Proxy-Connection",
    "Transfer-Encoding",  "Content-Length", "Trailer",
    "Proxy-Authenticate", "Upgrade",        "TE",
  };
  std::ranges::for_each(kNames, [&](std::string_view aName) { aHeaders.Erase(aName); });
}

} // namespace briarwind
