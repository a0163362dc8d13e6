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

BW_STORY("the metrics of a process")
{
  metrics numbers;
  BW_SECTION("are empty at first")
  {
    BW_CHECK(numbers.Render().empty());
    BW_EQUAL(0.0, numbers.Read(kOpened, "north"));
  }
  BW_SECTION("count by label")
  {
    numbers.Count(kOpened, "north");
    numbers.Count(kOpened, "north", 2);
    numbers.Count(kOpened, "so\"uth");
    BW_EQUAL(3.0, numbers.Read(kOpened, "north"));
    BW_EQUAL(std::string("# HELP gates_opened_total Gates opened.\n"
                         "# TYPE gates_opened_total counter\n"
                         "gates_opened_total{gate=\"north\"} 3\n"
                         "gates_opened_total{gate=\"so\\\"uth\"} 1\n"),
             numbers.Render());
  }
  BW_SECTION("show large counts in full")
  {
    numbers.Count(kOpened, "north", 123'456'789);
    BW_CHECK(Contains(numbers.Render(), "} 123456789\n"));
  }
  BW_SECTION("set a gauge without a label")
  {
    numbers.Set(kOpen, 4);
    numbers.Set(kOpen, 2.5);
    BW_CHECK(Contains(numbers.Render(), "\ngates_open 2.5\n"));
  }
  BW_SECTION("give exact quantiles of a few times")
  {
    numbers.Observe(kWait, seconds{ 3 });
    numbers.Observe(kWait, seconds{ 1 });
    numbers.Observe(kWait, milliseconds{ 500 });
    const std::string text = numbers.Render();
    BW_EQUAL(1.0, Quantile(text, "0.5"));
    BW_EQUAL(3.0, Quantile(text, "0.99"));
    BW_CHECK(Contains(text, "gate_wait_seconds_sum 4.5\ngate_wait_seconds_count 3\n"));
  }
  BW_SECTION("estimate quantiles of many times")
  {
    // Every number from 1 to 1000 once, in a mixed order.
    for (const int each : std::views::iota(1, 1001)) {
      numbers.Observe(kWait, milliseconds{ (each * 387) % 1001 });
    }
    const std::string text = numbers.Render();
    BW_CHECK(std::abs(Quantile(text, "0.5") - 0.5) < 0.03);
    BW_CHECK(std::abs(Quantile(text, "0.9") - 0.9) < 0.03);
    BW_CHECK(std::abs(Quantile(text, "0.99") - 0.99) < 0.03);
  }
  BW_SECTION("have one line each in the catalogue")
  {
    const std::vector<metric_kind> kinds{ kOpened, kOpen };
    BW_EQUAL(std::string("| `gates_opened_total` | counter | `gate` | Gates opened. |\n"
                         "| `gates_open` | gauge | - | Gates open now. |\n"),
             MetricCatalogue(kinds));
  }
}
