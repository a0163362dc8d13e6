#pragma once

#include "briarwind/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// The outcome of one request.
struct load_sample
{
  std::string mKind;
  std::string mOutcome; ///< from the answer; `cut` without an answer, `unreached` when unsent
  std::string mReason;
  duration mLatency{};   ///< from the planned arrival to the complete answer
  bool mForeign = false; ///< the answer belongs to another request
  bool mDamaged = false; ///< the answer does not match the body that was sent
};

/// Collects the samples of one run.
class load_report
{
public:
  void Add(load_sample aSample);
  std::size_t size() const { return mSamples.size(); }
  /// Number of requests whose answer was foreign or damaged.
  std::size_t CountWrongAnswers() const;
  /// Latency quantile of the requests with one outcome; zero without a sample.
  /// @param aQuantile 0 (lowest) to 1 (highest)
  duration Quantile(std::string_view aOutcome, double aQuantile) const;

  /// Counts by outcome, reason and kind, latency percentiles in milliseconds, and `ok` answers per
  /// second.
  /// @param aElapsed duration of the run
  std::string ToJson(duration aElapsed) const;
  /// A plot of latency over the share of requests, with one curve for each outcome.
  std::string ToSvg() const;

private:
  // Ascending latencies of the requests with one outcome.
  std::vector<duration> SortedLatencies(std::string_view aOutcome) const;

  std::vector<load_sample> mSamples;
};

} // namespace briarwind
