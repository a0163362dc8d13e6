#include "caller_service.h"
#include "testing/fake_record_store.h"

#include "briarwind/testing.h"

using namespace briarwind;
using namespace briarwind::testing;

namespace {

struct no_settings : operator_settings_codec
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

BW_STORY("a caller who asks for a job's state")
{
  fiber_runtime runtime;
  metrics counters;
  fake_record_store store;
  const no_settings codec;
  const settings_view view(runtime, store, counters, codec);
  job_intake intake(store, counters);
  std::optional<leader_state> known;
  int asked = 0;
  caller_service service(intake, view, counters,
                         { [](const std::string&, instant) { return std::nullopt; },
                           [&](const std::string&, instant) {
                             ++asked;
                             return known;
                           } });
  admitted_call call;
  call.mRest = "a";
  work_job job;
  job.mSteps.resize(1);
  service.Submit(call, job, monotonic_clock::now() + milliseconds(500));
  const auto state = [&] {
    return service.State(call, monotonic_clock::now() + milliseconds(2'000));
  };

  BW_SECTION("is told what the store holds")
  {
    known = leader_state{ work_state::kRunning, milliseconds(5) };
    BW_CHECK(state().mState == work_state::kQueued);
    BW_EQUAL(0, asked);
  }
  BW_SECTION("is told what the leader knows while the store answers nobody")
  {
    store.SetReachable(false);
    known = leader_state{ work_state::kRunning, milliseconds(1'700) };
    const state_answer told = state();
    BW_CHECK(told.mReached && told.mState == work_state::kRunning);
    BW_EQUAL(1, asked);
  }
  BW_SECTION("is not told that there is no such job because the leader does not know it")
  {
    store.SetReachable(false);
    BW_CHECK(!state().mReached);
  }
}
