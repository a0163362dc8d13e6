#include "briarwind/log.h"

#include "briarwind/time.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <utility>

namespace briarwind {

namespace {

// Capacity of the token bucket, in seconds at the permitted rate.
constexpr double kBurstSeconds = 4;

struct token_bucket
{
  double mTokensPerSecond = 0;
  double mTokens = 0;
  instant mRefilledAt;
  std::uint64_t mDroppedLines = 0;
};

token_bucket sBucket;

bool ConsumeToken()
{
  const instant now = monotonic_clock::now();
  const std::chrono::duration<double> passed = now - std::exchange(sBucket.mRefilledAt, now);
  sBucket.mTokens = std::min(sBucket.mTokens + passed.count() * sBucket.mTokensPerSecond,
                             kBurstSeconds * sBucket.mTokensPerSecond);
  if (sBucket.mTokens < 1) {
    return false;
  }
  sBucket.mTokens -= 1;
  return true;
}

// A pipe normally accepts a line either whole or not at all. A short write truncates the line,
// which then counts as dropped; the rest of the line is not written later.
void WriteToStandardOutput(std::string_view aLine)
{
  if (!ConsumeToken()) {
    ++sBucket.mDroppedLines;
    return;
  }
  std::string line(aLine);
  line += '\n';
  if (::write(STDOUT_FILENO, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
    ++sBucket.mDroppedLines;
  }
}

} // namespace

void LogToStandardOutput(int aLinesPerSecond)
{
  ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  sBucket = { static_cast<double>(aLinesPerSecond), kBurstSeconds * aLinesPerSecond,
              monotonic_clock::now(), 0 };
  SetLogSink(WriteToStandardOutput);
}

std::uint64_t FetchAndResetDroppedLines()
{
  return std::exchange(sBucket.mDroppedLines, 0);
}

} // namespace briarwind
