#include "caller_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <ranges>

namespace briarwind {

namespace {

constexpr std::size_t kLongestName = 128;
constexpr std::int64_t kLongestWaitMs = 600'000;

bool IsPlain(std::string_view aText)
{
  return std::ranges::all_of(aText, [](char aEach) { return aEach > ' ' && aEach < '\x7f'; });
}

// Reads the fields of one request and notes what is wrong with them.
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
    if (Count(aName) > 1) {
      Note(aName, *value, "to be given once");
    }
    return value;
  }

  std::string Name(std::string_view aName, bool aRequired)
  {
    const std::string_view value = Find(aName).value_or("");
    if (value.empty() && aRequired) {
      Note(aName, value, "to be given");
    } else if (value.size() > kLongestName || !IsPlain(value)) {
      Note(aName, value.substr(0, kLongestName), "at most 128 visible ASCII characters");
    }
    return std::string(value);
  }

  milliseconds Wait(milliseconds aDefault)
  {
    const auto value = Find(kDeadlineHeader);
    if (!value) {
      return aDefault;
    }
    std::int64_t number = 0;
    const auto [end, code] = std::from_chars(value->data(), value->data() + value->size(), number);
    const bool whole = code == std::errc{} && end == value->data() + value->size();
    if (!whole || number < 1 || number > kLongestWaitMs) {
      Note(kDeadlineHeader, *value, "a whole number from 1 to 600000");
      return aDefault;
    }
    return milliseconds(number);
  }

  bool Flag(std::string_view aName)
  {
    const std::string_view value = Find(aName).value_or("no");
    if (value != "yes" && value != "no") {
      Note(aName, value, "yes or no");
    }
    return value == "yes";
  }

  void Note(std::string_view aName, std::string_view aValue, std::string aExpected)
  {
    mFindings.push_back(
      { severity::kError, std::string(aName), std::string(aValue), std::move(aExpected) });
  }

private:
  std::ptrdiff_t Count(std::string_view aName) const
  {
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

void CheckKnown(const caller_request& aCaller, const settings_view& aSettings,
                header_reader& aReader)
{
  if (aSettings.mOrganisations.empty()) {
    return;
  }
  if (!aCaller.mOrganisation.empty() && !aSettings.mOrganisations.contains(aCaller.mOrganisation)) {
    aReader.Note(kOrganisationHeader, aCaller.mOrganisation, "a known organisation");
  }
  if (aCaller.mTeam.empty()) {
    return;
  }
  const auto team = aSettings.mTeams.find(aCaller.mTeam);
  if (team == aSettings.mTeams.end() || team->second.mOrganisation != aCaller.mOrganisation) {
    aReader.Note(kTeamHeader, aCaller.mTeam, "a team of the organisation");
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
  caller.mOrganisation = reader.Name(kOrganisationHeader, true);
  caller.mTeam = reader.Name(kTeamHeader, false);
  caller.mRequestId = reader.Name(kRequestIdHeader, true);
  caller.mKey = reader.Name(kKeyHeader, false);
  caller.mWait = reader.Wait(caller.mWait);
  caller.mRepeatable = reader.Flag(kRepeatableHeader);
  CheckKnown(caller, aSettings, reader);
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
