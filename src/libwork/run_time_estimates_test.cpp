#include "run_time_estimates.h"

#include "testing/sample_jobs.h"

#include "briarwind/testing.h"

#include <fmt/format.h>

using namespace briarwind;
using namespace briarwind::testing;

// Guards against expected ends that follow a single odd run, a run of other work, or runs of long
// ago, and against memory that grows with the number of queues and shapes.
BW_STORY("run times are learned by queue and shape")
{
  run_time_estimates times;
  const work_job job = Job("a", "batch", { Step(4, 2) });
  const run_kind kind = KindOf(job, job.mSteps[0]);

  BW_SECTION("nothing is expected before four runs have completed")
  {
    for (int i = 0; i < 3; ++i) {
      times.Add(kind, milliseconds(1'000));
      BW_CHECK(!times.Find(kind));
    }
    times.Add(kind, milliseconds(2'000));
    BW_CHECK(times.Find(kind) == milliseconds(1'250));
  }
  BW_SECTION("runs of another queue or shape, or of a gang, say nothing")
  {
    for (int i = 0; i < 4; ++i) {
      times.Add(kind, milliseconds(1'000));
    }
    const work_job gang = Gang("b", "batch", 4, 2);
    BW_CHECK(!times.Find(KindOf(gang, gang.mSteps[0])));
    BW_CHECK(!times.Find(KindOf(Job("c", "urgent", {}), job.mSteps[0])));
    BW_CHECK(!times.Find(KindOf(job, Step(4, 3))));
  }
  BW_SECTION("the estimate follows when the runs of a kind become longer")
  {
    for (int i = 0; i < 200; ++i) {
      times.Add(kind, milliseconds(1'000));
    }
    for (int i = 0; i < 100; ++i) {
      times.Add(kind, milliseconds(3'000));
    }
    BW_CHECK(times.Find(kind) > milliseconds(2'800));
  }
  BW_SECTION("of more kinds than the bound, the one not used for longest is forgotten")
  {
    for (int i = 0; i < 600; ++i) {
      for (int sample = 0; sample < 4; ++sample) {
        times.Add({ fmt::format("q{}", i), 1, 1'000, false }, milliseconds(1'000));
        times.Add(kind, milliseconds(1'000));
      }
    }
    BW_EQUAL(std::size_t{ 512 }, times.Kinds());
    BW_CHECK(times.Find(kind));
    BW_CHECK(!times.Find({ "q0", 1, 1'000, false }));
    BW_CHECK(times.Find({ "q599", 1, 1'000, false }));
  }
}
