#include "briarwind/log.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdio>

namespace briarwind {

namespace {

void WriteToStandardError(std::string_view aLine)
{
  fmt::print(stderr, "{}\n", aLine);
}

log_level sLevel = log_level::kInfo;
void (*sSink)(std::string_view) = WriteToStandardError;

std::string_view ToString(log_level aLevel)
{
  static constexpr std::array<std::string_view, 4> kNames{ "debug", "info", "warning", "error" };
  return kNames.at(static_cast<std::size_t>(aLevel));
}

bool NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() || std::ranges::any_of(aValue, [](unsigned char aChar) {
           return aChar == '"' || aChar == '\\' || aChar == '=' || aChar <= ' ' || aChar == 0x7f;
         });
}

// Quotes a value and escapes quotes, backslashes and control characters, so that no value, not even
// one from an untrusted peer, can break out of its field or start a new log line.
std::string Quote(std::string_view aValue)
{
  std::string quoted = "\"";
  for (const char each : aValue) {
    const auto code = static_cast<unsigned char>(each);
    if (each == '"' || each == '\\') {
      quoted += '\\';
      quoted += each;
    } else if (code < ' ' || code == 0x7f) {
      quoted += fmt::format("\\x{:02x}", code);
    } else {
      quoted += each;
    }
  }
  return quoted + '"';
}

std::string CurrentTimestamp()
{
  using namespace std::chrono;
  const auto now = floor<milliseconds>(system_clock::now());
  const auto whole = floor<seconds>(now);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(system_clock::to_time_t(whole)),
                     (now - whole).count());
}

} // namespace

void LogEvent(const event_kind& aKind, std::initializer_list<log_field> aFields)
{
  if (aKind.mLevel < sLevel) {
    return;
  }
  std::string line = fmt::format("{} {} BW{:04} {}", CurrentTimestamp(), ToString(aKind.mLevel),
                                 aKind.mNumber, aKind.mName);
  for (const log_field& each : aFields) {
    const bool quotes = NeedsQuotes(each.mValue);
    line += fmt::format(" {}={}", each.mKey, quotes ? Quote(each.mValue) : each.mValue);
  }
  sSink(line);
}

void SetLogLevel(log_level aLevel)
{
  sLevel = aLevel;
}

void SetLogSink(void (*aSink)(std::string_view aLine))
{
  sSink = aSink != nullptr ? aSink : WriteToStandardError;
}

std::string EventCatalogue(std::span<const event_kind> aKinds)
{
  std::string text;
  for (const event_kind& each : aKinds) {
    text += fmt::format("| BW{:04} | {} | `{}` | {} |\n", each.mNumber, ToString(each.mLevel),
                        each.mName, each.mDescription);
  }
  return text;
}

} // namespace briarwind
