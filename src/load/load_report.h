#pragma once

#include "briarwind/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// What came of one request.
struct load_sample
{
  std::string mKind;
  std::string mOutcome; ///< of the answer, `cut` when there was none, `unreached` when unsent
  std::string mReason;
  duration mTime{};      ///< from the planned arrival to the whole answer
  bool mForeign = false; ///< the answer was another request's
  bool mDamaged = false; ///< the answer did not match the body that was sent
};

/// Collects the samples of one run.
class load_report
{
public:
  void Add(load_sample aSample);
  std::size_t size() const { return mSamples.size(); }
  /// Requests whose answer was foreign or damaged.
  std::size_t Wrong() const;
  /// Percentile of the times of one outcome, 0 to 1; zero without a sample.
  duration Percentile(std::string_view aOutcome, double aPart) const;

  /// Counts by outcome, reason and kind, percentiles in milliseconds, answers a second.
  std::string ToJson(duration aTime) const;
  /// Time over share of requests, one line an outcome.
  std::string ToSvg() const;

private:
  std::vector<duration> Times(std::string_view aOutcome) const;

  std::vector<load_sample> mSamples;
};

} // namespace briarwind
