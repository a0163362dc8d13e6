#include "caller_service.h"
#include "testing/fake_record_store.h"

#include "briarwind/testing.h"

#include <string>

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

// Each value is a number of accelerators, the limit of the organisation `o1`, and the version.
struct limit_codec : empty_codec
{
  io_result<std::optional<operator_settings>> ReadSettings(
    const stored_value& aValue) const override
  {
    operator_settings settings;
    settings.mVersion = aValue.mModified;
    settings.mOrganisations["o1"].mMaxInUse.mAccelerators = std::stoi(aValue.mValue);
    return std::optional(settings);
  }
};

} // namespace

// Guards against a refusal that is not true: a job that was refused for its organisation's limit
// must not be stored, by this call or an earlier one.
BW_STORY("a submission that needs more than the limit of its organisation")
{
  fiber_runtime runtime;
  metrics counters;
  // The view's fiber outlives the test.
  auto& store = *new fake_record_store;
  static const limit_codec kCodec;
  auto& view = *new settings_view(runtime, store, counters, kCodec);
  const auto setLimit = [&](int aAccelerators) {
    store.Put("op/config", std::to_string(aAccelerators));
    const instant end = monotonic_clock::now() + milliseconds(4'000);
    while (view.Settings().mVersion != store.Revision() && monotonic_clock::now() < end) {
      SleepFor(milliseconds(5));
    }
  };
  view.Start();
  job_intake intake(store, counters);
  caller_service service(intake, view, counters,
                         { [](const std::string&, instant) { return std::nullopt; },
                           [](const std::string&, instant) { return std::nullopt; } });
  admitted_call call;
  call.mOrganisation = "o1";
  call.mPathSuffix = "a";
  work_job gang;
  gang.mSteps.resize(1);
  gang.mSteps[0].mCount = 4;
  gang.mSteps[0].mDemand.mAccelerators = 2;
  gang.mSteps[0].mGang = true;
  const auto submit = [&](const work_job& aJob) {
    return service.Submit(call, aJob, monotonic_clock::now() + milliseconds(500));
  };
  setLimit(7);

  BW_SECTION("is refused with the reason and not stored when it is a gang")
  {
    const intake_answer answer = submit(gang);
    BW_CHECK(answer.mOutcome == intake_outcome::kOverLimit);
    BW_EQUAL(std::string("steps.0: needs more accelerators than the limit of its organisation"),
             answer.mReason);
    BW_CHECK(intake.State("a", monotonic_clock::now() + milliseconds(500)).mState == std::nullopt);
  }
  BW_SECTION("is accepted when its tasks may run one after the other")
  {
    gang.mSteps[0].mGang = false;
    BW_CHECK(submit(gang).mOutcome == intake_outcome::kAccepted);
  }
  BW_SECTION("is accepted when an earlier call stored it before the limit was lowered")
  {
    setLimit(8);
    BW_CHECK(submit(gang).mOutcome == intake_outcome::kAccepted);
    setLimit(7);
    BW_CHECK(submit(gang).mOutcome == intake_outcome::kAccepted);
  }
  BW_SECTION("is refused as not run while the store cannot be read")
  {
    store.SetReachable(false);
    BW_CHECK(submit(gang).mOutcome == intake_outcome::kNotRun);
  }
}

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
