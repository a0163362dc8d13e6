#include "briarwind/route_table.h"

#include "briarwind/json_fields.h"

#include <algorithm>
#include <optional>
#include <ranges>
#include <utility>

namespace briarwind {

namespace {

std::vector<std::string_view> Segments(std::string_view aPath)
{
  std::vector<std::string_view> segments;
  for (const auto each : std::views::split(aPath, '/')) {
    segments.emplace_back(each.begin(), each.end());
  }
  return segments;
}

std::optional<path_captures> Match(std::string_view aPattern, std::string_view aPath)
{
  const auto pattern = Segments(aPattern);
  const auto path = Segments(aPath);
  const bool matches = std::ranges::equal(
    pattern, path, [](std::string_view aPatternSegment, std::string_view aPathSegment) {
      return aPatternSegment == "*" ? !aPathSegment.empty() : aPatternSegment == aPathSegment;
    });
  if (!matches) {
    return std::nullopt;
  }
  path_captures captures;
  for (std::size_t i = 0; i < pattern.size(); ++i) {
    if (pattern[i] == "*") {
      captures.push_back(path[i]);
    }
  }
  return captures;
}

} // namespace

void route_table::Add(std::string_view aMethod, std::string_view aPattern, handler aHandler)
{
  mRoutes.push_back({ std::string(aMethod), std::string(aPattern), std::move(aHandler) });
}

void route_table::AddJson(std::string_view aMethod, std::string_view aPattern,
                          json_handler aHandler)
{
  Add(aMethod, aPattern,
      [handle = std::move(aHandler)](const http_request& aRequest, const path_captures& aCaptures) {
        const auto body = ToIoResult(
          [&] { return ParseJsonObject(aRequest.mBody.empty() ? "{}" : aRequest.mBody); });
        return body ? handle(body.value(), aCaptures) : ErrorResponse(400, body.error());
      });
}

http_response route_table::Answer(const http_request& aRequest) const
{
  const std::string_view path = TargetPath(aRequest.mTarget);
  bool isKnownPath = false;
  for (const route& each : mRoutes) {
    const auto captures = Match(each.mPattern, path);
    if (captures && each.mMethod == aRequest.mMethod) {
      return each.mHandler(aRequest, *captures);
    }
    isKnownPath = isKnownPath || captures.has_value();
  }
  const std::string where(path);
  return isKnownPath ? ErrorResponse(405, { error_kind::kInvalid, where, "no such method here" })
                     : ErrorResponse(404, { error_kind::kNotFound, where, "no such path" });
}

} // namespace briarwind
