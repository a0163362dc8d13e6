#pragma once

#include "briarwind/metrics.h"
#include "briarwind/record_store.h"
#include "briarwind/work_core.h"

namespace briarwind {

enum class intake_outcome : std::uint8_t
{
  kAccepted,   ///< the job is stored, now or by an earlier call
  kNotRun,     ///< certainly not stored and never will be by this call
  kUnclear,    ///< may be stored, or still come to be
  kUnknownJob, ///< there is no such job
};

struct intake_answer
{
  intake_outcome mOutcome = intake_outcome::kUnclear;
  std::string mReason;
};

struct state_answer
{
  bool mReached = false;            ///< the store answered
  std::optional<work_state> mState; ///< nothing: there is no such job
};

/// What any host does for callers without asking the leader: one conditional write accepts a job or
/// its cancellation, and the store alone says what became of it.
class job_intake
{
public:
  /// NotifyStored of each key that was stored, with its value; for whoever leads. Must not suspend.
  using stored_observer = std::function<void(const stored_value&)>;

  job_intake(record_store& aStore, metrics& aMetrics, stored_observer aObserver = {});

  intake_answer Accept(const work_job& aJob, instant aDeadline);
  intake_answer Cancel(const std::string& aJob, instant aDeadline);
  state_answer State(const std::string& aJob, instant aDeadline);

private:
  intake_answer Settle(const store_transaction& aTransaction, instant aDeadline);

  record_store& mStore;
  metrics& mMetrics;
  stored_observer mObserver;
};

} // namespace briarwind
