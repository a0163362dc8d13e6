#include "briarwind/metrics.h"
#include "briarwind/testing.h"

#include <cmath>
#include <ranges>
#include <vector>

using namespace briarwind;

namespace {

constexpr metric_kind kOpened{ metric_type::kCounter, "gates_opened_total", "gate",
                               "Gates opened." };
constexpr metric_kind kOpen{ metric_type::kGauge, "gates_open", "", "Gates open now." };
constexpr metric_kind kWait{ metric_type::kSummary, "gate_wait_seconds", "", "Waiting time." };

bool Contains(const std::string& aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string::npos;
}

double Quantile(const std::string& aText, std::string_view aQuantile)
{
  const std::string key = "gate_wait_seconds{quantile=\"" + std::string(aQuantile) + "\"} ";
  return std::stod(aText.substr(aText.find(key) + key.size()));
}

} // namespace

// Guards against output that Prometheus cannot parse or that loses precision, and against wrong
// quantiles on either side of the switch from exact values to estimates.
BW_STORY("metrics are recorded and rendered for Prometheus")
{
  metrics registry;
  BW_SECTION("without recorded values, the output is empty and reads return 0")
  {
    BW_CHECK(registry.Render().empty());
    BW_EQUAL(0.0, registry.Read(kOpened, "north"));
  }
  BW_SECTION("counters count separately for each label value")
  {
    registry.Count(kOpened, "north");
    registry.Count(kOpened, "north", 2);
    registry.Count(kOpened, "so\"uth");
    BW_EQUAL(3.0, registry.Read(kOpened, "north"));
    BW_EQUAL(std::string("# HELP gates_opened_total Gates opened.\n"
                         "# TYPE gates_opened_total counter\n"
                         "gates_opened_total{gate=\"north\"} 3\n"
                         "gates_opened_total{gate=\"so\\\"uth\"} 1\n"),
             registry.Render());
  }
  BW_SECTION("large counts are rendered with all digits")
  {
    registry.Count(kOpened, "north", 123'456'789);
    BW_CHECK(Contains(registry.Render(), "} 123456789\n"));
  }
  BW_SECTION("a gauge without a label shows the last value set")
  {
    registry.Set(kOpen, 4);
    registry.Set(kOpen, 2.5);
    BW_CHECK(Contains(registry.Render(), "\ngates_open 2.5\n"));
  }
  BW_SECTION("quantiles of few observations are exact")
  {
    registry.Observe(kWait, seconds{ 3 });
    registry.Observe(kWait, seconds{ 1 });
    registry.Observe(kWait, milliseconds{ 500 });
    const std::string text = registry.Render();
    BW_EQUAL(1.0, Quantile(text, "0.5"));
    BW_EQUAL(3.0, Quantile(text, "0.99"));
    BW_CHECK(Contains(text, "gate_wait_seconds_sum 4.5\ngate_wait_seconds_count 3\n"));
  }
  BW_SECTION("quantiles of many observations are estimated within 0.03 s")
  {
    // Observes each number of milliseconds from 1 to 1000 once, in a shuffled order.
    for (const int each : std::views::iota(1, 1001)) {
      registry.Observe(kWait, milliseconds{ (each * 387) % 1001 });
    }
    const std::string text = registry.Render();
    BW_CHECK(std::abs(Quantile(text, "0.5") - 0.5) < 0.03);
    BW_CHECK(std::abs(Quantile(text, "0.9") - 0.9) < 0.03);
    BW_CHECK(std::abs(Quantile(text, "0.99") - 0.99) < 0.03);
  }
  BW_SECTION("the catalogue has one row for each metric")
  {
    const std::vector<metric_kind> kinds{ kOpened, kOpen };
    BW_EQUAL(std::string("| `gates_opened_total` | counter | `gate` | Gates opened. |\n"
                         "| `gates_open` | gauge | - | Gates open now. |\n"),
             MetricCatalogue(kinds));
  }
}
