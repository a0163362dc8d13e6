#pragma once

#include "leadership.h"
#include "registry_reader.h"

#include "briarwind/operator_settings.h"
#include "briarwind/work_core.h"
#include "briarwind/worker_gateway.h"

#include <deque>
#include <memory>
#include <set>
#include <string>

namespace briarwind {

/// Store keys of jobs.
namespace work_keys {
inline constexpr std::string_view kAccepted =
  "briarwind/accepted/"; ///< job, written once by any host
inline constexpr std::string_view kProgress =
  "briarwind/progress/"; ///< progress, written by the leader only
inline constexpr std::string_view kCancelSuffix = "/cancel";
/// Value of a cancellation that found no job: its id is taken until the key's lease ends.
inline constexpr std::string_view kCancelledEarly = "no job yet";
std::string Accepted(std::string_view aJob);
std::string Cancel(std::string_view aJob);
std::string Progress(std::string_view aJob);
/// Key of a part of a wide job's progress record.
std::string ProgressPart(std::string_view aJob, std::int64_t aPart);
} // namespace work_keys

/// Connects the scheduling core to the store and the workers while this host leads: feeds jobs,
/// workers and settings to the core, stores its records and sends its orders.
class work_driver
{
public:
  struct dependencies
  {
    worker_gateway* mWorkers = nullptr;
    placement_advisor* mAdvisor = nullptr; ///< null: no advisor is deployed
    worker_registry* mRegistry = nullptr;
  };

  work_driver(fiber_runtime& aRuntime, record_store& aStore, const dependencies& aDependencies,
              metrics& aMetrics, const work_options& aOptions);

  /// Runs one term as leader. Blocks the calling fiber until the term ends.
  /// @param aOnSuperseded called when the store or a worker shows that another host leads
  void RunTerm(const leadership& aLeadership, std::function<void()> aOnSuperseded);
  /// Ends the current term; results of calls in flight are ignored.
  void LeaveTerm();
  /// Continues the term under a higher epoch, after leadership was claimed again before any other
  /// host led.
  void ContinueTerm(std::int64_t aEpoch);
  /// Stops decisions and starts that have not been sent yet; used before the leader resigns.
  void Pause() { mPaused = true; }
  void SetSettings(const work_settings& aSettings);
  /// Notifies the leader that a host stored this accepted job or cancellation. Complements the
  /// watch, which may be interrupted for seconds.
  void NotifyStored(const stored_value& aValue);

  /// Whether this host leads and has loaded the stored state.
  bool HasTakenOver() const { return mHasTakenOver; }
  int CountWaiting(const std::string& aQueue) const { return mCore.CountWaiting(aQueue); }
  std::optional<work_state> StoredState(const std::string& aJob) const
  {
    return mCore.StoredState(aJob);
  }
  /// Orders to workers that are not answered yet.
  int OrdersInFlight() const { return mOrdersInFlight; }

private:
  static constexpr milliseconds kStoreDeadline{ 1'000 }; ///< of one call; a slow store takes 300 ms
  static constexpr milliseconds kRetryDelay{ 60 };       ///< pause after a failed call

  bool TakeOver(int aTerm, store_revision& aListedRevision);
  void OnAcceptedListed(const store_listing& aListing);
  void OnAcceptedChanged(const std::vector<store_change>& aChanges);
  void AddAccepted(const stored_value& aValue);
  void CancelAccepted(const std::string& aJob, const stored_value& aCancellation);
  void ReadCancelledIds(const store_listing& aListing);
  void RefreshWorkers(int aTerm);
  void RoundLoop(int aTerm);
  void ReportGauges();
  void ScheduleRound();
  void RunRound();
  void Perform(work_action aAction);
  void PerformStart(const start_run& aOrder);
  void PerformStop(const stop_run& aOrder);
  void PerformPace(const pace_run& aOrder);
  void StartAdviceCalls();
  void LogWorkEvent(const work_event& aEvent);
  void StartPolls();
  void RunPoll(const std::string& aWorker, const poll_plan& aPlan,
               std::set<std::string>& aInFlight);
  void StartWrites();
  /// What became of a transaction that the store answered.
  enum class write_outcome : std::uint8_t
  {
    kDone,    ///< stored, or another host leads or has written the record
    kNotYet,  ///< to be repeated
    kRefused, ///< for what it holds; repeating it is of no use
  };
  void RunWrite(const std::vector<progress_write>& aWrites);
  write_outcome CommitOnce(const std::vector<progress_write>& aWrites, error& aFailure);
  bool FitsStore(const std::vector<progress_write>& aWrites) const;
  bool ApplyWriteResult(const std::vector<progress_write>& aWrites,
                        const transaction_result& aResult);
  /// Whether the leader key, as a rejected transaction has found it, is still this leader's. Steps
  /// down if another host has claimed it.
  enum class leader_key : std::uint8_t
  {
    kOwn,
    kAbsent, ///< expired, or being claimed again by this host
    kAnother,
  };
  leader_key CheckLeaderKey(const transaction_result& aResult);
  void StartRemoval();
  void RemoveExpiredJobs(int aTerm);
  /// What became of the removal of one job's records.
  enum class removal_outcome : std::uint8_t
  {
    kDone,
    kLater,   ///< the store does not answer, or this host does not lead
    kRefused, ///< of this job only
  };
  removal_outcome RemoveRecords(const expired_job& aJob, int aTerm);
  bool RemoveParts(const expired_job& aJob, int aTerm, error& aFailure);
  void ReportSuperseded(std::string_view aReason);
  bool HandleFenced(std::int64_t aEpoch);
  bool IsCurrentTerm(int aTerm) const { return mLeadership != nullptr && mTerm == aTerm; }

  fiber_runtime& mRuntime;
  record_store& mStore;
  worker_gateway& mGateway;
  registry_reader mRegistry;
  placement_advisor* mAdvisor;
  metrics& mMetrics;
  milliseconds mRegistryInterval;
  milliseconds mRemovalInterval;
  std::size_t mMaxValueBytes;
  work_core mCore;
  work_settings mSettings;
  const leadership* mLeadership = nullptr;
  int mTerm = 0; ///< number of this process's terms; one term may span several epochs
  std::function<void()> mOnSuperseded;
  /// Ids whose cancellation found no job. Hosts of the former version accept jobs under them.
  std::set<std::string, std::less<>> mCancelledIds;
  bool mHasTakenOver = false;
  bool mPaused = false;
  bool mRoundPending = false;
  std::set<std::string> mPollsInFlight;
  std::set<std::string> mSecondPollsInFlight;
  std::deque<advice_request> mAdviceQueue;
  bool mAdviceCallRunning = false;
  int mOrdersInFlight = 0;
  int mWritesInFlight = 0;
  bool mRemovalRunning = false;
};

} // namespace briarwind
