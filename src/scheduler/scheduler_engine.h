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

/// What has to hold at the instant at which something is sent to a worker.
struct send_permissions
{
  std::function<bool(instant)> mSettingsConfirmed; ///< for starts
  std::function<bool(instant)> mLeaderConfirmed;   ///< for starts and renewals
};

/// Feeds the core with events and carries its actions out: calls to workers, writes of job records.
class scheduler_engine
{
public:
  scheduler_engine(fiber_runtime& aRuntime, config_store& aStore, metrics& aMetrics,
                   const scheduler_options& aOptions, send_permissions aPermissions);

  /// Hands an event to the core and begins what it decides. Never suspends.
  void Take(const event& aEvent);

  void OnHosts(const host_list& aHosts);
  void OnSettings(std::shared_ptr<const settings_view> aView);
  void OnFreshness(bool aFresh, const std::string& aReason);

  /// Suspends until the core has decided on a submission.
  answer_submission Submit(const job_spec& aSpec, instant aDeadline);

  /// Reads records and leases and lets the core decide from then on. False when they could not be
  /// read; to be called again.
  bool TakeOver(epoch_number aEpoch);
  /// Returns the specifications of the jobs that only this process knew of.
  std::vector<job_spec> StepDown();
  void OnStaleEpoch(std::function<void()> aObserver) { mOnStaleEpoch = std::move(aObserver); }

  const job_core& Core() const { return mCore; }
  bool HasHosts() const { return mHasHosts; }

  /// Ticks, heartbeats to workers; run forever, each in a fiber.
  void RunTicks();
  void RunContacts();

private:
  struct contact
  {
    endpoint mAddress;
    std::string mDomain;
    instant mLastAnswer;
    bool mAsking = false;
    bool mLost = false;
  };

  using submission_waiter = std::function<void(const answer_submission&)>;

  void Do(const reserve_lease& aAction);
  void Do(const start_lease& aAction);
  void Do(const stop_lease& aAction);
  void Do(const release_lease& aAction);
  void Do(const forget_lease& aAction);
  void Do(const renew_leases& aAction);
  void Do(const record_job& aAction);
  void Do(const answer_submission& aAction);
  void Do(const decision_note& aAction);

  /// Runs a call to a worker in a fiber; the answer goes back to the core while the epoch lasts.
  template<class Call>
  void AskWorker(const std::string& aWorker, Call aCall);
  void WriteRecord(const record_job& aAction);
  bool MayStart(const start_lease& aAction);
  bool IsWithdrawn(const std::string& aWorker) const;
  bool MayRenew(epoch_number aEpoch) const;
  void Ask(const std::string& aWorker);
  void NoteAnswer(const std::string& aWorker);
  void NoteSilence(const std::string& aWorker);
  void ShowStatus();
  std::vector<worker_listing> ListWorkers(epoch_number aEpoch);
  std::optional<std::vector<restored_record>> ReadRecords();

  fiber_runtime& mRuntime;
  config_store& mStore;
  metrics& mMetrics;
  scheduler_options mOptions;
  send_permissions mPermissions;
  std::function<void()> mOnStaleEpoch;
  worker_client mWorkers;
  job_core mCore;
  epoch_number mEpoch = 0;
  std::shared_ptr<const settings_view> mView;
  bool mHasHosts = false;
  std::uint64_t mLastRequest = 0;
  std::map<std::uint64_t, submission_waiter> mWaiting;
  std::map<std::string, contact> mContacts;
};

} // namespace briarwind
