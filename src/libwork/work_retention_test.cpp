#include "briarwind/work_core.h"
#include "testing/sample_jobs.h"

#include "briarwind/testing.h"

using namespace briarwind;
using namespace briarwind::testing;

// Guards against two jobs taken for one, or one for two, when an id is used again: a record that
// was read before its deletion may be applied after it.
BW_STORY("a finished job is removed from the store and its id is used again")
{
  constexpr store_revision kAccepted = 10;
  constexpr store_revision kFinal = 12;
  constexpr store_revision kAcceptedAgain = 20;
  work_core core;
  instant now = instant() + std::chrono::hours(1);
  const wall_time wall{ std::chrono::hours(1) };
  const auto add = [&](store_revision aAccepted) {
    if (core.IsNewJob("a", aAccepted)) {
      core.AddJob({ Job("a", "batch", { Step(1, 1) }), false, {}, 0, aAccepted }, now, wall);
    }
  };
  core.BeginTerm(5, now);
  add(kAccepted);
  core.CancelJob("a", now);
  BW_EQUAL(std::size_t{ 1 }, core.TakeWrites(16).size());

  BW_SECTION("it does not expire before its final state is stored")
  {
    core.SetFollowedRevision(kAccepted);
    now += std::chrono::hours(1);
    BW_CHECK(core.ExpiredJobs(now).empty());
  }
  core.OnWritten("a", kFinal, now);
  BW_SECTION("it does not expire before its retention time has passed")
  {
    core.SetFollowedRevision(kAccepted);
    BW_CHECK(core.ExpiredJobs(now).empty());
  }
  now += std::chrono::hours(1);
  BW_SECTION("it does not expire before its accepted record was followed")
  {
    core.SetFollowedRevision(kAccepted - 1);
    BW_CHECK(core.ExpiredJobs(now).empty());
  }
  core.SetFollowedRevision(kAccepted);
  const std::vector<expired_job> expired = core.ExpiredJobs(now);
  BW_EQUAL(std::size_t{ 1 }, expired.size());
  BW_EQUAL(kFinal, expired.front().mProgressRevision);

  BW_SECTION("it stays known while its deletion is not confirmed")
  {
    BW_CHECK(core.State("a") == work_state::kCancelled);
    BW_CHECK(!core.IsNewJob("a", kAccepted));
    BW_EQUAL(std::size_t{ 1 }, core.ExpiredJobs(now).size());
  }
  BW_SECTION("its record is not taken for a new job after its removal")
  {
    core.ForgetJob(expired.front());
    BW_CHECK(!core.State("a"));
    add(kAccepted);
    BW_CHECK(!core.State("a"));
  }
  BW_SECTION("a job that is accepted under its id after its removal is added")
  {
    core.ForgetJob(expired.front());
    add(kAcceptedAgain);
    BW_CHECK(core.State("a") == work_state::kQueued);
  }
  BW_SECTION("a job that is accepted under its id before the deletion is confirmed replaces it")
  {
    add(kAcceptedAgain);
    BW_CHECK(core.State("a") == work_state::kQueued);
    core.ForgetJob(expired.front());
    BW_CHECK(core.State("a") == work_state::kQueued);
    BW_EQUAL(kAcceptedAgain, core.AcceptedRevision("a").value_or(0));
    add(kAccepted);
    BW_EQUAL(kAcceptedAgain, core.AcceptedRevision("a").value_or(0));
  }
}
