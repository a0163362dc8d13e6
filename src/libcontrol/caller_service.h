#pragma once

#include "job_intake.h"
#include "settings_view.h"

#include <variant>

namespace briarwind {

/// A request that passed routing and authentication.
struct admitted_call
{
  caller_route mRoute;
  std::string mOrganisation; ///< owner of the API key; empty on a public route without a valid key
  std::string mPathSuffix;   ///< path after the queue's prefix: a job id, or empty
};

/// Why a request was not admitted.
enum class call_refusal : std::uint8_t
{
  kNoSettings,   ///< this host has not read any configuration yet
  kUnknownQueue, ///< no route matches the host name and path
  kUnknownKey,   ///< the route requires an API key, and the one given is not configured
};

std::string_view ToString(call_refusal aRefusal);

/// State of a job as the leader reports it while the store cannot be read.
struct leader_job_state
{
  work_state mState = work_state::kQueued; ///< a final state is reported only once it is stored
  milliseconds mAge{ 0 };                  ///< time since the store last confirmed the leader
};

/// Queries answered by the current leader. They return nullopt when the leader cannot be reached or
/// has no answer.
struct leader_queries
{
  std::function<std::optional<int>(const std::string& aQueue, instant aDeadline)> mCountWaiting;
  std::function<std::optional<leader_job_state>(const std::string& aJob, instant aDeadline)>
    mFindState;
};

/// Handles the requests of callers independently of their wire format: admission, submission,
/// cancellation and queries. Requests are logged and counted.
class caller_service
{
public:
  caller_service(job_intake& aIntake, const settings_view& aSettings, metrics& aMetrics,
                 leader_queries aLeader);

  /// Routes a request and checks its API key.
  std::variant<admitted_call, call_refusal> Admit(std::string_view aHost, std::string_view aPath,
                                                  std::string_view aKey) const;
  /// Stores a job, unless one of its gangs or tasks needs more than its organisation's limit.
  /// Repeating the call with the same job id has no further effect.
  /// @param aJob its id, queue, organisation and policy are filled in from aCall
  intake_answer Submit(const admitted_call& aCall, work_job aJob, instant aDeadline);
  /// Stores the cancellation of a job.
  intake_answer Cancel(const admitted_call& aCall, instant aDeadline);
  /// Reads a job's state from the store, or queries the leader while the store cannot be read.
  state_answer State(const admitted_call& aCall, instant aDeadline);
  /// Jobs of the queue that wait to be started; nullopt when the leader cannot be reached.
  std::optional<int> CountWaiting(const admitted_call& aCall, instant aDeadline);
  /// Largest body of a submission that the configuration allows.
  std::size_t MaxBodyBytes() const { return mSettings.Settings().mMaxBodyBytes; }
  /// Logs and counts a request that was refused.
  void RecordRefusal(std::string_view aJob, std::string_view aReason);

private:
  /// Names the first step that can never run below the organisation's limit; empty if all can.
  std::string ReasonOverLimit(const work_job& aJob) const;
  intake_answer RefuseOverLimit(const std::string& aJob, const std::string& aReason,
                                instant aDeadline);
  state_answer StateFromLeader(const std::string& aJob, instant aDeadline);
  void RecordCall(std::string_view aCall, const std::string& aJob, const intake_answer& aAnswer,
                  instant aBegun);

  job_intake& mIntake;
  const settings_view& mSettings;
  metrics& mMetrics;
  leader_queries mLeader;
};

} // namespace briarwind
