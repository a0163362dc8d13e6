#pragma once

#include "briarwind/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace briarwind {

/// Type of a metric in the Prometheus data model.
enum class metric_type : std::uint8_t
{
  kCounter,
  kGauge,
  kSummary, ///< times in seconds, with the quantiles 0.5, 0.9 and 0.99
};

/// Definition of one metric. Each subsystem defines its metrics as constants and lists them in a
/// table, from which docs/METRICS.md is generated.
struct metric_kind
{
  metric_type mType;
  std::string_view mName;  ///< such as `briarwind_router_caller_refusals_total`
  std::string_view mLabel; ///< name of its only label, or empty for a metric without a label
  std::string_view mHelp;  ///< help text on /metrics
};

/// The metrics of one process. Not thread-safe: must only be used on the thread that runs the
/// fibers. Every `metric_kind` passed in must outlive the object. In each method, aLabel is the
/// value of the metric's label.
class metrics
{
public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  /// Increments a counter.
  void Count(const metric_kind& aKind, std::string_view aLabel = {}, std::uint64_t aBy = 1);
  /// Sets a gauge.
  void Set(const metric_kind& aKind, double aValue, std::string_view aLabel = {});
  /// Adds one observation to a summary.
  void Observe(const metric_kind& aKind, duration aTime, std::string_view aLabel = {});
  /// Returns the value of a counter or gauge, or 0 when it was never set.
  double Read(const metric_kind& aKind, std::string_view aLabel = {}) const;

  /// Returns all metrics in the Prometheus text exposition format.
  std::string Render() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

/// Formats one row of the Markdown table in docs/METRICS.md for each metric.
std::string MetricCatalogue(std::span<const metric_kind> aKinds);

} // namespace briarwind
