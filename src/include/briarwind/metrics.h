#pragma once

#include "briarwind/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace briarwind {

enum class metric_type : std::uint8_t
{
  kCounter,
  kGauge,
  kSummary, ///< seconds, with quantiles 0.5, 0.9 and 0.99
};

/// One metric. Each subsystem defines its metrics as constants and lists them in a table, from
/// which docs/METRICS.md is made.
struct metric_kind
{
  metric_type mType;
  std::string_view mName;  ///< such as `briarwind_router_refusals_total`
  std::string_view mLabel; ///< name of its one label, or empty
  std::string_view mHelp;
};

/// The metrics of one process; not thread safe, belongs to the fiber thread.
class metrics
{
public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  /// Adds to a counter.
  void Count(const metric_kind& aKind, std::string_view aLabel = {}, std::uint64_t aBy = 1);
  /// Sets a gauge.
  void Set(const metric_kind& aKind, double aValue, std::string_view aLabel = {});
  /// Adds one observation to a summary.
  void Observe(const metric_kind& aKind, duration aTime, std::string_view aLabel = {});
  /// Reads a counter or gauge back; 0 when it was never touched.
  double Read(const metric_kind& aKind, std::string_view aLabel = {}) const;

  /// Prometheus text form.
  std::string Render() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

/// One line of the catalogue page for each metric.
std::string MetricCatalogue(std::span<const metric_kind> aKinds);

} // namespace briarwind
