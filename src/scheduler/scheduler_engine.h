#pragma once

#include "scheduler_options.h"
#include "worker_client.h"

#include "briarwind/config_store.h"
#include "briarwind/fiber_runtime.h"
#include "briarwind/host_list.h"
#include "briarwind/job_core.h"
#include "briarwind/metrics.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace briarwind {

/// Conditions that are checked at the instant at which a call to a worker is sent.
struct send_permissions
{
  std::function<bool(instant)> mSettingsConfirmed; ///< for starts
  std::function<bool(instant)> mLeaderConfirmed;   ///< for starts and renewals
};

/// Passes events to the job core and executes the actions that it returns: calls to workers, writes
/// of job records, answers to submissions.
class scheduler_engine
{
public:
  scheduler_engine(fiber_runtime& aRuntime, config_store& aStore, metrics& aMetrics,
                   const scheduler_options& aOptions, send_permissions aPermissions);

  /// Passes an event to the core and starts the actions that it returns. Never suspends.
  void HandleEvent(const event& aEvent);

  void OnHosts(const host_list& aHosts);
  void OnSettings(std::shared_ptr<const settings_view> aView);
  void OnFreshness(bool aFresh, const std::string& aReason);

  /// Suspends until the core has decided on a submission. The outcome is kUnknown when the deadline
  /// passes first; the job may still be recorded.
  answer_submission Submit(const job_spec& aSpec, instant aDeadline);

  /// Reads the job records and the workers' leases and restores the core from them, so that it
  /// decides from then on. False when the records could not be read or the epoch changed during the
  /// reads; a caller that still leads should try again.
  bool TakeOver(epoch_number aEpoch);
  /// Drops all jobs from the core. Returns the specifications of the jobs that have not ended and
  /// whose current state is not in the store.
  std::vector<job_spec> StepDown();
  /// Sets what is called when a worker refuses a call because it has seen a later epoch.
  void OnStaleEpoch(std::function<void()> aObserver) { mOnStaleEpoch = std::move(aObserver); }

  const job_core& Core() const { return mCore; }
  /// Whether a host list has been read since the process started.
  bool HasHostList() const { return mHasHostList; }

  /// Sends `tick` events to the core and updates the status metrics. Never returns; needs a fiber
  /// of its own.
  void RunTicks();
  /// Calls workers that have not answered lately while this process leads. Never returns; needs a
  /// fiber of its own.
  void RunWorkerPings();

private:
  struct worker_state
  {
    endpoint mAddress;
    std::string mDomain;
    instant mLastResponse;
    bool mPingInFlight = false;
    bool mLost = false;
  };

  using submission_callback = std::function<void(const answer_submission&)>;

  void Execute(const reserve_lease& aAction);
  void Execute(const start_lease& aAction);
  void Execute(const stop_lease& aAction);
  void Execute(const release_lease& aAction);
  void Execute(const forget_lease& aAction);
  void Execute(const renew_leases& aAction);
  void Execute(const record_job& aAction);
  void Execute(const answer_submission& aAction);
  void Execute(const decision_note& aAction);

  /// Runs a call to a worker in a fiber of its own. The answer is passed to the core unless the
  /// epoch has changed during the call.
  template<class Call>
  void CallWorker(const std::string& aWorker, Call aCall);
  void WriteRecord(const record_job& aAction);
  bool MayStart(const start_lease& aAction);
  bool IsWithdrawn(const std::string& aWorker) const;
  bool MayRenew(epoch_number aEpoch) const;
  void PingWorker(const std::string& aWorker);
  void RecordWorkerSuccess(const std::string& aWorker);
  void RecordWorkerFailure(const std::string& aWorker);
  void UpdateStatusMetrics();
  std::vector<worker_listing> ListWorkers(epoch_number aEpoch);
  std::optional<std::vector<restored_record>> ReadRecords();

  fiber_runtime& mRuntime;
  config_store& mStore;
  metrics& mMetrics;
  scheduler_options mOptions;
  send_permissions mPermissions;
  std::function<void()> mOnStaleEpoch;
  worker_client mWorkerClient;
  job_core mCore;
  epoch_number mEpoch = 0;
  std::shared_ptr<const settings_view> mView;
  bool mHasHostList = false;
  std::uint64_t mLastRequestId = 0;
  std::map<std::uint64_t, submission_callback> mPendingSubmissions;
  std::map<std::string, worker_state> mWorkerStates;
};

} // namespace briarwind
