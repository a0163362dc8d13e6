#include "briarwind/log.h"

#include "briarwind/time.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <utility>

namespace briarwind {

namespace {

// A burst of this many seconds' worth of lines is written before the rate applies.
constexpr double kBurstSeconds = 4;

struct output_budget
{
  double mPerSecond = 0;
  double mTokens = 0;
  instant mFilledAt;
  std::uint64_t mDropped = 0;
};

output_budget sBudget;

bool TakeToken()
{
  const instant now = monotonic_clock::now();
  const std::chrono::duration<double> passed = now - std::exchange(sBudget.mFilledAt, now);
  sBudget.mTokens = std::min(sBudget.mTokens + passed.count() * sBudget.mPerSecond,
                             kBurstSeconds * sBudget.mPerSecond);
  if (sBudget.mTokens < 1) {
    return false;
  }
  sBudget.mTokens -= 1;
  return true;
}

// A line is written whole or not at all as far as the pipe allows: a short write ends the line
// early.
void WriteToStandardOutput(std::string_view aLine)
{
  if (!TakeToken()) {
    ++sBudget.mDropped;
    return;
  }
  std::string line(aLine);
  line += '\n';
  if (::write(STDOUT_FILENO, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
    ++sBudget.mDropped;
  }
}

} // namespace

void LogToStandardOutput(int aLinesPerSecond)
{
  ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  sBudget = { static_cast<double>(aLinesPerSecond), kBurstSeconds * aLinesPerSecond,
              monotonic_clock::now(), 0 };
  SetLogSink(WriteToStandardOutput);
}

std::uint64_t TakeDroppedLines()
{
  return std::exchange(sBudget.mDropped, 0);
}

} // namespace briarwind
