#include "load_report.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <set>
#include <utility>

namespace briarwind {

namespace json = boost::json;

namespace {

constexpr std::array kQuantiles{ 0.5, 0.9, 0.99, 0.999 };

double ToMilliseconds(duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

duration QuantileOf(const std::vector<duration>& aSorted, double aQuantile)
{
  if (aSorted.empty()) {
    return duration::zero();
  }
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted.at(static_cast<std::size_t>(std::lround(last * aQuantile)));
}

template<class Field>
json::object CountBy(const std::vector<load_sample>& aSamples, Field aField)
{
  std::map<std::string, std::int64_t> counts;
  for (const load_sample& each : aSamples) {
    ++counts[each.*aField];
  }
  json::object object;
  for (const auto& [name, count] : counts) {
    object[name] = count;
  }
  return object;
}

json::object Percentiles(const std::vector<duration>& aSorted)
{
  json::object object{ { "count", aSorted.size() } };
  for (const double each : kQuantiles) {
    object[fmt::format("p{:g}Ms", each * 100)] = ToMilliseconds(QuantileOf(aSorted, each));
  }
  object["maxMs"] = ToMilliseconds(QuantileOf(aSorted, 1));
  return object;
}

} // namespace

void load_report::Add(load_sample aSample)
{
  mSamples.push_back(std::move(aSample));
}

std::size_t load_report::CountWrongAnswers() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mSamples, [](const load_sample& aEach) { return aEach.mForeign || aEach.mDamaged; }));
}

std::vector<duration> load_report::SortedLatencies(std::string_view aOutcome) const
{
  std::vector<duration> latencies;
  for (const load_sample& each : mSamples) {
    if (each.mOutcome == aOutcome) {
      latencies.push_back(each.mLatency);
    }
  }
  std::ranges::sort(latencies);
  return latencies;
}

duration load_report::Quantile(std::string_view aOutcome, double aQuantile) const
{
  return QuantileOf(SortedLatencies(aOutcome), aQuantile);
}

std::string load_report::ToJson(duration aElapsed) const
{
  json::object outcomes;
  std::set<std::string> names;
  std::ranges::transform(mSamples, std::inserter(names, names.end()), &load_sample::mOutcome);
  for (const std::string& each : names) {
    outcomes[each] = Percentiles(SortedLatencies(each));
  }
  const double elapsedSeconds = std::chrono::duration<double>(aElapsed).count();
  const auto good = static_cast<double>(SortedLatencies("ok").size());
  json::object kinds;
  for (const auto& [name, value] : CountBy(mSamples, &load_sample::mKind)) {
    std::vector<load_sample> samplesOfKind;
    std::ranges::copy_if(mSamples, std::back_inserter(samplesOfKind),
                         [&](const load_sample& aEach) { return aEach.mKind == name; });
    kinds[name] = CountBy(samplesOfKind, &load_sample::mOutcome);
  }
  const auto count = [&](bool load_sample::* aField) {
    return std::ranges::count_if(mSamples, [&](const auto& aEach) { return aEach.*aField; });
  };
  return json::serialize(
           json::object{ { "requests", mSamples.size() },
                         { "seconds", elapsedSeconds },
                         { "goodPerSecond", elapsedSeconds > 0 ? good / elapsedSeconds : 0 },
                         { "foreign", count(&load_sample::mForeign) },
                         { "damaged", count(&load_sample::mDamaged) },
                         { "outcomes", outcomes },
                         { "reasons", CountBy(mSamples, &load_sample::mReason) },
                         { "kinds", kinds } }) +
         "\n";
}

std::string load_report::ToSvg() const
{
  constexpr double kWidth = 640;
  constexpr double kHeight = 360;
  constexpr double kMargin = 50;
  constexpr int kPoints = 200;
  static constexpr std::array<std::pair<std::string_view, std::string_view>, 5> kColours{ {
    { "ok", "#2a7f3f" },
    { "not-run", "#c78a12" },
    { "unknown", "#b3261e" },
    { "failed", "#7a3fb3" },
    { "cut", "#555555" },
  } };
  duration longest{ 1 };
  for (const load_sample& each : mSamples) {
    longest = std::max(longest, each.mLatency);
  }
  std::string svg = fmt::format(
    "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" font-size=\"12\">\n"
    "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    "<text x=\"{}\" y=\"{}\">share of requests</text>\n"
    "<text x=\"4\" y=\"{}\">{:.1f} ms</text>\n",
    kWidth, kHeight, kWidth / 2, kHeight - 10, kMargin, ToMilliseconds(longest));
  int line = 0;
  for (const auto& [name, colour] : kColours) {
    const std::vector<duration> latencies = SortedLatencies(name);
    if (latencies.empty()) {
      continue;
    }
    std::string points;
    for (int point = 0; point <= kPoints; ++point) {
      const double quantile = static_cast<double>(point) / kPoints;
      const double height =
        ToMilliseconds(QuantileOf(latencies, quantile)) / ToMilliseconds(longest);
      points += fmt::format("{:.1f},{:.1f} ", kMargin + quantile * (kWidth - 2 * kMargin),
                            kHeight - kMargin - height * (kHeight - 2 * kMargin));
    }
    svg += fmt::format("<polyline fill=\"none\" stroke=\"{}\" points=\"{}\"/>\n"
                       "<text x=\"{}\" y=\"{}\" fill=\"{}\">{} ({})</text>\n",
                       colour, points, kMargin + 10, kMargin + 16 * line++, colour, name,
                       latencies.size());
  }
  return svg + "</svg>\n";
}

} // namespace briarwind
