#include "briarwind/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <vector>

namespace briarwind {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 3> kQuantiles{ 0.5, 0.9, 0.99 };

// Number of observations that the extended P-square estimator needs before its first estimate: two
// markers for each quantile and three more.
constexpr std::size_t kMarkerCount = 2 * kQuantiles.size() + 3;

// Quantiles of a stream of observations: exact while there are few of them, then estimated.
class summary
{
public:
  void Add(double aSeconds)
  {
    if (mFirstSamples.size() < kMarkerCount) {
      mFirstSamples.insert(std::ranges::upper_bound(mFirstSamples, aSeconds), aSeconds);
    }
    mEstimate(aSeconds);
  }

  double Quantile(std::size_t aIndex) const
  {
    if (Count() > kMarkerCount) {
      return acc::extended_p_square(mEstimate)[static_cast<std::ptrdiff_t>(aIndex)];
    }
    const double rank =
      std::ceil(kQuantiles.at(aIndex) * static_cast<double>(mFirstSamples.size()));
    return mFirstSamples.at(static_cast<std::size_t>(rank) - 1);
  }

  double Sum() const { return acc::sum(mEstimate); }
  std::size_t Count() const { return acc::count(mEstimate); }

private:
  using estimate =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

  std::vector<double> mFirstSamples; // sorted; exact quantiles for up to kMarkerCount samples
  estimate mEstimate{ acc::tag::extended_p_square::probabilities = kQuantiles };
};

// All values of one metric, by label value.
struct family
{
  const metric_kind* mKind = nullptr;
  std::map<std::string, double, std::less<>> mValues;
  std::map<std::string, summary, std::less<>> mSummaries;
};

template<class Map>
auto& FindOrAdd(Map& aMap, std::string_view aLabel)
{
  const auto found = aMap.find(aLabel);
  return found != aMap.end() ? found->second : aMap[std::string(aLabel)];
}

std::string_view ToString(metric_type aType)
{
  static constexpr std::array<std::string_view, 3> kNames{ "counter", "gauge", "summary" };
  return kNames.at(static_cast<std::size_t>(aType));
}

// Escapes a label value for the Prometheus text format.
std::string Escape(std::string_view aText)
{
  std::string escaped;
  for (const char each : aText) {
    if (each == '\n') {
      escaped += "\\n";
      continue;
    }
    if (each == '"' || each == '\\') {
      escaped += '\\';
    }
    escaped += each;
  }
  return escaped;
}

// Returns `{label="value",quantile="0.5"}`, or an empty text when both are absent.
std::string Labels(std::string_view aName, std::string_view aValue, std::string_view aQuantile = {})
{
  std::string inner;
  if (!aName.empty()) {
    inner = fmt::format("{}=\"{}\"", aName, Escape(aValue));
  }
  if (!aQuantile.empty()) {
    inner += fmt::format("{}quantile=\"{}\"", inner.empty() ? "" : ",", aQuantile);
  }
  return inner.empty() ? inner : fmt::format("{{{}}}", inner);
}

std::string RenderSummary(const metric_kind& aKind, std::string_view aLabel, const summary& aTimes)
{
  std::string text;
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    text += fmt::format("{}{} {}\n", aKind.mName,
                        Labels(aKind.mLabel, aLabel, fmt::format("{}", kQuantiles.at(i))),
                        aTimes.Quantile(i));
  }
  const std::string labels = Labels(aKind.mLabel, aLabel);
  text += fmt::format("{}_sum{} {}\n", aKind.mName, labels, aTimes.Sum());
  text += fmt::format("{}_count{} {}\n", aKind.mName, labels, aTimes.Count());
  return text;
}

std::string RenderFamily(const family& aFamily)
{
  const metric_kind& kind = *aFamily.mKind;
  std::string text = fmt::format("# HELP {} {}\n# TYPE {} {}\n", kind.mName, kind.mHelp, kind.mName,
                                 ToString(kind.mType));
  for (const auto& [label, value] : aFamily.mValues) {
    text += fmt::format("{}{} {}\n", kind.mName, Labels(kind.mLabel, label), value);
  }
  for (const auto& [label, times] : aFamily.mSummaries) {
    text += RenderSummary(kind, label, times);
  }
  return text;
}

} // namespace

struct metrics::state
{
  std::map<std::string_view, family> mFamilies;

  family& FindOrAddFamily(const metric_kind& aKind)
  {
    family& found = mFamilies[aKind.mName];
    found.mKind = &aKind;
    return found;
  }
};

metrics::metrics()
  : mState(std::make_unique<state>())
{
}

metrics::~metrics() = default;

void metrics::Count(const metric_kind& aKind, std::string_view aLabel, std::uint64_t aBy)
{
  FindOrAdd(mState->FindOrAddFamily(aKind).mValues, aLabel) += static_cast<double>(aBy);
}

void metrics::Set(const metric_kind& aKind, double aValue, std::string_view aLabel)
{
  FindOrAdd(mState->FindOrAddFamily(aKind).mValues, aLabel) = aValue;
}

void metrics::Observe(const metric_kind& aKind, duration aTime, std::string_view aLabel)
{
  const std::chrono::duration<double> time = aTime;
  FindOrAdd(mState->FindOrAddFamily(aKind).mSummaries, aLabel).Add(time.count());
}

double metrics::Read(const metric_kind& aKind, std::string_view aLabel) const
{
  const auto family = mState->mFamilies.find(aKind.mName);
  if (family == mState->mFamilies.end()) {
    return 0;
  }
  const auto value = family->second.mValues.find(aLabel);
  return value != family->second.mValues.end() ? value->second : 0;
}

std::string metrics::Render() const
{
  std::string text;
  for (const auto& [name, family] : mState->mFamilies) {
    text += RenderFamily(family);
  }
  return text;
}

std::string MetricCatalogue(std::span<const metric_kind> aKinds)
{
  std::string text;
  for (const metric_kind& each : aKinds) {
    text += fmt::format("| `{}` | {} | {} | {} |\n", each.mName, ToString(each.mType),
                        each.mLabel.empty() ? "-" : fmt::format("`{}`", each.mLabel), each.mHelp);
  }
  return text;
}

} // namespace briarwind
