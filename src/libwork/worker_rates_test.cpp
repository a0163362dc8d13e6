#include "worker_rates.h"

#include "testing/sample_jobs.h"

#include "briarwind/testing.h"

#include <fmt/format.h>

#include <array>

using namespace briarwind;
using namespace briarwind::testing;

namespace {

const instant kStart = instant() + std::chrono::hours(1);

void AddSamples(worker_rates& aRates, const std::string& aWorker, double aPace, int aCount,
                instant aNow)
{
  for (int i = 0; i < aCount; ++i) {
    aRates.AddSample(aWorker, aPace, aNow);
  }
}

} // namespace

// Guards against a verdict from a single task that took longer than its step's others, and against
// one that outlives the cause.
BW_STORY("a worker's rate follows from several samples and decays")
{
  worker_rates rates;
  rates.OnListed(Worker("w"), kStart);

  BW_SECTION("three slow samples leave the worker in the usual class, the fourth does not")
  {
    AddSamples(rates, "w", 0.8, 3, kStart);
    BW_CHECK(rates.Update(kStart).empty());
    AddSamples(rates, "w", 0.8, 1, kStart);
    const auto changes = rates.Update(kStart);
    BW_EQUAL(std::size_t{ 1 }, changes.size());
    BW_CHECK(changes[0].mTo == speed_class::kSlow && rates.Class("w") == speed_class::kSlow);
    BW_CHECK(rates.Update(kStart).empty());
  }
  BW_SECTION("tasks that differ by 30% leave the worker in the usual class")
  {
    for (int i = 0; i < 40; ++i) {
      rates.AddSample("w", std::array{ 0.7, 1.3, 1.0, 0.85, 1.15 }[i % 5], kStart);
      rates.Update(kStart);
      BW_CHECK(rates.Class("w") == speed_class::kUsual);
    }
  }
  BW_SECTION("one run that was twenty times slower does not outweigh three usual ones")
  {
    AddSamples(rates, "w", 0.05, 1, kStart);
    AddSamples(rates, "w", 1, 3, kStart);
    BW_CHECK(rates.Update(kStart).empty());
  }
  BW_SECTION("a slow worker without further runs is of the usual class after a minute")
  {
    AddSamples(rates, "w", 0.7, 8, kStart);
    rates.Update(kStart);
    rates.OnListed(Worker("w"), kStart + milliseconds(15'000));
    rates.Update(kStart + milliseconds(15'000));
    BW_CHECK(rates.Class("w") == speed_class::kSlow);
    rates.OnListed(Worker("w"), kStart + milliseconds(60'000));
    rates.Update(kStart + milliseconds(60'000));
    BW_CHECK(rates.Class("w") == speed_class::kUsual);
  }
  BW_SECTION("after many slow samples, half as many usual ones suffice")
  {
    AddSamples(rates, "w", 0.7, 40, kStart);
    rates.Update(kStart);
    AddSamples(rates, "w", 1, 20, kStart);
    rates.Update(kStart);
    BW_CHECK(rates.Class("w") == speed_class::kUsual);
  }
  BW_SECTION("a fast worker is told apart")
  {
    AddSamples(rates, "w", 1.3, 6, kStart);
    rates.Update(kStart);
    BW_CHECK(rates.Class("w") == speed_class::kFast);
  }
}

// Guards against a rate that is lost when its worker flaps, one that a replaced machine inherits,
// and memory that grows with the workers that ever were.
BW_STORY("a rate is kept by worker id")
{
  worker_rates rates;
  registered_worker info = Worker("w");
  rates.OnListed(info, kStart);
  AddSamples(rates, "w", 0.7, 8, kStart);
  rates.Update(kStart);
  const instant later = kStart + milliseconds(3'000);
  ++info.mIncarnation;

  BW_SECTION("over a restart of the same machine")
  {
    rates.OnListed(info, later);
    rates.Update(later);
    BW_CHECK(rates.Class("w") == speed_class::kSlow);
  }
  BW_SECTION("but not for a new incarnation at another address")
  {
    info.mAddress = "10.0.0.2:80";
    rates.OnListed(info, later);
    BW_CHECK(rates.Class("w") == speed_class::kUsual);
  }
  BW_SECTION("and forgotten once the worker is not listed for a minute")
  {
    rates.Update(kStart + milliseconds(61'000));
    BW_EQUAL(std::size_t{ 0 }, rates.Workers());
    rates.AddSample("w", 0.5, kStart + milliseconds(61'000));
    BW_EQUAL(std::size_t{ 0 }, rates.Workers());
  }
}

// Guards against judging a worker by its own runs, by too few others, or by runs that completed
// earlier: those are the faster ones, so that all later runs would seem slow beside them.
BW_STORY("runs are compared with the step's other tasks elsewhere")
{
  const std::vector<worker_pace> others{ { "a", 1 }, { "b", 1 }, { "b", 9 }, { "c", 2 } };
  BW_EQUAL(std::optional<double>(0.5), RelativePace({ "w", 0.5 }, others));
  BW_CHECK(!RelativePace({ "a", 0.5 }, others));

  worker_rates rates;
  for (int i = 0; i < 12; ++i) {
    rates.OnListed(Worker(fmt::format("w{}", i)), kStart);
  }
  BW_SECTION("completed runs give samples when their step is done")
  {
    for (int job = 0; job < 6; ++job) {
      const task_id step{ fmt::format("j{}", job), 0, 0, 3 };
      for (int i = 0; i < 12; ++i) {
        // Tasks take 1 s to 1.3 s by their index, which a different worker has in each job. The
        // worker w5 takes 1.4 times as long.
        const int task = (i + 5 * job) % 12;
        const milliseconds time{ (1'000 + 25 * task) * (i == 5 ? 14 : 10) / 10 };
        rates.AddCompleted(step, fmt::format("w{}", i), time, kStart);
      }
      rates.OnStepDone(step, kStart);
    }
    BW_EQUAL(std::size_t{ 0 }, rates.Steps());
    const auto changes = rates.Update(kStart);
    BW_EQUAL(std::size_t{ 1 }, changes.size());
    BW_EQUAL(std::string("w5"), changes[0].mWorker);
  }
  BW_SECTION(
    "a run that completes late is not compared with the earlier ones before the step is done")
  {
    for (int i = 0; i < 12; ++i) {
      rates.AddCompleted({ "j", 0, 0, i }, fmt::format("w{}", i), milliseconds(1'000 + 50 * i),
                         kStart);
    }
    BW_EQUAL(1.0, rates.Rate("w11", kStart));
    rates.OnStepDone({ "j", 0, 0, 0 }, kStart);
    BW_CHECK(rates.Rate("w11", kStart) < 1 && rates.Rate("w0", kStart) > 1);
  }
  BW_SECTION("steps with runs that are not compared yet are bounded")
  {
    for (int job = 0; job < 1'000; ++job) {
      rates.AddCompleted({ fmt::format("j{}", job), 0, 0, 0 }, "w1", milliseconds(1'000), kStart);
    }
    BW_EQUAL(std::size_t{ 256 }, rates.Steps());
  }
}

// Guards against taking startup, a resume from a checkpoint, a restart of the worker's clock or the
// rounding of percentages for the worker's speed.
BW_STORY("a run's pace is measured from its percentages")
{
  pace_meter pace;
  const auto read = [&](int aPercent, int aClock) { pace.Read(aPercent, milliseconds(aClock)); };

  BW_SECTION("startup and resume at an unchanged percentage are left out")
  {
    read(40, 0);
    read(40, 3'000);
    read(42, 4'000);
    read(62, 6'000);
    BW_EQUAL(std::optional<double>(10), pace.PerSecond());
    BW_CHECK(pace.IsComparisonDue());
  }
  BW_SECTION("it is not compared before it has gained 20 percent within 1.4 s or more")
  {
    read(0, 0);
    read(1, 100);
    read(19, 1'900);
    BW_CHECK(pace.PerSecond() && !pace.IsComparisonDue());
    read(21, 2'100);
    BW_CHECK(pace.IsComparisonDue());
    pace.OnCompared(false);
    BW_CHECK(!pace.IsComparisonDue());
    read(31, 3'100);
    BW_CHECK(pace.IsComparisonDue());
    pace.OnCompared(true);
    read(90, 9'000);
    BW_CHECK(!pace.IsComparisonDue());
  }
  BW_SECTION("a run that stays at 100 percent from its start has no pace")
  {
    read(100, 0);
    read(100, 5'000);
    BW_CHECK(!pace.PerSecond());
  }
  BW_SECTION("a clock that was set back begins the measurement anew")
  {
    read(0, 10'000);
    read(10, 11'000);
    read(30, 500);
    BW_CHECK(!pace.PerSecond());
  }
}
