#include "caller_service.h"
#include "testing/fake_record_store.h"

#include "briarwind/testing.h"

using namespace briarwind;
using namespace briarwind::testing;

namespace {

struct empty_codec : operator_settings_codec
{
  std::string Prefix() const override { return "op/"; }
  io_result<std::optional<operator_settings>> ReadSettings(const stored_value&) const override
  {
    return std::optional<operator_settings>();
  }
  std::optional<std::string> WithdrawnDomain(std::string_view) const override
  {
    return std::nullopt;
  }
};

} // namespace

// Guards against wrong answers to a caller while the store is unreachable: the leader must be
// queried only then, and a job must not be reported as missing because the leader lacks it.
BW_STORY("a caller's query for the state of a job")
{
  fiber_runtime runtime;
  metrics counters;
  fake_record_store store;
  const empty_codec codec;
  const settings_view view(runtime, store, counters, codec);
  job_intake intake(store, counters);
  std::optional<leader_job_state> reported;
  int leaderQueries = 0;
  caller_service service(intake, view, counters,
                         { [](const std::string&, instant) { return std::nullopt; },
                           [&](const std::string&, instant) {
                             ++leaderQueries;
                             return reported;
                           } });
  admitted_call call;
  call.mPathSuffix = "a";
  work_job job;
  job.mSteps.resize(1);
  service.Submit(call, job, monotonic_clock::now() + milliseconds(500));
  const auto state = [&] {
    return service.State(call, monotonic_clock::now() + milliseconds(2'000));
  };

  BW_SECTION("is answered from the store, without asking the leader")
  {
    reported = leader_job_state{ work_state::kRunning, milliseconds(5) };
    BW_CHECK(state().mState == work_state::kQueued);
    BW_EQUAL(0, leaderQueries);
  }
  BW_SECTION("is answered with the state known to the leader while the store is unreachable")
  {
    store.SetReachable(false);
    reported = leader_job_state{ work_state::kRunning, milliseconds(1'700) };
    const state_answer answer = state();
    BW_CHECK(answer.mIsKnown && answer.mState == work_state::kRunning);
    BW_EQUAL(1, leaderQueries);
  }
  BW_SECTION("is not answered with an unknown job when only the leader does not know the job")
  {
    store.SetReachable(false);
    BW_CHECK(!state().mIsKnown);
  }
}
