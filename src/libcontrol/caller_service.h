#pragma once

#include "job_intake.h"
#include "settings_view.h"

#include <variant>

namespace briarwind {

/// A call that may go on: its queue and whose it is.
struct admitted_call
{
  caller_route mRoute;
  std::string mOrganisation;
  std::string mRest; ///< of the path after the queue's prefix: a job's id, or empty
};

enum class call_refusal : std::uint8_t
{
  kNoSettings, ///< this host has no configuration yet
  kUnknownQueue,
  kUnknownKey,
};

std::string_view ToString(call_refusal aRefusal);

/// What the leader knows of a job while the store cannot be read.
struct leader_state
{
  work_state mState = work_state::kQueued; ///< final only once that is stored
  milliseconds mAge{ 0 };                  ///< since the store confirmed the leader last
};

/// Questions to whoever leads; nothing when it cannot be reached or does not know.
struct leader_questions
{
  std::function<std::optional<int>(const std::string& aQueue, instant aDeadline)> mWaiting;
  std::function<std::optional<leader_state>(const std::string& aJob, instant aDeadline)> mState;
};

/// Callers' calls in the project's own terms: who may call what, and what becomes of it.
class caller_service
{
public:
  caller_service(job_intake& aIntake, const settings_view& aSettings, metrics& aMetrics,
                 leader_questions aLeader);

  std::variant<admitted_call, call_refusal> Admit(std::string_view aHost, std::string_view aPath,
                                                  std::string_view aKey) const;
  /// @param aJob its queue and organisation are filled in from the call
  intake_answer Submit(const admitted_call& aCall, work_job aJob, instant aDeadline);
  intake_answer Cancel(const admitted_call& aCall, instant aDeadline);
  state_answer State(const admitted_call& aCall, instant aDeadline);
  std::optional<int> CountWaiting(const admitted_call& aCall, instant aDeadline);
  std::size_t MaxBodyBytes() const { return mSettings.Settings().mMaxBodyBytes; }
  void NoteRefusal(std::string_view aJob, std::string_view aReason);

private:
  state_answer StateFromLeader(const std::string& aJob, instant aDeadline);
  void NoteCall(std::string_view aCall, const std::string& aJob, const intake_answer& aAnswer,
                instant aBegun);

  job_intake& mIntake;
  const settings_view& mSettings;
  metrics& mMetrics;
  leader_questions mLeader;
};

} // namespace briarwind
