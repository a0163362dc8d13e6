#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace briarwind {

enum class log_level : std::uint8_t
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

/// One kind of log line. Each subsystem defines its kinds as constants in its own range of numbers
/// and lists them in a table, from which docs/EVENTS.md is made.
struct event_kind
{
  int mNumber;
  log_level mLevel;
  std::string_view mName;    ///< such as `router.started`
  std::string_view mMeaning; ///< one sentence for the person on call
};

/// One `key=value` of a log line.
struct log_field
{
  std::string_view mKey;
  std::string mValue;
};

/// Makes a field of any value that fmt can print.
template<class Value>
log_field Field(std::string_view aKey, const Value& aValue)
{
  return { aKey, fmt::format("{}", aValue) };
}

/// Writes one line to standard error:
/// `2026-12-04T01:44:53.120Z info BW1001 router.started listen=127.0.0.1:8080`.
void LogEvent(const event_kind& aKind, std::initializer_list<log_field> aFields = {});

/// Lines below this level are dropped. Default: kInfo.
void SetLogLevel(log_level aLevel);

/// Replaces the sink, for tests. An empty function restores standard error.
void SetLogSink(void (*aSink)(std::string_view aLine));

/// Lines go to standard output from now on, at most aLinesPerSecond of them on average. Writing
/// never waits: what the reader of the output does not take is dropped and counted.
void LogToStandardOutput(int aLinesPerSecond);

/// Lines dropped by the sink of LogToStandardOutput since the last call.
std::uint64_t TakeDroppedLines();

/// One line of the catalogue page for each kind.
std::string EventCatalogue(std::span<const event_kind> aKinds);

} // namespace briarwind
