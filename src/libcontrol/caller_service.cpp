#include "caller_service.h"

#include "control_events.h"

#include "libwork/organisation_ledger.h"

#include <fmt/format.h>

#include <array>

namespace briarwind {

std::string_view ToString(call_refusal aRefusal)
{
  static constexpr std::array<std::string_view, 3> kNames{ "no-settings", "unknown-queue",
                                                           "unknown-key" };
  return kNames.at(static_cast<std::size_t>(aRefusal));
}

caller_service::caller_service(job_intake& aIntake, const settings_view& aSettings,
                               metrics& aMetrics, leader_queries aLeader)
  : mIntake(aIntake)
  , mSettings(aSettings)
  , mMetrics(aMetrics)
  , mLeader(std::move(aLeader))
{
}

std::variant<admitted_call, call_refusal> caller_service::Admit(std::string_view aHost,
                                                                std::string_view aPath,
                                                                std::string_view aKey) const
{
  const operator_settings& settings = mSettings.Settings();
  if (settings.mVersion == 0) {
    return call_refusal::kNoSettings;
  }
  const caller_route* route = settings.Find(aHost, aPath);
  if (route == nullptr) {
    return call_refusal::kUnknownQueue;
  }
  const auto key = settings.mOrganisationOfKey.find(aKey);
  if (key == settings.mOrganisationOfKey.end() && !route->mPublic) {
    return call_refusal::kUnknownKey;
  }
  return admitted_call{ *route,
                        key == settings.mOrganisationOfKey.end() ? std::string() : key->second,
                        std::string(aPath.substr(route->mPrefix.size())) };
}

intake_answer caller_service::Submit(const admitted_call& aCall, work_job aJob, instant aDeadline)
{
  const instant begun = monotonic_clock::now();
  aJob.mId = aCall.mPathSuffix;
  aJob.mQueue = aCall.mRoute.mQueue;
  aJob.mOrganisation = aCall.mOrganisation;
  aJob.mPolicy = aCall.mRoute.mPolicy;
  aJob.mAccepted = std::chrono::system_clock::now();
  const std::string reason = ReasonOverLimit(aJob);
  const intake_answer answer =
    reason.empty() ? mIntake.Accept(aJob, aDeadline) : RefuseOverLimit(aJob.mId, reason, aDeadline);
  RecordCall("submit", aJob.mId, answer, begun);
  return answer;
}

std::string caller_service::ReasonOverLimit(const work_job& aJob) const
{
  const auto& policies = mSettings.Settings().mOrganisations;
  const auto policy = policies.find(aJob.mOrganisation);
  if (policy == policies.end()) {
    return {};
  }
  for (std::size_t i = 0; i < aJob.mSteps.size(); ++i) {
    const std::string_view resource = ResourceOverLimit(aJob.mSteps[i], policy->second);
    if (!resource.empty()) {
      return fmt::format("steps.{}: needs more {} than the limit of its organisation", i, resource);
    }
  }
  return {};
}

// A repetition of a call that stored the job must not be refused, also when the limit was lowered
// in the meantime: the caller would take the job for one that never runs.
intake_answer caller_service::RefuseOverLimit(const std::string& aJob, const std::string& aReason,
                                              instant aDeadline)
{
  const state_answer stored = mIntake.State(aJob, aDeadline);
  if (!stored.mIsKnown) {
    return { intake_outcome::kNotRun, "store away" };
  }
  return stored.mState ? intake_answer{ intake_outcome::kAccepted, {} }
                       : intake_answer{ intake_outcome::kOverLimit, aReason };
}

intake_answer caller_service::Cancel(const admitted_call& aCall, instant aDeadline)
{
  const instant begun = monotonic_clock::now();
  const intake_answer answer = mIntake.Cancel(aCall.mPathSuffix, aDeadline);
  RecordCall("cancel", aCall.mPathSuffix, answer, begun);
  return answer;
}

state_answer caller_service::State(const admitted_call& aCall, instant aDeadline)
{
  const instant begun = monotonic_clock::now();
  state_answer answer = mIntake.State(aCall.mPathSuffix, aDeadline);
  if (!answer.mIsKnown) {
    answer = StateFromLeader(aCall.mPathSuffix, aDeadline);
  }
  mMetrics.Observe(kCallerTime, monotonic_clock::now() - begun, "state");
  return answer;
}

// A job that is missing at the leader may still be in the store, so the leader's answer alone never
// leads to a report that a job does not exist.
state_answer caller_service::StateFromLeader(const std::string& aJob, instant aDeadline)
{
  const auto reported = mLeader.mFindState(aJob, aDeadline);
  if (!reported) {
    RecordRefusal(aJob, "state unreadable");
    return {};
  }
  mMetrics.Count(kCallerCalls, "state from the leader");
  LogEvent(kStateFromLeader, { Field("job", aJob), Field("state", ToString(reported->mState)),
                               Field("age_ms", reported->mAge.count()) });
  return { true, reported->mState };
}

std::optional<int> caller_service::CountWaiting(const admitted_call& aCall, instant aDeadline)
{
  const auto count = mLeader.mCountWaiting(aCall.mRoute.mQueue, aDeadline);
  if (!count) {
    RecordRefusal(aCall.mRoute.mQueue, "no leader in reach");
  }
  return count;
}

void caller_service::RecordRefusal(std::string_view aJob, std::string_view aReason)
{
  mMetrics.Count(kCallerRefusals, aReason);
  LogEvent(kJobRefused, { Field("job", aJob), Field("reason", aReason),
                          Field("settings", mSettings.Settings().mVersion) });
}

void caller_service::RecordCall(std::string_view aCall, const std::string& aJob,
                                const intake_answer& aAnswer, instant aBegun)
{
  const auto took = monotonic_clock::now() - aBegun;
  mMetrics.Observe(kCallerTime, took, aCall);
  const log_field time = Field("took_ms", std::chrono::duration_cast<milliseconds>(took).count());
  const log_field settings = Field("settings", mSettings.Settings().mVersion);
  switch (aAnswer.mOutcome) {
    case intake_outcome::kAccepted:
      mMetrics.Count(kCallerCalls, aCall);
      LogEvent(aCall == "cancel" ? kJobCancelAccepted : kJobAccepted,
               { Field("job", aJob), time, settings });
      return;
    case intake_outcome::kUnclear:
      mMetrics.Count(kCallerCalls, "unclear");
      LogEvent(kJobOutcomeUnclear, { Field("job", aJob), Field("call", aCall),
                                     Field("reason", aAnswer.mReason), time, settings });
      return;
    case intake_outcome::kNotRun:
      RecordRefusal(aJob, aAnswer.mReason);
      return;
    case intake_outcome::kUnknownJob:
      if (!aAnswer.mReason.empty()) {
        RecordRefusal(aJob, aAnswer.mReason);
        return;
      }
      mMetrics.Count(kCallerCalls, "cancel without a job");
      LogEvent(kJobCancelledEarly, { Field("job", aJob), time, settings });
      return;
    case intake_outcome::kCancelled:
      RecordRefusal(aJob, "cancelled before");
      return;
    case intake_outcome::kOverLimit:
      RecordRefusal(aJob, "over the organisation's limit");
      return;
    case intake_outcome::kTooLarge:
      RecordRefusal(aJob, "refused by the store");
      return;
  }
}

} // namespace briarwind
