#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace briarwind {

/// Severity of a log line, in ascending order.
enum class log_level : std::uint8_t
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

/// One kind of log event. Each subsystem defines its events as constants within its own range of
/// numbers and lists them in a table, from which docs/EVENTS.md is generated.
struct event_kind
{
  int mNumber;
  log_level mLevel;
  std::string_view mName;        ///< such as `router.started`
  std::string_view mDescription; ///< one sentence for the operator who reads the line
};

/// One `key=value` pair of a log line.
struct log_field
{
  std::string_view mKey;
  std::string mValue;
};

/// Creates a field from any value that fmt can format.
template<class Value>
log_field Field(std::string_view aKey, const Value& aValue)
{
  return { aKey, fmt::format("{}", aValue) };
}

/// Writes one line to the log sink, standard error by default, such as
/// `2026-12-04T01:44:53.120Z info BW1001 router.started listen=127.0.0.1:8080`.
void LogEvent(const event_kind& aKind, std::initializer_list<log_field> aFields = {});

/// Sets the minimum level; events below it are discarded. Default: kInfo.
void SetLogLevel(log_level aLevel);

/// Replaces the log sink. A null pointer restores standard error.
void SetLogSink(void (*aSink)(std::string_view aLine));

/// Redirects the log to standard output, limited to aLinesPerSecond on average. Writing never
/// blocks: lines over the limit and lines that the pipe does not accept are dropped and counted.
/// Standard output is set to non-blocking mode.
void LogToStandardOutput(int aLinesPerSecond);

/// Returns the number of lines dropped by the sink of LogToStandardOutput since the last call, and
/// resets it to 0.
std::uint64_t FetchAndResetDroppedLines();

/// Formats one row of the Markdown table in docs/EVENTS.md for each kind of event.
std::string EventCatalogue(std::span<const event_kind> aKinds);

} // namespace briarwind
